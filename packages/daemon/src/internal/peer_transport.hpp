#pragma once

#include "shared_state.hpp"

#include <rattanbay/base/error.hpp>
#include <rattanbay/peer.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattanbay::daemon::internal {

using control_strand = asio::strand<asio::io_context::executor_type>;

/// Takes a datagram that passed its authentication.
using datagram_handler = std::function<void(const base::address&, peer::datagram)>;

/// Answers a frame of another daemon; runs on the control strand.
using frame_handler = std::function<asio::awaitable<peer::frame>(peer::frame)>;

/// Lets an exchange in progress be ended early; used on the control strand.
struct exchange_handle {
    std::function<void()> abort;
    bool ended = false;

    void cancel() {
        if (abort) {
            abort();
        }
    }
};

/// Datagrams and frames between daemons, both on the peer address. All handlers run on the control
/// strand.
class peer_transport : public std::enable_shared_from_this<peer_transport> {
public:
    peer_transport(shared_state& shared, control_strand strand);

    /// Binds both sockets and starts to receive. Errors: `unavailable`.
    base::result<void> start(datagram_handler on_datagram, frame_handler on_frame);

    /// Sends a datagram; loss is not reported.
    void send(const base::address& to, const peer::datagram& message);

    /// Sends a frame on a new connection and waits for the answer. `connection_refused` and
    /// `timed_out` while connecting mean that nothing was sent.
    asio::awaitable<base::result<peer::frame>> exchange(base::address to, peer::frame message,
                                                        base::duration limit);

    /// As `exchange`, on a connection that is kept for the next one. The frame may be sent twice, when
    /// a kept connection turns out to be broken or silent.
    asio::awaitable<base::result<peer::frame>> exchange_kept(base::address to, peer::frame message,
                                                             base::duration limit);

    /// As `exchange_kept`, for a message whose answer takes long: the other daemon says at once that it
    /// took the message, so that one that stands still is noticed before `limit`.
    asio::awaitable<base::result<peer::frame>> exchange_long(base::address to, peer::frame message,
                                                             base::duration limit,
                                                             std::shared_ptr<exchange_handle> handle);

    void stop();

private:
    using stream_ptr = std::shared_ptr<boost::beast::tcp_stream>;

    struct kept_connection {
        stream_ptr stream;
        std::chrono::steady_clock::time_point since;
    };

    stream_ptr take_kept(const base::address& to);
    asio::awaitable<base::result<stream_ptr>> connect(base::address to, base::duration limit);
    asio::awaitable<base::result<peer::frame>> exchange_on(stream_ptr stream, base::address to,
                                                           const peer::frame& message, base::duration limit);
    asio::awaitable<base::result<void>> write_frame(stream_ptr stream, base::address to,
                                                    const peer::frame& message, base::duration limit);
    asio::awaitable<base::result<peer::frame>> read_from(stream_ptr stream, base::address to,
                                                         base::duration limit);
    /// Sets `used` to the connection on which the answer came.
    asio::awaitable<base::result<peer::frame>> exchange_on_kept(stream_ptr& used, base::address to,
                                                                const peer::frame& message,
                                                                base::duration limit,
                                                                std::shared_ptr<exchange_handle> handle);
    void keep(const base::address& to, const stream_ptr& stream);

    asio::awaitable<void> receive_datagrams();
    asio::awaitable<void> accept_connections();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    shared_state& shared_;
    control_strand strand_;
    asio::ip::udp::socket datagrams_;
    asio::ip::tcp::acceptor acceptor_;
    datagram_handler on_datagram_;
    frame_handler on_frame_;
    std::array<char, 2048> received_{};
    std::map<base::address, std::vector<kept_connection>> kept_;
    bool stopped_ = false;
};

} // namespace rattanbay::daemon::internal
