#include "internal/peer_transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rattanbay::daemon::internal {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

constexpr std::chrono::milliseconds connect_limit{300};
constexpr std::chrono::seconds frame_limit{5};
/// Time within which a daemon says that it took a message whose answer takes long.
constexpr std::chrono::milliseconds accept_limit{500};
/// Idle time after which a kept connection is not used again, and after which it is closed by the
/// side that serves it.
constexpr std::chrono::seconds kept_idle{5};
constexpr std::chrono::seconds served_idle{15};

base::error to_error(const error_code& ec, const base::address& remote) {
    const std::string message = "peer " + remote.text() + ": " + ec.message();
    if (ec == beast::error::timeout) {
        return base::error{base::error_code::timed_out, message};
    }
    if (ec == asio::error::connection_refused) {
        return base::error{base::error_code::connection_refused, message};
    }
    return base::error{base::error_code::connection_broken, message};
}

base::address to_address(const asio::ip::address_v4& ip, std::uint16_t port) {
    return {ip.to_bytes(), port};
}

/// Reads one frame; the error code is set for a broken connection, the result for a bad frame.
asio::awaitable<base::result<peer::frame>> read_frame(beast::tcp_stream& stream, std::string_view secret,
                                                      base::duration limit, error_code& ec) {
    std::string header(peer::frame_header_bytes, '\0');
    stream.expires_after(limit);
    co_await asio::async_read(stream, asio::buffer(header), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return base::fail(base::error_code::connection_broken, ec.message());
    }
    const base::result<std::size_t> size = peer::frame_size(header);
    if (!size) {
        co_return tl::unexpected<base::error>(size.error());
    }
    std::string body(*size, '\0');
    co_await asio::async_read(stream, asio::buffer(body), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return base::fail(base::error_code::connection_broken, ec.message());
    }
    co_return peer::decode_frame(body, secret);
}

} // namespace

peer_transport::peer_transport(shared_state& shared, control_strand strand)
    : shared_(shared)
    , strand_(strand)
    , datagrams_(strand)
    , acceptor_(strand) {}

base::result<void> peer_transport::start(datagram_handler on_datagram, frame_handler on_frame) {
    on_datagram_ = std::move(on_datagram);
    on_frame_ = std::move(on_frame);
    const base::address& address = shared_.settings.peer_address;
    const asio::ip::address_v4 ip = asio::ip::make_address_v4(address.ip);
    error_code ec;
    datagrams_.open(udp::v4(), ec);
    if (!ec) {
        datagrams_.bind(udp::endpoint(ip, address.port), ec);
    }
    if (!ec) {
        acceptor_.open(tcp::v4(), ec);
    }
    if (!ec) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor_.bind(tcp::endpoint(ip, address.port), ec);
    }
    if (!ec) {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return base::fail(base::error_code::unavailable, "listen on " + address.text() + ": " + ec.message());
    }
    const std::shared_ptr<peer_transport> self = shared_from_this();
    asio::co_spawn(
        strand_, [self]() { return self->receive_datagrams(); }, asio::detached);
    asio::co_spawn(
        strand_, [self]() { return self->accept_connections(); }, asio::detached);
    return {};
}

void peer_transport::send(const base::address& to, const peer::datagram& message) {
    const std::string bytes = peer::encode(message, shared_.settings.cluster_secret);
    error_code ignored;
    datagrams_.send_to(asio::buffer(bytes), udp::endpoint(asio::ip::make_address_v4(to.ip), to.port), 0,
                       ignored);
    shared_.metrics.add_peer_bytes("sent", bytes.size());
}

asio::awaitable<void> peer_transport::receive_datagrams() {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    while (!stopped_) {
        error_code ec;
        udp::endpoint from;
        const std::size_t size = co_await datagrams_.async_receive_from(
            asio::buffer(received_), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || stopped_) {
            co_return;
        }
        if (ec) {
            continue;
        }
        shared_.metrics.add_peer_bytes("received", size);
        base::result<peer::datagram> message =
            peer::decode_datagram(std::string_view(received_.data(), size), shared_.settings.cluster_secret);
        const base::address sender = to_address(from.address().to_v4(), from.port());
        if (message) {
            on_datagram_(sender, std::move(*message));
        } else {
            telemetry::log(telemetry::log_event::peer_message_rejected,
                           {{"from", sender.text()}, {"reason", message.error().message}});
        }
    }
}

asio::awaitable<void> peer_transport::accept_connections() {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    while (!stopped_) {
        error_code ec;
        tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            constexpr std::chrono::milliseconds retry_pause{50};
            asio::steady_timer timer(strand_, retry_pause);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        const std::shared_ptr<tcp::socket> accepted = std::make_shared<tcp::socket>(std::move(socket));
        asio::co_spawn(
            strand_, [self, accepted]() { return self->serve(std::move(*accepted)); }, asio::detached);
    }
}

asio::awaitable<void> peer_transport::serve(tcp::socket socket) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    error_code ec;
    const tcp::endpoint from = socket.remote_endpoint(ec);
    socket.set_option(tcp::no_delay(true), ec);
    const base::address remote = to_address(from.address().to_v4(), from.port());
    const stream_ptr stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    while (!stopped_) {
        base::result<peer::frame> message =
            co_await read_frame(*stream, shared_.settings.cluster_secret, served_idle, ec);
        if (!message) {
            if (!ec) {
                telemetry::log(telemetry::log_event::peer_message_rejected,
                               {{"from", from.address().to_string()}, {"reason", message.error().message}});
            }
            co_return;
        }
        if (stopped_) {
            co_return;
        }
        const peer::frame taken = peer::accepted{};
        const bool takes_long = std::holds_alternative<peer::make_pieces>(*message);
        if (takes_long && !co_await write_frame(stream, remote, taken, frame_limit)) {
            co_return;
        }
        const peer::frame answer = co_await on_frame_(std::move(*message));
        if (!co_await write_frame(stream, remote, answer, frame_limit)) {
            co_return;
        }
    }
}

asio::awaitable<base::result<peer_transport::stream_ptr>> peer_transport::connect(base::address to,
                                                                                  base::duration limit) {
    const stream_ptr stream = std::make_shared<beast::tcp_stream>(strand_);
    error_code ec;
    stream->expires_after(std::min<base::duration>(connect_limit, limit));
    const tcp::endpoint target(asio::ip::make_address_v4(to.ip), to.port);
    co_await stream->async_connect(target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, to));
    }
    stream->socket().set_option(tcp::no_delay(true), ec);
    co_return stream;
}

asio::awaitable<base::result<void>> peer_transport::write_frame(stream_ptr stream, base::address to,
                                                                const peer::frame& message,
                                                                base::duration limit) {
    const std::string bytes = peer::encode(message, shared_.settings.cluster_secret);
    error_code ec;
    stream->expires_after(std::min<base::duration>(frame_limit, limit));
    co_await asio::async_write(*stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, to));
    }
    co_return base::result<void>();
}

asio::awaitable<base::result<peer::frame>> peer_transport::read_from(stream_ptr stream, base::address to,
                                                                     base::duration limit) {
    error_code ec;
    base::result<peer::frame> answer =
        co_await read_frame(*stream, shared_.settings.cluster_secret, limit, ec);
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, to));
    }
    co_return answer;
}

asio::awaitable<base::result<peer::frame>> peer_transport::exchange_on(stream_ptr stream, base::address to,
                                                                       const peer::frame& message,
                                                                       base::duration limit) {
    const base::result<void> written = co_await write_frame(stream, to, message, limit);
    if (!written) {
        co_return tl::unexpected<base::error>(written.error());
    }
    co_return co_await read_from(stream, to, limit);
}

asio::awaitable<base::result<peer::frame>> peer_transport::exchange(base::address to, peer::frame message,
                                                                    base::duration limit) {
    const base::result<stream_ptr> opened = co_await connect(to, limit);
    if (!opened) {
        co_return tl::unexpected<base::error>(opened.error());
    }
    co_return co_await exchange_on(*opened, to, message, limit);
}

peer_transport::stream_ptr peer_transport::take_kept(const base::address& to) {
    std::vector<kept_connection>& list = kept_[to];
    stream_ptr found;
    while (!found && !list.empty()) {
        const kept_connection last = std::move(list.back());
        list.pop_back();
        if (std::chrono::steady_clock::now() - last.since < kept_idle) {
            found = last.stream;
        }
    }
    return found;
}

asio::awaitable<base::result<peer::frame>>
peer_transport::exchange_on_kept(stream_ptr& used, base::address to, const peer::frame& message,
                                 base::duration limit, std::shared_ptr<exchange_handle> handle) {
    used = take_kept(to);
    bool reused = used != nullptr;
    while (true) {
        if (!used) {
            const base::result<stream_ptr> opened = co_await connect(to, limit);
            if (!opened) {
                co_return tl::unexpected<base::error>(opened.error());
            }
            used = *opened;
        }
        handle->abort = [stream = used]() { stream->close(); };
        base::result<peer::frame> answer = co_await exchange_on(used, to, message, limit);
        // An open connection can be silent for good while new ones work.
        if (answer || !reused || handle->ended) {
            co_return answer;
        }
        reused = false;
        used = nullptr;
    }
}

asio::awaitable<base::result<peer::frame>>
peer_transport::exchange_kept(base::address to, peer::frame message, base::duration limit) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    const std::shared_ptr<exchange_handle> handle = std::make_shared<exchange_handle>();
    stream_ptr stream;
    const base::result<peer::frame> answer = co_await exchange_on_kept(stream, to, message, limit, handle);
    if (answer) {
        keep(to, stream);
    }
    co_return answer;
}

asio::awaitable<base::result<peer::frame>>
peer_transport::exchange_long(base::address to, peer::frame message, base::duration limit,
                              std::shared_ptr<exchange_handle> handle) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    stream_ptr stream;
    const base::result<peer::frame> taken =
        co_await exchange_on_kept(stream, to, message, accept_limit, handle);
    base::result<peer::frame> answer = taken;
    if (taken && std::holds_alternative<peer::accepted>(*taken)) {
        answer = co_await read_from(stream, to, limit);
    }
    handle->abort = nullptr;
    if (answer) {
        keep(to, stream);
    }
    co_return answer;
}

void peer_transport::keep(const base::address& to, const stream_ptr& stream) {
    if (!stopped_) {
        kept_[to].push_back({stream, std::chrono::steady_clock::now()});
    }
}

void peer_transport::stop() {
    stopped_ = true;
    error_code ignored;
    datagrams_.close(ignored);
    acceptor_.close(ignored);
    kept_.clear();
    // The handlers refer to the owner of this transport.
    on_datagram_ = nullptr;
    on_frame_ = nullptr;
}

} // namespace rattanbay::daemon::internal
