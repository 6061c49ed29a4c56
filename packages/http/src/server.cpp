#include "internal/beast_responder.hpp"
#include "internal/read_timeout.hpp"

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

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>

namespace rattanbay::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using internal::beast_responder;
using internal::read_timeout;

/// Received bytes of a body that the parser has not consumed.
constexpr std::size_t max_unparsed_body_bytes = 64 * 1024;

/// Maps a read error to the error passed to the callback that builds the response; empty if the client has
/// disconnected and cannot receive a response.
std::optional<base::error> rejection_error(const error_code& ec) {
    if (ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message) {
        return std::nullopt;
    }
    const bool too_large = ec == beast::http::error::body_limit || ec == beast::http::error::header_limit ||
                           ec == beast::http::error::buffer_overflow;
    if (too_large) {
        return base::error{base::error_code::exhausted, "the request is too large: " + ec.message()};
    }
    if (ec == beast::error::timeout) {
        return base::error{base::error_code::timed_out, "the request did not arrive in time"};
    }
    if (ec == asio::error::no_memory) {
        return base::error{base::error_code::overloaded, "no memory is left for the body of the request"};
    }
    if (ec == asio::error::no_descriptors) {
        return base::error{base::error_code::overloaded, "no descriptor is left for the connection"};
    }
    const bool malformed =
        ec.category() == beast::http::make_error_code(beast::http::error::bad_version).category();
    if (malformed) {
        return base::error{base::error_code::invalid_input, "the request is malformed: " + ec.message()};
    }
    return std::nullopt;
}

/// Error passed to the callback that builds the response to a request whose handler threw an exception. What
/// the exception says is logged, not sent.
base::error handler_error() {
    return base::error{base::error_code::unavailable, "the request handler failed"};
}

class beast_server;

/// One accepted connection.
using request_parser = beast::http::request_parser<beast::http::string_body>;

/// Bodies up to this size count as part of their connection's memory.
constexpr std::size_t uncounted_body_bytes = 4096;

class session : public std::enable_shared_from_this<session> {
public:
    /// `idle_timeout` is the one in force when the connection is accepted.
    session(tcp::socket socket, std::optional<descriptor_budget::lease> descriptor,
            std::shared_ptr<beast_server> server, std::uint64_t id, base::duration idle_timeout)
        : descriptor_(std::move(descriptor))
        , stream_(std::move(socket))
        , server_(std::move(server))
        , id_(id)
        , idle_timeout_(idle_timeout) {}

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();

    /// Cancels the wait for a request, if there is one, so that it is repeated with the limits in force or,
    /// in a planned stop, ends. The socket stays open: a request that has arrived, or whose bytes were read
    /// but not yet handled, is still answered.
    void cancel_wait() {
        if (!request_active_) {
            error_code ignored;
            stream_.socket().cancel(ignored);
        }
    }

    /// Applies a longer idle timeout to the wait for a request, if there is one.
    void extend_idle_timeout(base::duration idle_timeout) {
        if (idle_timeout > idle_timeout_) {
            idle_timeout_ = idle_timeout;
            cancel_wait();
        }
    }

    asio::any_io_executor executor() { return stream_.get_executor(); }

private:
    asio::awaitable<void> serve_requests();
    asio::awaitable<error_code> wait_for_first_byte();
    /// For how long the connection is kept without a byte of a request from now on.
    base::duration wait_time_left() const;
    /// Reads what has arrived without waiting. Returns `ec` if there is nothing.
    error_code take_arrived_bytes(error_code ec);
    asio::awaitable<error_code> read_header(std::size_t max_bytes);
    /// Sets `memory` if the body counts toward the memory budget.
    asio::awaitable<error_code> read_request(request_parser& parser, const server_limits& limits,
                                             std::shared_ptr<memory_share>& memory);
    /// Takes memory for the body of which the header or some part was read. Returns false if there is none.
    bool take_memory(const request_parser& parser, std::shared_ptr<memory_share>& memory) const;
    asio::awaitable<void> reject(const base::error& reason);
    asio::awaitable<bool> serve(request message, bool keep_alive);
    void report(unanswered_request request) const;
    void report_partial(const error_code& ec) const;
    /// Reports the end of the connection, while its socket is still open.
    void report_end();
    void commit_received(std::size_t bytes);

    /// Empty if none was left; the connection is rejected then.
    std::optional<descriptor_budget::lease> descriptor_;
    beast::tcp_stream stream_;
    std::shared_ptr<beast_server> server_;
    std::uint64_t id_;
    beast::flat_buffer buffer_;
    bool request_active_ = false;
    /// Time at which the first bytes of the current request were read.
    std::chrono::steady_clock::time_point first_byte_;
    /// Time at which bytes of the current request were last read.
    std::chrono::steady_clock::time_point last_byte_;
    /// What is reported when the connection ends.
    closed_connection end_;
    /// Time at which the wait for a request began.
    std::chrono::steady_clock::time_point idle_since_;
    /// The longest idle timeout in force since the last response began or the connection was accepted. A
    /// client may rely on any of them, as it does not know when the server's limits change.
    base::duration idle_timeout_;
};

class beast_server final : public server {
public:
    beast_server(asio::io_context& context, request_handler handle_request, rejection_handler reject,
                 server_limits limits, unanswered_handler on_unanswered, close_handler on_closed,
                 server_resources resources)
        : context_(context)
        , acceptor_(asio::make_strand(context))
        , request_handler_(std::move(handle_request))
        , rejection_handler_(std::move(reject))
        , unanswered_handler_(std::move(on_unanswered))
        , close_handler_(std::move(on_closed))
        , resources_(resources)
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
            acceptor_.get_executor(), [self]() { return self->accept_connections(self); }, asio::detached);
    }

    void shut_down() override {
        shutting_down_.store(true);
        const std::shared_ptr<beast_server> self = std::static_pointer_cast<beast_server>(shared_from_this());
        asio::post(acceptor_.get_executor(), [self]() {
            self->accept_queued_connections(self);
            error_code ignored;
            self->acceptor_.close(ignored);
            self->listening_.store(false);
        });
        post_to_sessions([](session& open) { open.cancel_wait(); });
    }

    std::size_t open_connections() const override {
        const std::lock_guard<std::mutex> lock(mutex_);
        return sessions_.size();
    }

    std::uint64_t last_connection_id() const override { return last_connection_id_.load(); }

    std::size_t open_requests() const override { return open_requests_.load(); }

    bool listening() const override { return listening_.load(); }

    bool shutting_down() const { return shutting_down_.load(); }

    void disable_keep_alive() override { keep_alive_.store(false); }

    bool keep_alive_enabled() const { return keep_alive_.load() && !shutting_down(); }

    void set_limits(server_limits limits) override {
        const base::duration previous = limits_.read()->idle_timeout;
        limits_.publish(std::make_shared<server_limits>(limits));
        if (limits.idle_timeout > previous) {
            post_to_sessions(
                [timeout = limits.idle_timeout](session& open) { open.extend_idle_timeout(timeout); });
        }
    }

    server_limits limits() const { return *limits_.read(); }

    memory_budget* memory() const { return resources_.memory; }

    const request_handler& on_request() const { return request_handler_; }

    const rejection_handler& on_rejection() const { return rejection_handler_; }

    void report(const unanswered_request& request) const {
        if (unanswered_handler_) {
            unanswered_handler_(request);
        }
    }

    void report(const closed_connection& connection) const {
        if (close_handler_) {
            close_handler_(connection);
        }
    }

    void request_started() { open_requests_.fetch_add(1); }

    void request_ended() { open_requests_.fetch_sub(1); }

    void count_rejected_connection() { rejected_connections_.fetch_add(1); }

    void forget_rejected_connection() { rejected_connections_.fetch_sub(1); }

    void remove_session(const session* ended) {
        const std::lock_guard<std::mutex> lock(mutex_);
        sessions_.erase(ended);
    }

private:
    /// Calls a function for each open session, on the session's strand.
    void post_to_sessions(const std::function<void(session&)>& function) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const std::pair<const session* const, std::weak_ptr<session>>& entry : sessions_) {
            const std::shared_ptr<session> open = entry.second.lock();
            if (open) {
                asio::post(open->executor(), [open, function]() { function(*open); });
            }
        }
    }

    asio::awaitable<void> accept_connections(std::shared_ptr<beast_server> self) {
        constexpr std::chrono::milliseconds accept_retry_delay{50};
        while (!shutting_down()) {
            error_code ec;
            tcp::socket socket = co_await acceptor_.async_accept(
                asio::make_strand(context_), asio::redirect_error(asio::use_awaitable, ec));
            if (ec == asio::error::operation_aborted) {
                co_return;
            }
            if (ec) {
                // For example, no file descriptor is free: wait until some are closed.
                if (ec == asio::error::no_descriptors && resources_.descriptors != nullptr) {
                    resources_.descriptors->close_idle_connections();
                }
                asio::steady_timer timer(acceptor_.get_executor(), accept_retry_delay);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
                continue;
            }
            start_session(std::move(socket), self);
        }
    }

    /// Starts sessions for the connections that wait in the listener's queue. Closing the listener would
    /// reset them, and requests may have arrived on them.
    void accept_queued_connections(const std::shared_ptr<beast_server>& self) {
        error_code ec;
        acceptor_.non_blocking(true, ec);
        while (!ec) {
            tcp::socket socket(asio::make_strand(context_));
            acceptor_.accept(socket, ec);
            if (!ec) {
                start_session(std::move(socket), self);
            }
        }
    }

    /// Descriptor of a new connection; empty if none is left and the connection has to be rejected.
    std::optional<descriptor_budget::lease> take_descriptor() const {
        if (resources_.descriptors == nullptr) {
            return descriptor_budget::lease();
        }
        if (!resources_.rejects_connections) {
            return resources_.descriptors->acquire(descriptor_use::clients);
        }
        return resources_.descriptors->try_acquire(descriptor_use::clients);
    }

    void start_session(tcp::socket socket, const std::shared_ptr<beast_server>& self) {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::optional<descriptor_budget::lease> descriptor = take_descriptor();
        if (!descriptor && rejected_connections_.load() >= max_rejected_connections) {
            return;
        }
        const std::shared_ptr<session> opened =
            std::make_shared<session>(std::move(socket), std::move(descriptor), self,
                                      last_connection_id_.fetch_add(1) + 1, limits().idle_timeout);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            sessions_.emplace(opened.get(), opened);
        }
        asio::co_spawn(
            opened->executor(), [opened]() { return opened->run(); }, asio::detached);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    request_handler request_handler_;
    rejection_handler rejection_handler_;
    unanswered_handler unanswered_handler_;
    close_handler close_handler_;
    const server_resources resources_;
    base::snapshot<server_limits> limits_;
    std::atomic<bool> shutting_down_{false};
    std::atomic<bool> listening_{true};
    std::atomic<bool> keep_alive_{true};
    std::atomic<std::uint64_t> last_connection_id_{0};
    std::atomic<std::size_t> open_requests_{0};
    std::atomic<std::size_t> rejected_connections_{0};
    mutable std::mutex mutex_;
    /// Weak, as each session holds a shared pointer to its server.
    std::map<const session*, std::weak_ptr<session>> sessions_;
};

void session::commit_received(std::size_t bytes) {
    buffer_.commit(bytes);
    last_byte_ = std::chrono::steady_clock::now();
}

void session::report(unanswered_request request) const {
    request.connection_id = id_;
    request.since_last_byte =
        std::chrono::duration_cast<base::duration>(std::chrono::steady_clock::now() - last_byte_);
    server_->report(request);
}

void session::report_partial(const error_code& ec) const {
    unanswered_request request;
    const bool closed = ec == beast::http::error::end_of_stream ||
                        ec == beast::http::error::partial_message || ec == asio::error::connection_reset ||
                        ec == asio::error::eof;
    request.reason = closed ? unanswered_reason::client_closed : unanswered_reason::read_failed;
    request.detail = ec.message();
    report(std::move(request));
}

void session::report_end() {
    end_.connection_id = id_;
    if (end_.reason == close_reason::idle || end_.reason == close_reason::shut_down) {
        end_.idle_time =
            std::chrono::duration_cast<base::duration>(std::chrono::steady_clock::now() - idle_since_);
    }
    end_.last_idle_timeout = server_->limits().idle_timeout;
    error_code ec;
    const std::size_t unread_bytes = stream_.socket().available(ec);
    end_.unread_bytes = ec ? 0 : unread_bytes;
    server_->report(end_);
}

error_code session::take_arrived_bytes(error_code ec) {
    constexpr std::size_t read_bytes = 4096;
    error_code read_error;
    stream_.socket().non_blocking(true, read_error);
    const std::size_t size = stream_.socket().receive(buffer_.prepare(read_bytes), 0, read_error);
    if (read_error || size == 0) {
        return ec;
    }
    commit_received(size);
    return {};
}

base::duration session::wait_time_left() const {
    // The client of a new connection may already be sending, and no response could tell it of the end.
    constexpr base::duration first_request_wait = std::chrono::milliseconds(250);
    const base::duration idle_time =
        std::chrono::duration_cast<base::duration>(std::chrono::steady_clock::now() - idle_since_);
    if (!descriptor_) {
        return std::min(first_request_wait, idle_timeout_) - idle_time;
    }
    if (!server_->shutting_down()) {
        return idle_timeout_ - idle_time;
    }
    return end_.requests > 0 ? base::duration(0) : std::min(first_request_wait, idle_timeout_) - idle_time;
}

asio::awaitable<error_code> session::wait_for_first_byte() {
    constexpr std::size_t read_bytes = 4096;
    idle_since_ = std::chrono::steady_clock::now();
    end_.first_idle_timeout = idle_timeout_;
    idle_timeout_ = std::max(idle_timeout_, server_->limits().idle_timeout);
    if (buffer_.size() > 0) {
        co_return error_code();
    }
    if (server_->shutting_down() && wait_time_left() <= base::duration(0)) {
        co_return take_arrived_bytes(asio::error::operation_aborted);
    }
    stream_.expires_never();
    error_code ec = asio::error::operation_aborted;
    // The wait is cancelled without a timeout when the idle timeout is extended or the server shuts down.
    while (ec == asio::error::operation_aborted &&
           (!server_->shutting_down() || wait_time_left() > base::duration(0))) {
        read_timeout idle_timeout(stream_, wait_time_left());
        const std::size_t size = co_await stream_.async_read_some(
            buffer_.prepare(read_bytes), asio::redirect_error(asio::use_awaitable, ec));
        ec = idle_timeout.finish(ec);
        if (!ec) {
            commit_received(size);
        } else if (ec == beast::error::timeout || ec == asio::error::operation_aborted) {
            // If the thread was held, the bytes of a request may have arrived before the wait was cancelled
            // and still be in the socket.
            ec = take_arrived_bytes(ec);
        }
    }
    if (ec == beast::error::timeout && server_->shutting_down()) {
        ec = asio::error::operation_aborted;
    }
    co_return ec;
}

/// Whether a header contains obsolete line folding. RFC 9112 allows a server to reject it; another
/// recipient could parse the continuation line as a separate field.
bool has_folded_line(std::string_view header) {
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

asio::awaitable<error_code> session::read_header(std::size_t max_bytes) {
    constexpr std::string_view end_of_header = "\r\n\r\n";
    constexpr std::size_t read_bytes = 4096;
    error_code ec;
    while (!ec) {
        const std::string_view received(static_cast<const char*>(buffer_.data().data()), buffer_.size());
        const std::size_t end = received.find(end_of_header);
        if (end != std::string_view::npos) {
            const bool folded = has_folded_line(received.substr(0, end));
            co_return folded ? error_code(beast::http::error::bad_value) : error_code();
        }
        if (received.size() > max_bytes) {
            co_return error_code(beast::http::error::header_limit);
        }
        const std::size_t size = co_await stream_.async_read_some(
            buffer_.prepare(read_bytes), asio::redirect_error(asio::use_awaitable, ec));
        commit_received(size);
    }
    co_return ec == asio::error::eof ? error_code(beast::http::error::partial_message) : ec;
}

asio::awaitable<error_code> session::read_request(request_parser& parser, const server_limits& limits,
                                                  std::shared_ptr<memory_share>& memory) {
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser.body_limit(limits.max_body_bytes);
    // Bounds chunk extensions and trailers, which count neither as header nor as body.
    buffer_.max_size(limits.max_header_bytes + max_unparsed_body_bytes);
    stream_.expires_never();
    read_timeout header_timeout(stream_, limits.header_timeout);
    error_code ec = co_await read_header(limits.max_header_bytes);
    ec = header_timeout.finish(ec);
    if (ec) {
        co_return ec;
    }
    read_timeout body_timeout(stream_, limits.body_timeout);
    while (!ec && !parser.is_done()) {
        co_await beast::http::async_read_some(stream_, buffer_, parser,
                                              asio::redirect_error(asio::use_awaitable, ec));
        last_byte_ = ec ? last_byte_ : std::chrono::steady_clock::now();
        if (!ec && !take_memory(parser, memory)) {
            ec = asio::error::no_memory;
        }
    }
    co_return body_timeout.finish(ec);
}

bool session::take_memory(const request_parser& parser, std::shared_ptr<memory_share>& memory) const {
    memory_budget* const budget = server_->memory();
    if (budget == nullptr || !parser.is_header_done()) {
        return true;
    }
    const boost::optional<std::uint64_t> length = parser.content_length();
    const std::size_t bytes = length ? static_cast<std::size_t>(*length) : parser.get().body().capacity();
    if (bytes <= uncounted_body_bytes) {
        return true;
    }
    if (!memory) {
        memory = std::make_shared<memory_share>(*budget, memory_use::requests);
    }
    return memory->bytes() == bytes || memory->try_resize(bytes);
}

asio::awaitable<void> session::reject(const base::error& reason) {
    beast_responder out(stream_, buffer_, server_->limits().write_timeout, false, id_);
    response message = server_->on_rejection()(reason);
    co_await out.send(std::move(message));
    const std::optional<unanswered_request> unanswered = out.unanswered();
    if (unanswered) {
        report(*unanswered);
    }
    // Discards input until the client closes its side: closing the socket with unread input would reset
    // the connection, and the client could lose the response.
    error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    // Nothing was wrong with a request that is rejected for want of memory, so that its client should get the
    // response also after a long body on a slow link. Connections without a descriptor should end soon.
    constexpr std::chrono::milliseconds drain_timeout{500};
    constexpr std::chrono::milliseconds memory_drain_timeout{2000};
    constexpr std::size_t max_drained_bytes = 8 * 1024 * 1024;
    std::array<char, 16 * 1024> drain_buffer{};
    std::size_t drained_bytes = 0;
    const bool lacks_memory = reason.code == base::error_code::overloaded && descriptor_;
    stream_.expires_after(lacks_memory ? memory_drain_timeout : drain_timeout);
    while (!ec && drained_bytes < max_drained_bytes) {
        drained_bytes += co_await stream_.async_read_some(asio::buffer(drain_buffer),
                                                          asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<bool> session::serve(request message, bool keep_alive) {
    const server_limits limits = server_->limits();
    beast_responder out(stream_, buffer_, limits.write_timeout, keep_alive, id_);
    out.announce_idle_timeout(limits.idle_timeout);
    out.set_begin_of_request(first_byte_);
    // A planned stop may begin while the request is handled; its client must not use the connection again.
    out.set_keep_alive_condition([this]() { return server_->keep_alive_enabled(); });
    idle_timeout_ = limits.idle_timeout;
    server_->request_started();
    std::optional<std::string> failure;
    try {
        co_await server_->on_request()(message, out);
    } catch (const std::exception& error) {
        failure = error.what();
    }
    // Also after an exception: the monitor refers to this connection's stream and buffer.
    co_await out.stop_disconnect_monitor();
    if (failure && !out.started()) {
        out.close_after_response();
        response answer = server_->on_rejection()(handler_error());
        co_await out.send(std::move(answer));
    }
    server_->request_ended();
    std::optional<unanswered_request> unanswered = out.unanswered();
    if (failure) {
        unanswered = unanswered.value_or(unanswered_request{});
        unanswered->reason = unanswered_reason::handler_failed;
        unanswered->detail = *failure;
    }
    if (unanswered) {
        unanswered->message = &message;
        report(*unanswered);
    }
    co_return !failure && out.reusable();
}

asio::awaitable<void> session::serve_requests() {
    bool open = true;
    while (open) {
        error_code ec = co_await wait_for_first_byte();
        if (ec) {
            if (ec == beast::error::timeout) {
                end_.reason = close_reason::idle;
            } else if (ec == asio::error::operation_aborted) {
                end_.reason = close_reason::shut_down;
            }
            break;
        }
        ++end_.requests;
        first_byte_ = last_byte_;
        request_active_ = true;
        request_parser parser;
        std::shared_ptr<memory_share> memory;
        ec = descriptor_ ? co_await read_request(parser, server_->limits(), memory)
                         : error_code(asio::error::no_descriptors);
        if (ec) {
            const std::optional<base::error> reason = rejection_error(ec);
            if (reason) {
                end_.reason = close_reason::rejected;
                co_await reject(*reason);
            } else {
                report_partial(ec);
            }
            break;
        }
        const bool keep_alive = parser.get().keep_alive() && server_->keep_alive_enabled();
        request message;
        message.method = std::string(parser.get().method_string());
        message.target = std::string(parser.get().target());
        for (const beast::http::fields::value_type& entry : parser.get()) {
            message.fields.add(std::string(entry.name_string()), std::string(entry.value()));
        }
        message.body = std::move(parser.get().body());
        message.memory = std::move(memory);
        const bool reusable = co_await serve(std::move(message), keep_alive);
        request_active_ = false;
        // During a planned stop, the wait for the next request takes only one that has arrived.
        open = reusable;
        if (!open) {
            end_.reason = close_reason::after_response;
        }
    }
}

asio::awaitable<void> session::run() {
    const std::shared_ptr<session> self = shared_from_this();
    if (!descriptor_) {
        server_->count_rejected_connection();
    }
    try {
        co_await serve_requests();
    } catch (const std::exception& error) {
        unanswered_request request;
        request.reason = unanswered_reason::read_failed;
        request.detail = error.what();
        report(std::move(request));
    }
    report_end();
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
    if (!descriptor_) {
        server_->forget_rejected_connection();
    }
    server_->remove_session(this);
}

} // namespace

base::result<std::shared_ptr<server>> server::listen(asio::io_context& context, const base::address& address,
                                                     request_handler handle_request, rejection_handler reject,
                                                     server_limits limits, unanswered_handler on_unanswered,
                                                     close_handler on_closed, server_resources resources) {
    const std::shared_ptr<beast_server> instance =
        std::make_shared<beast_server>(context, std::move(handle_request), std::move(reject), limits,
                                       std::move(on_unanswered), std::move(on_closed), resources);
    const error_code ec = instance->bind(address);
    if (ec) {
        return base::fail(base::error_code::unavailable, "listen on " + address.text() + ": " + ec.message());
    }
    instance->start();
    return std::shared_ptr<server>(instance);
}

} // namespace rattanbay::http
