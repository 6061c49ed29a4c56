#include "internal/arrival_limit.hpp"
#include "internal/departure_watch.hpp"

#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>

namespace rattanbay::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using internal::arrival_limit;
using internal::departure_watch;

constexpr int http_1_1 = 11;

base::error broken(const error_code& ec) {
    const base::error_code code =
        ec == beast::error::timeout ? base::error_code::timed_out : base::error_code::connection_broken;
    return base::error{code, "write to the client: " + ec.message()};
}

/// Maps a read error to the error that the rejection handler takes; nothing when the client is
/// gone and no response can reach it.
std::optional<base::error> to_rejection(const error_code& ec) {
    if (ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message) {
        return std::nullopt;
    }
    if (ec == beast::http::error::body_limit || ec == beast::http::error::header_limit) {
        return base::error{base::error_code::exhausted, "the request is too large: " + ec.message()};
    }
    if (ec == beast::error::timeout) {
        return base::error{base::error_code::timed_out, "the request did not arrive in time"};
    }
    const bool malformed =
        ec.category() == beast::http::make_error_code(beast::http::error::bad_version).category();
    if (malformed) {
        return base::error{base::error_code::invalid_input, "the request is malformed: " + ec.message()};
    }
    return std::nullopt;
}

class beast_responder final : public responder {
public:
    beast_responder(beast::tcp_stream& stream, beast::flat_buffer& buffer, base::duration limit,
                    bool keep_alive, std::uint64_t connection)
        : stream_(stream)
        , buffer_(buffer)
        , limit_(limit)
        , keep_alive_(keep_alive)
        , connection_(connection) {}

    void on_departure(std::function<void()> notify) override {
        assert(!watch_);
        watch_ = std::make_shared<departure_watch>(stream_, buffer_);
        watch_->start(std::move(notify));
    }

    void close_after() override { keep_alive_ = false; }

    /// Ends what `on_departure` began.
    asio::awaitable<void> stop_watch() {
        if (watch_) {
            co_await watch_->stop();
        }
    }

    asio::awaitable<base::result<void>> send(response message) override {
        assert(!started_);
        started_ = true;
        beast::http::response<beast::http::string_body> out;
        out.version(http_1_1);
        out.result(static_cast<unsigned>(message.status));
        out.keep_alive(keep_alive_);
        for (const field& row : message.fields.list()) {
            out.insert(row.name, row.value);
        }
        out.body() = std::move(message.body);
        out.prepare_payload();
        error_code ec;
        stream_.expires_after(limit_);
        co_await beast::http::async_write(stream_, out, asio::redirect_error(asio::use_awaitable, ec));
        whole_ = !ec;
        co_return finish(ec);
    }

    asio::awaitable<base::result<void>> begin_stream(response_head head) override {
        assert(!started_);
        started_ = true;
        beast::http::response<beast::http::empty_body> out;
        out.version(http_1_1);
        out.result(static_cast<unsigned>(head.status));
        out.keep_alive(keep_alive_);
        out.chunked(true);
        for (const field& row : head.fields.list()) {
            out.insert(row.name, row.value);
        }
        beast::http::response_serializer<beast::http::empty_body> serializer(out);
        error_code ec;
        stream_.expires_after(limit_);
        co_await beast::http::async_write_header(stream_, serializer,
                                                 asio::redirect_error(asio::use_awaitable, ec));
        co_return finish(ec);
    }

    asio::awaitable<base::result<void>> write(std::string piece) override {
        assert(started_ && !piece.empty());
        error_code ec;
        stream_.expires_after(limit_);
        co_await asio::async_write(stream_, beast::http::make_chunk(asio::buffer(piece)),
                                   asio::redirect_error(asio::use_awaitable, ec));
        co_return finish(ec);
    }

    asio::awaitable<base::result<void>> end_stream() override {
        assert(started_);
        error_code ec;
        stream_.expires_after(limit_);
        co_await asio::async_write(stream_, beast::http::make_chunk_last(),
                                   asio::redirect_error(asio::use_awaitable, ec));
        whole_ = !ec;
        co_return finish(ec);
    }

    void abort() override {
        whole_ = false;
        error_code ignored;
        stream_.socket().close(ignored);
    }

    bool started() const override { return started_; }

    asio::awaitable<base::result<void>> write_raw(std::string bytes) override {
        started_ = true;
        whole_ = false;
        error_code ec;
        stream_.expires_after(limit_);
        co_await asio::async_write(stream_, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ec));
        co_return finish(ec);
    }

    std::uint64_t connection() const override { return connection_; }

    /// Whether a whole response was sent and the connection can take another request.
    bool reusable() const { return whole_ && keep_alive_; }

private:
    static base::result<void> finish(const error_code& ec) {
        if (ec) {
            return tl::unexpected<base::error>(broken(ec));
        }
        return {};
    }

    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
    base::duration limit_;
    bool keep_alive_;
    std::uint64_t connection_;
    std::shared_ptr<departure_watch> watch_;
    bool started_ = false;
    bool whole_ = false;
};

class beast_server;

/// One accepted connection.
class session : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, std::shared_ptr<beast_server> owner, std::uint64_t number)
        : stream_(std::move(socket))
        , owner_(std::move(owner))
        , number_(number) {}

    asio::awaitable<void> run();

    /// Closes the connection unless a request is being handled.
    void close_if_idle() {
        if (!handling_) {
            error_code ignored;
            stream_.socket().close(ignored);
        }
    }

    asio::any_io_executor executor() { return stream_.get_executor(); }

private:
    asio::awaitable<error_code> wait_for_first_byte();
    asio::awaitable<error_code> read_header(std::size_t most);
    asio::awaitable<error_code> read_request(beast::http::request_parser<beast::http::string_body>& parser,
                                             const server_limits& limits);
    asio::awaitable<void> reject(const base::error& reason);
    asio::awaitable<bool> serve(request message, bool keep_alive);

    beast::tcp_stream stream_;
    std::shared_ptr<beast_server> owner_;
    std::uint64_t number_;
    beast::flat_buffer buffer_;
    bool handling_ = false;
};

class beast_server final : public server {
public:
    beast_server(asio::io_context& context, handler handle, rejection reject, server_limits limits)
        : context_(context)
        , acceptor_(asio::make_strand(context))
        , handle_(std::move(handle))
        , reject_(std::move(reject))
        , limits_(std::make_shared<server_limits>(limits)) {}

    error_code bind(const base::address& address) {
        error_code ec;
        const tcp::endpoint local(asio::ip::make_address_v4(address.ip), address.port);
        acceptor_.open(local.protocol(), ec);
        if (!ec) {
            acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
        }
        if (!ec) {
            acceptor_.bind(local, ec);
        }
        if (!ec) {
            acceptor_.listen(asio::socket_base::max_listen_connections, ec);
        }
        return ec;
    }

    void start() {
        const std::shared_ptr<beast_server> self = std::static_pointer_cast<beast_server>(shared_from_this());
        asio::co_spawn(
            acceptor_.get_executor(), [self]() { return self->accept_all(self); }, asio::detached);
    }

    void shut_down() override {
        closing_.store(true);
        const std::shared_ptr<beast_server> self = std::static_pointer_cast<beast_server>(shared_from_this());
        asio::post(acceptor_.get_executor(), [self]() {
            error_code ignored;
            self->acceptor_.close(ignored);
        });
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const std::pair<const session* const, std::weak_ptr<session>>& row : sessions_) {
            const std::shared_ptr<session> open = row.second.lock();
            if (open) {
                asio::post(open->executor(), [open]() { open->close_if_idle(); });
            }
        }
    }

    std::size_t open_connections() const override {
        const std::lock_guard<std::mutex> lock(mutex_);
        return sessions_.size();
    }

    std::uint64_t newest_connection() const override { return accepted_.load(); }

    std::size_t open_requests() const override { return open_requests_.load(); }

    bool closing() const { return closing_.load(); }

    void end_keep_alive() override { keep_alive_.store(false); }

    bool keeps_alive() const { return keep_alive_.load() && !closing(); }

    void set_limits(server_limits limits) override {
        limits_.publish(std::make_shared<server_limits>(limits));
    }

    server_limits limits() const { return *limits_.read(); }

    const handler& handle() const { return handle_; }

    const rejection& reject() const { return reject_; }

    void request_started() { open_requests_.fetch_add(1); }

    void request_ended() { open_requests_.fetch_sub(1); }

    void forget(const session* ended) {
        const std::lock_guard<std::mutex> lock(mutex_);
        sessions_.erase(ended);
    }

private:
    asio::awaitable<void> accept_all(std::shared_ptr<beast_server> self) {
        constexpr std::chrono::milliseconds retry_pause{50};
        while (!closing()) {
            error_code ec;
            tcp::socket socket = co_await acceptor_.async_accept(
                asio::make_strand(context_), asio::redirect_error(asio::use_awaitable, ec));
            if (ec == asio::error::operation_aborted || closing()) {
                co_return;
            }
            if (ec) {
                // For example no free file descriptor: wait for some to be closed.
                asio::steady_timer timer(acceptor_.get_executor(), retry_pause);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
                continue;
            }
            adopt(std::move(socket), self);
        }
    }

    void adopt(tcp::socket socket, const std::shared_ptr<beast_server>& self) {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const std::shared_ptr<session> opened =
            std::make_shared<session>(std::move(socket), self, accepted_.fetch_add(1) + 1);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            sessions_.emplace(opened.get(), opened);
        }
        asio::co_spawn(
            opened->executor(), [opened]() { return opened->run(); }, asio::detached);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    handler handle_;
    rejection reject_;
    base::snapshot<server_limits> limits_;
    std::atomic<bool> closing_{false};
    std::atomic<bool> keep_alive_{true};
    std::atomic<std::uint64_t> accepted_{0};
    std::atomic<std::size_t> open_requests_{0};
    mutable std::mutex mutex_;
    /// A session keeps its server alive, so that the server must not keep the session alive.
    std::map<const session*, std::weak_ptr<session>> sessions_;
};

asio::awaitable<error_code> session::wait_for_first_byte() {
    constexpr std::size_t first_read = 4096;
    error_code ec;
    if (buffer_.size() == 0) {
        stream_.expires_after(owner_->limits().idle);
        const std::size_t size = co_await stream_.async_read_some(
            buffer_.prepare(first_read), asio::redirect_error(asio::use_awaitable, ec));
        buffer_.commit(size);
    }
    co_return ec;
}

/// Whether a header field is continued on a line of its own. RFC 9112 lets a server reject that;
/// another reader could take the line for a field.
bool has_folded_line(std::string_view header) {
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

asio::awaitable<error_code> session::read_header(std::size_t most) {
    constexpr std::string_view end_of_header = "\r\n\r\n";
    constexpr std::size_t piece = 4096;
    error_code ec;
    while (!ec) {
        const std::string_view arrived(static_cast<const char*>(buffer_.data().data()), buffer_.size());
        const std::size_t end = arrived.find(end_of_header);
        if (end != std::string_view::npos) {
            const bool folded = has_folded_line(arrived.substr(0, end));
            co_return folded ? error_code(beast::http::error::bad_value) : error_code();
        }
        if (arrived.size() > most) {
            co_return error_code(beast::http::error::header_limit);
        }
        const std::size_t size = co_await stream_.async_read_some(
            buffer_.prepare(piece), asio::redirect_error(asio::use_awaitable, ec));
        buffer_.commit(size);
    }
    co_return ec == asio::error::eof ? error_code(beast::http::error::partial_message) : ec;
}

asio::awaitable<error_code>
session::read_request(beast::http::request_parser<beast::http::string_body>& parser,
                      const server_limits& limits) {
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    stream_.expires_never();
    arrival_limit header_limit(stream_, limits.header_arrival);
    error_code ec = co_await read_header(limits.header_bytes);
    ec = co_await header_limit.finish(ec);
    if (ec) {
        co_return ec;
    }
    arrival_limit body_limit(stream_, limits.arrival);
    co_await beast::http::async_read(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, ec));
    co_return co_await body_limit.finish(ec);
}

asio::awaitable<void> session::reject(const base::error& reason) {
    beast_responder out(stream_, buffer_, owner_->limits().write, false, number_);
    response message = owner_->reject()(reason);
    co_await out.send(std::move(message));
    // Waits for the client to read the response: closing with unread input would reset the
    // connection and the response could be lost.
    error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    constexpr std::chrono::milliseconds linger{500};
    constexpr std::size_t max_discarded = 8 * 1024 * 1024;
    std::array<char, 16 * 1024> discarded{};
    std::size_t total = 0;
    stream_.expires_after(linger);
    while (!ec && total < max_discarded) {
        total += co_await stream_.async_read_some(asio::buffer(discarded),
                                                  asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<bool> session::serve(request message, bool keep_alive) {
    beast_responder out(stream_, buffer_, owner_->limits().write, keep_alive, number_);
    owner_->request_started();
    co_await owner_->handle()(message, out);
    co_await out.stop_watch();
    owner_->request_ended();
    co_return out.reusable();
}

asio::awaitable<void> session::run() {
    const std::shared_ptr<session> self = shared_from_this();
    bool open = true;
    while (open) {
        error_code ec = co_await wait_for_first_byte();
        if (ec) {
            break;
        }
        handling_ = true;
        beast::http::request_parser<beast::http::string_body> parser;
        ec = co_await read_request(parser, owner_->limits());
        if (ec) {
            const std::optional<base::error> reason = to_rejection(ec);
            if (reason) {
                co_await reject(*reason);
            }
            break;
        }
        const bool keep_alive = parser.get().keep_alive() && owner_->keeps_alive();
        request message;
        message.method = std::string(parser.get().method_string());
        message.target = std::string(parser.get().target());
        for (const beast::http::fields::value_type& row : parser.get()) {
            message.fields.add(std::string(row.name_string()), std::string(row.value()));
        }
        message.body = std::move(parser.get().body());
        const bool reusable = co_await serve(std::move(message), keep_alive);
        handling_ = false;
        open = reusable && !owner_->closing();
    }
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
    owner_->forget(this);
}

} // namespace

base::result<std::shared_ptr<server>> server::listen(asio::io_context& context, const base::address& address,
                                                     handler handle, rejection reject, server_limits limits) {
    const std::shared_ptr<beast_server> created =
        std::make_shared<beast_server>(context, std::move(handle), std::move(reject), limits);
    const error_code ec = created->bind(address);
    if (ec) {
        return base::fail(base::error_code::unavailable, "listen on " + address.text() + ": " + ec.message());
    }
    created->start();
    return std::shared_ptr<server>(created);
}

} // namespace rattanbay::http
