#include "internal/peer_transport.hpp"

#include "internal/guarded_loop.hpp"

#include <rattanbay/http/operation_timeout.hpp>

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

constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::seconds write_timeout{5};
/// Time within which a daemon must acknowledge a message whose reply takes long.
constexpr std::chrono::milliseconds ack_timeout{500};
/// Idle time after which a pooled connection is no longer used, and the longer one after which the serving
/// side closes it.
constexpr std::chrono::seconds max_pooled_idle{5};
constexpr std::chrono::seconds server_idle_timeout{15};

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

/// Whether the other side has closed the connection. Does not consume received data.
bool is_closed(tcp::socket& socket) {
    char byte = 0;
    error_code ec;
    if (!socket.non_blocking()) {
        socket.non_blocking(true, ec);
    }
    const std::size_t size = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block && (ec || size == 0);
}

/// Reads one frame. `ec` is set if the connection fails; the result alone reports an invalid frame.
asio::awaitable<base::result<peer::frame>> read_frame(beast::tcp_stream& stream, std::string_view secret,
                                                      base::duration timeout, error_code& ec) {
    std::string header(peer::frame_header_bytes, '\0');
    http::operation_timeout limit(stream, timeout, http::awaited_readiness::read);
    co_await asio::async_read(stream, asio::buffer(header), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        ec = limit.finish(ec);
        co_return base::fail(base::error_code::connection_broken, ec.message());
    }
    const base::result<std::size_t> size = peer::frame_size(header);
    if (!size) {
        co_return tl::unexpected<base::error>(size.error());
    }
    std::string body(*size, '\0');
    co_await asio::async_read(stream, asio::buffer(body), asio::redirect_error(asio::use_awaitable, ec));
    ec = limit.finish(ec);
    if (ec) {
        co_return base::fail(base::error_code::connection_broken, ec.message());
    }
    co_return peer::decode_frame(body, secret);
}

/// Receive buffer of a serving connection; frames that schedule pieces fit into it.
using request_buffer = std::array<char, 4096>;

/// Like `read_frame`, but mostly with one read. A daemon sends its next message on a connection when it has
/// the reply, so that nothing may follow the frame.
asio::awaitable<base::result<peer::frame>> read_request(beast::tcp_stream& stream, std::string_view secret,
                                                        base::duration timeout, request_buffer& buffer,
                                                        error_code& ec) {
    stream.expires_after(timeout);
    const std::size_t received = co_await asio::async_read(stream, asio::buffer(buffer),
                                                           asio::transfer_at_least(peer::frame_header_bytes),
                                                           asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return base::fail(base::error_code::connection_broken, ec.message());
    }
    const std::string_view bytes(buffer.data(), received);
    const base::result<std::size_t> size = peer::frame_size(bytes.substr(0, peer::frame_header_bytes));
    if (!size) {
        co_return tl::unexpected<base::error>(size.error());
    }
    std::string body(bytes.substr(peer::frame_header_bytes));
    if (body.size() > *size) {
        co_return base::fail(base::error_code::protocol_violation, "bytes follow the message");
    }
    const std::size_t available = body.size();
    body.resize(*size);
    if (available < *size) {
        co_await asio::async_read(stream, asio::buffer(body.data() + available, *size - available),
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) {
        co_return base::fail(base::error_code::connection_broken, ec.message());
    }
    co_return peer::decode_frame(body, secret);
}

} // namespace

peer_transport::peer_transport(shared_state& shared, control_strand strand)
    : shared_(shared)
    , strand_(strand)
    , udp_socket_(strand)
    , acceptor_(strand) {}

base::result<void> peer_transport::start(datagram_handler on_datagram, frame_handler on_frame) {
    on_datagram_ = std::move(on_datagram);
    on_frame_ = std::move(on_frame);
    const base::address& address = shared_.settings.peer_address;
    const asio::ip::address_v4 ip = asio::ip::make_address_v4(address.ip);
    error_code ec;
    udp_socket_.open(udp::v4(), ec);
    if (!ec) {
        udp_socket_.bind(udp::endpoint(ip, address.port), ec);
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
        strand_,
        [self]() {
            return run_guarded(self->strand_, "receive_datagrams",
                               [self]() { return self->receive_datagrams(); });
        },
        asio::detached);
    asio::co_spawn(
        strand_,
        [self]() {
            return run_guarded(self->strand_, "accept_peers",
                               [self]() { return self->accept_connections(); });
        },
        asio::detached);
    return {};
}

void peer_transport::send(const base::address& to, const peer::datagram& message) {
    send_bytes(to, peer::encode(message, shared_.settings.cluster_secret));
}

void peer_transport::send(const std::vector<base::address>& to, const peer::datagram& message) {
    const std::string bytes = peer::encode(message, shared_.settings.cluster_secret);
    for (const base::address& address : to) {
        send_bytes(address, bytes);
    }
}

void peer_transport::send_bytes(const base::address& to, const std::string& bytes) {
    error_code ignored;
    udp_socket_.send_to(asio::buffer(bytes), udp::endpoint(asio::ip::make_address_v4(to.ip), to.port), 0,
                        ignored);
    shared_.metrics.add_peer_bytes("sent", bytes.size());
}

asio::awaitable<void> peer_transport::receive_datagrams() {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    while (!stopped_) {
        error_code ec;
        udp::endpoint from;
        const std::size_t size = co_await udp_socket_.async_receive_from(
            asio::buffer(receive_buffer_), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || stopped_) {
            co_return;
        }
        if (ec) {
            continue;
        }
        shared_.metrics.add_peer_bytes("received", size);
        base::result<peer::datagram> message = peer::decode_datagram(
            std::string_view(receive_buffer_.data(), size), shared_.settings.cluster_secret);
        const base::address sender = to_address(from.address().to_v4(), from.port());
        if (message) {
            try {
                on_datagram_(sender, std::move(*message));
            } catch (const std::exception& error) {
                log_aborted_call("datagram", sender.text(), error.what());
            }
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
            strand_, [self, accepted]() { return self->serve_guarded(std::move(*accepted)); },
            asio::detached);
    }
}

asio::awaitable<void> peer_transport::serve_guarded(tcp::socket socket) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    error_code ignored;
    const tcp::endpoint from = socket.remote_endpoint(ignored);
    try {
        co_await serve(std::move(socket));
    } catch (const std::exception& error) {
        log_aborted_call("peer_request", from.address().to_string(), error.what());
    }
}

asio::awaitable<void> peer_transport::serve(tcp::socket socket) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    error_code ec;
    const tcp::endpoint from = socket.remote_endpoint(ec);
    socket.set_option(tcp::no_delay(true), ec);
    const base::address remote = to_address(from.address().to_v4(), from.port());
    const stream_ptr stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    request_buffer buffer{};
    while (!stopped_) {
        base::result<peer::frame> message =
            co_await read_request(*stream, shared_.settings.cluster_secret, server_idle_timeout, buffer, ec);
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
        if (std::holds_alternative<peer::make_pieces>(*message)) {
            if (!co_await serve_with_ack(stream, remote, std::move(*message))) {
                co_return;
            }
            continue;
        }
        const peer::frame reply = co_await on_frame_(std::move(*message), std::make_shared<requester_link>());
        if (!co_await write_frame(stream, remote, reply, write_timeout)) {
            co_return;
        }
    }
}

asio::awaitable<bool> peer_transport::serve_with_ack(stream_ptr stream, base::address remote,
                                                     peer::frame message) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    const peer::frame ack = peer::accepted{};
    // A requester that has given up has closed the connection; its message is dropped without an answer.
    if (is_closed(stream->socket()) || !co_await write_frame(stream, remote, ack, write_timeout)) {
        co_return false;
    }
    const std::shared_ptr<requester_link> link = std::make_shared<requester_link>();
    asio::co_spawn(
        strand_, [self, stream, link]() { return self->watch_requester(stream, link); }, asio::detached);
    ++open_replies_;
    std::optional<peer::frame> reply;
    try {
        reply = co_await on_frame_(std::move(message), link);
    } catch (const std::exception& error) {
        log_aborted_call("peer_request", remote.text(), error.what());
    }
    error_code ignored;
    stream->socket().cancel(ignored);
    bool delivered = false;
    if (reply && !link->lost) {
        const base::result<void> written = co_await write_frame(stream, remote, *reply, write_timeout);
        delivered = written.has_value();
    }
    --open_replies_;
    if (!delivered) {
        link->notify_lost();
        co_return false;
    }
    // The requester has the results now; the watch may still be pending.
    link->on_lost = nullptr;
    co_return true;
}

asio::awaitable<void> peer_transport::watch_requester(stream_ptr stream,
                                                      std::shared_ptr<requester_link> link) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    error_code ec;
    co_await stream->socket().async_wait(tcp::socket::wait_read,
                                         asio::redirect_error(asio::use_awaitable, ec));
    if (ec != asio::error::operation_aborted && is_closed(stream->socket())) {
        link->notify_lost();
    }
}

asio::awaitable<base::result<peer_transport::stream_ptr>> peer_transport::connect(base::address to,
                                                                                  base::duration timeout) {
    const stream_ptr stream = std::make_shared<beast::tcp_stream>(strand_);
    error_code ec;
    http::operation_timeout limit(*stream, std::min<base::duration>(connect_timeout, timeout),
                                  http::awaited_readiness::write);
    const tcp::endpoint target(asio::ip::make_address_v4(to.ip), to.port);
    co_await stream->async_connect(target, asio::redirect_error(asio::use_awaitable, ec));
    ec = limit.finish(ec);
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, to));
    }
    stream->socket().set_option(tcp::no_delay(true), ec);
    co_return stream;
}

asio::awaitable<base::result<void>> peer_transport::write_frame(stream_ptr stream, base::address to,
                                                                const peer::frame& message,
                                                                base::duration timeout) {
    const std::string bytes = peer::encode(message, shared_.settings.cluster_secret);
    error_code ec;
    http::operation_timeout limit(*stream, std::min<base::duration>(write_timeout, timeout),
                                  http::awaited_readiness::write);
    co_await asio::async_write(*stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    ec = limit.finish(ec);
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, to));
    }
    co_return base::result<void>();
}

asio::awaitable<base::result<peer::frame>> peer_transport::read_reply(stream_ptr stream, base::address to,
                                                                      base::duration timeout) {
    error_code ec;
    base::result<peer::frame> reply =
        co_await read_frame(*stream, shared_.settings.cluster_secret, timeout, ec);
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, to));
    }
    co_return reply;
}

asio::awaitable<base::result<peer::frame>> peer_transport::exchange_on(stream_ptr stream, base::address to,
                                                                       const peer::frame& message,
                                                                       base::duration timeout) {
    const base::result<void> written = co_await write_frame(stream, to, message, timeout);
    if (!written) {
        co_return tl::unexpected<base::error>(written.error());
    }
    co_return co_await read_reply(stream, to, timeout);
}

asio::awaitable<base::result<peer::frame>> peer_transport::exchange(base::address to, peer::frame message,
                                                                    base::duration timeout) {
    const base::result<stream_ptr> opened = co_await connect(to, timeout);
    if (!opened) {
        co_return tl::unexpected<base::error>(opened.error());
    }
    co_return co_await exchange_on(*opened, to, message, timeout);
}

peer_transport::stream_ptr peer_transport::take_pooled(const base::address& to) {
    std::vector<pooled_connection>& connections = pool_[to];
    stream_ptr stream;
    while (!stream && !connections.empty()) {
        const pooled_connection last = std::move(connections.back());
        connections.pop_back();
        if (std::chrono::steady_clock::now() - last.idle_since < max_pooled_idle) {
            stream = last.stream;
        }
    }
    return stream;
}

asio::awaitable<base::result<peer::frame>>
peer_transport::exchange_on_pooled(stream_ptr& used, base::address to, const peer::frame& message,
                                   base::duration timeout, std::shared_ptr<exchange_handle> handle) {
    used = take_pooled(to);
    bool reused = used != nullptr;
    while (true) {
        if (!used) {
            const base::result<stream_ptr> opened = co_await connect(to, timeout);
            if (!opened) {
                co_return tl::unexpected<base::error>(opened.error());
            }
            used = *opened;
        }
        if (handle->cancelled) {
            co_return base::fail(base::error_code::unavailable, "the message is no longer needed");
        }
        handle->abort = [stream = used]() { stream->close(); };
        base::result<peer::frame> reply = co_await exchange_on(used, to, message, timeout);
        // A pooled connection can be permanently unresponsive while new ones work.
        if (reply || !reused || handle->finished || handle->cancelled) {
            co_return reply;
        }
        reused = false;
        used = nullptr;
    }
}

asio::awaitable<base::result<peer::frame>>
peer_transport::exchange_pooled(base::address to, peer::frame message, base::duration timeout) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    const std::shared_ptr<exchange_handle> handle = std::make_shared<exchange_handle>();
    stream_ptr stream;
    const base::result<peer::frame> reply = co_await exchange_on_pooled(stream, to, message, timeout, handle);
    if (reply) {
        return_to_pool(to, stream);
    }
    co_return reply;
}

asio::awaitable<base::result<peer::frame>>
peer_transport::exchange_with_ack(base::address to, peer::frame message, base::duration timeout,
                                  std::shared_ptr<exchange_handle> handle) {
    const std::shared_ptr<peer_transport> self = shared_from_this();
    stream_ptr stream;
    const base::result<peer::frame> ack =
        co_await exchange_on_pooled(stream, to, message, ack_timeout, handle);
    base::result<peer::frame> reply = ack;
    if (ack && std::holds_alternative<peer::accepted>(*ack)) {
        reply = co_await read_reply(stream, to, timeout);
    }
    handle->abort = nullptr;
    if (reply) {
        return_to_pool(to, stream);
    }
    co_return reply;
}

void peer_transport::return_to_pool(const base::address& to, const stream_ptr& stream) {
    if (!stopped_) {
        pool_[to].push_back({stream, std::chrono::steady_clock::now()});
    }
}

void peer_transport::stop() {
    stopped_ = true;
    error_code ignored;
    udp_socket_.close(ignored);
    acceptor_.close(ignored);
    pool_.clear();
    // The handlers hold references to the owner of this transport.
    on_datagram_ = nullptr;
    on_frame_ = nullptr;
}

} // namespace rattanbay::daemon::internal
