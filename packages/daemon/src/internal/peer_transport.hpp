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

/// Handles an authenticated datagram.
using datagram_handler = std::function<void(const base::address&, peer::datagram)>;

/// Connection of a daemon that waits for a reply; used on the control strand.
struct requester_link {
    /// Called once if the reply cannot be delivered, because the connection was closed.
    std::function<void()> on_lost;
    bool lost = false;

    void notify_lost() {
        if (!lost) {
            lost = true;
            if (on_lost) {
                on_lost();
            }
        }
    }
};

/// Handles a frame of another daemon and returns the reply; runs on the control strand.
using frame_handler =
    std::function<asio::awaitable<peer::frame>(peer::frame, std::shared_ptr<requester_link>)>;

/// Cancels an exchange in progress; used on the control strand.
struct exchange_handle {
    std::function<void()> abort;
    bool finished = false;
    bool cancelled = false;

    void cancel() {
        cancelled = true;
        if (abort) {
            abort();
        }
    }
};

/// Sends and receives datagrams and frames between daemons, both on the peer address. All handlers run on the
/// control strand.
class peer_transport : public std::enable_shared_from_this<peer_transport> {
public:
    peer_transport(shared_state& shared, control_strand strand);

    /// Binds both sockets and starts receiving. Errors: `unavailable`.
    base::result<void> start(datagram_handler on_datagram, frame_handler on_frame);

    /// Sends a datagram; its loss is not reported.
    void send(const base::address& to, const peer::datagram& message);

    /// Sends the same datagram to several daemons.
    void send(const std::vector<base::address>& to, const peer::datagram& message);

    /// Sends a frame on a new connection and waits for the reply. `connection_refused` and `timed_out` while
    /// connecting mean that nothing was sent.
    asio::awaitable<base::result<peer::frame>> exchange(base::address to, peer::frame message,
                                                        base::duration timeout);

    /// Like `exchange`, but on a pooled connection. The frame may be sent twice if a pooled connection turns
    /// out to be broken or unresponsive.
    asio::awaitable<base::result<peer::frame>> exchange_pooled(base::address to, peer::frame message,
                                                               base::duration timeout);

    /// Like `exchange_pooled`, for a message whose reply takes long: the other daemon acknowledges the
    /// message immediately, so an unresponsive daemon is detected before `timeout`.
    asio::awaitable<base::result<peer::frame>> exchange_with_ack(base::address to, peer::frame message,
                                                                 base::duration timeout,
                                                                 std::shared_ptr<exchange_handle> handle);

    /// Whether messages that were acknowledged have no reply yet.
    bool has_unsent_replies() const { return open_replies_ > 0; }

    /// Closes the connections that were idle for too long, also those to daemons that are gone.
    void close_expired();

    void stop();

private:
    /// Idle connections kept for one daemon.
    static constexpr std::size_t max_idle_per_peer = 8;

    /// A connection with its descriptor.
    struct peer_stream : boost::beast::tcp_stream {
        peer_stream(http::descriptor_budget::lease lease, const control_strand& strand)
            : boost::beast::tcp_stream(strand)
            , descriptor(std::move(lease)) {}

        peer_stream(http::descriptor_budget::lease lease, asio::ip::tcp::socket socket)
            : boost::beast::tcp_stream(std::move(socket))
            , descriptor(std::move(lease)) {}

        http::descriptor_budget::lease descriptor;
    };

    using stream_ptr = std::shared_ptr<peer_stream>;

    struct pooled_connection {
        stream_ptr stream;
        std::chrono::steady_clock::time_point idle_since;
    };

    void send_bytes(const base::address& to, const std::string& bytes);
    stream_ptr take_pooled(const base::address& to);
    asio::awaitable<base::result<stream_ptr>> connect(base::address to, base::duration timeout);
    asio::awaitable<base::result<peer::frame>>
    exchange_on(stream_ptr stream, base::address to, const peer::frame& message, base::duration timeout);
    asio::awaitable<base::result<void>> write_frame(stream_ptr stream, base::address to,
                                                    const peer::frame& message, base::duration timeout);
    asio::awaitable<base::result<peer::frame>> read_reply(stream_ptr stream, base::address to,
                                                          base::duration timeout);
    /// Sets `used` to the connection on which the reply arrived.
    asio::awaitable<base::result<peer::frame>> exchange_on_pooled(stream_ptr& used, base::address to,
                                                                  const peer::frame& message,
                                                                  base::duration timeout,
                                                                  std::shared_ptr<exchange_handle> handle);
    void return_to_pool(const base::address& to, const stream_ptr& stream);

    asio::awaitable<void> receive_datagrams();
    asio::awaitable<void> accept_connections();
    /// Ends the connection alone if handling a message throws.
    asio::awaitable<void> serve_guarded(asio::ip::tcp::socket socket);
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    /// Acknowledges and handles a message whose reply takes long. Returns false if the requester has closed
    /// the connection.
    asio::awaitable<bool> serve_with_ack(stream_ptr stream, base::address remote, peer::frame message);
    /// Notifies the link when the requester closes the connection.
    asio::awaitable<void> watch_requester(stream_ptr stream, std::shared_ptr<requester_link> link);

    shared_state& shared_;
    control_strand strand_;
    asio::ip::udp::socket udp_socket_;
    asio::ip::tcp::acceptor acceptor_;
    datagram_handler on_datagram_;
    frame_handler on_frame_;
    std::array<char, 2048> receive_buffer_{};
    std::map<base::address, std::vector<pooled_connection>> pool_;
    /// Number of acknowledged messages whose reply is not written.
    std::size_t open_replies_ = 0;
    bool stopped_ = false;
};

} // namespace rattanbay::daemon::internal
