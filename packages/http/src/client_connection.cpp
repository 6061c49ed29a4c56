#include "internal/socket_readiness.hpp"

#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/http/liveness_probes.hpp>
#include <rattanbay/http/operation_timeout.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace rattanbay::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;

/// Range of the statuses of HTTP.
constexpr int min_status = 100;
constexpr int max_status = 599;
constexpr std::size_t max_response_header_bytes = 64 * 1024;
/// Received bytes that the parser has not consumed. The parser consumes content at once, so that more than a
/// header means a chunk extension or a trailer without end.
constexpr std::size_t max_unparsed_bytes = 2 * max_response_header_bytes;

base::error to_error(const error_code& ec, const base::address& remote_address, const char* operation) {
    const std::string message = std::string(operation) + " " + remote_address.text() + ": " + ec.message();
    // The operating system reports a time-out if probes or sent data are not acknowledged.
    if (ec == beast::error::timeout || ec == asio::error::timed_out) {
        return base::error{base::error_code::timed_out, message};
    }
    if (ec == asio::error::connection_refused) {
        return base::error{base::error_code::connection_refused, message};
    }
    const bool too_large = ec == beast::http::error::header_limit || ec == beast::http::error::body_limit ||
                           ec == beast::http::error::buffer_overflow;
    if (too_large) {
        return base::error{base::error_code::exhausted, message};
    }
    const bool malformed =
        ec.category() == beast::http::make_error_code(beast::http::error::bad_version).category();
    const bool truncated =
        ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message;
    if (malformed && !truncated) {
        return base::error{base::error_code::protocol_violation, message};
    }
    return base::error{base::error_code::connection_broken, message};
}

base::duration time_until(std::chrono::steady_clock::time_point end) {
    const std::chrono::steady_clock::duration left = end - std::chrono::steady_clock::now();
    return std::max(base::duration::zero(), std::chrono::duration_cast<base::duration>(left));
}

/// Value of `Keep-Alive: timeout=N`.
std::optional<base::duration> parse_keep_alive_timeout(const fields& fields) {
    constexpr std::string_view key = "timeout=";
    const std::optional<std::string> value = fields.find("Keep-Alive");
    const std::size_t position = value ? value->find(key) : std::string::npos;
    if (position == std::string::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char* const begin = value->data() + position + key.size();
    const std::from_chars_result parsed = std::from_chars(begin, value->data() + value->size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

class beast_connection final : public client_connection {
public:
    beast_connection(asio::any_io_executor executor, const base::address& remote_address,
                     descriptor_budget::lease descriptor)
        : descriptor_(std::move(descriptor))
        , state_(std::make_shared<stream_state>(std::move(executor)))
        , stream_(state_->stream)
        , remote_address_(remote_address) {}

    beast_connection(const beast_connection&) = delete;
    beast_connection& operator=(const beast_connection&) = delete;

    ~beast_connection() override {
        // A pending write holds a reference to the stream; closing the socket ends it.
        error_code ignored;
        stream_.socket().close(ignored);
    }

    asio::awaitable<error_code> open(base::duration timeout) {
        error_code ec;
        const asio::ip::tcp::endpoint target(asio::ip::make_address_v4(remote_address_.ip),
                                             remote_address_.port);
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        operation_timeout limit(executor, stream_, timeout, awaited_readiness::write);
        co_await stream_.async_connect(target, asio::redirect_error(asio::use_awaitable, ec));
        ec = limit.finish(ec);
        if (!ec) {
            error_code ignored;
            stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            enable_liveness_probes(stream_.socket());
        }
        co_return ec;
    }

    asio::awaitable<base::result<void>> send(request message, base::duration timeout) override {
        begin_exchange();
        error_code ec;
        outgoing_request outgoing = to_beast(std::move(message));
        co_await write(state_, std::move(outgoing), timeout, ec);
        if (ec) {
            co_return tl::unexpected<base::error>(to_error(ec, remote_address_, "send to"));
        }
        co_return base::result<void>();
    }

    void begin_send(request message, base::duration timeout) override {
        begin_exchange();
        state_->writing = true;
        asio::co_spawn(
            stream_.get_executor(),
            [state = state_, outgoing = to_beast(std::move(message)),
             timeout]() mutable -> asio::awaitable<void> {
                error_code ec;
                co_await write(state, std::move(outgoing), timeout, ec);
                state->writing = false;
                state->write_failed = static_cast<bool>(ec);
            },
            asio::detached);
    }

    asio::awaitable<base::result<response_header>> read_header(base::duration timeout) override {
        assert(parser_.has_value());
        error_code ec;
        // A pooled connection is used on other executors than that on which it was opened.
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        operation_timeout limit(executor, stream_, timeout, awaited_readiness::read);
        co_await beast::http::async_read_header(stream_, buffer_, *parser_,
                                                asio::redirect_error(asio::use_awaitable, ec));
        ec = limit.finish(ec);
        if (ec) {
            co_return tl::unexpected<base::error>(to_error(ec, remote_address_, "read from"));
        }
        response_header header;
        header.status = static_cast<int>(parser_->get().result_int());
        if (header.status < min_status || header.status > max_status) {
            close();
            co_return base::fail(base::error_code::protocol_violation,
                                 "read from " + remote_address_.text() + ": the status " +
                                     std::to_string(header.status) + " does not exist");
        }
        for (const beast::http::fields::value_type& row : parser_->get()) {
            header.fields.add(std::string(row.name_string()), std::string(row.value()));
        }
        keep_alive_timeout_ = parse_keep_alive_timeout(header.fields);
        co_return header;
    }

    void expect_response() override {
        assert(parser_.has_value() && parser_->is_done());
        reusable_ = false;
        prepare_parser();
    }

    asio::awaitable<base::result<std::string>> read_some(base::duration timeout) override {
        assert(parser_.has_value());
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
        while (!parser_->is_done()) {
            parser_->get().body().data = read_buffer_.data();
            parser_->get().body().size = read_buffer_.size();
            error_code ec;
            operation_timeout limit(executor, stream_, time_until(end), awaited_readiness::read);
            co_await beast::http::async_read_some(stream_, buffer_, *parser_,
                                                  asio::redirect_error(asio::use_awaitable, ec));
            ec = limit.finish(ec);
            if (ec && ec != beast::http::error::need_buffer) {
                co_return tl::unexpected<base::error>(to_error(ec, remote_address_, "read from"));
            }
            const std::size_t size = read_buffer_.size() - parser_->get().body().size;
            if (size > 0) {
                co_return std::string(read_buffer_.data(), size);
            }
        }
        // If the server resets the connection during the upload, the error goes to the writer and the reader
        // sees an ordinary end. A body that only ends with the connection may be cut then.
        if (parser_->need_eof() && (state_->writing || state_->write_failed)) {
            close();
            co_return base::fail(base::error_code::connection_broken,
                                 "read from " + remote_address_.text() +
                                     ": a body without length ended before the request was sent");
        }
        // Unsolicited bytes after the response would be taken for the response to the next request.
        reusable_ = parser_->keep_alive() && buffer_.size() == 0 && !state_->writing && !state_->write_failed;
        co_return std::string();
    }

    bool reusable() const override { return reusable_; }

    bool passes_stale_check() override {
        char byte = 0;
        error_code ec;
        stream_.socket().non_blocking(true, ec);
        if (!ec) {
            stream_.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
        }
        return ec == asio::error::would_block || ec == asio::error::try_again;
    }

    bool is_readable() override {
        return internal::is_ready(stream_.socket().native_handle(), awaited_readiness::read);
    }

    std::optional<base::duration> keep_alive_timeout() const override { return keep_alive_timeout_; }

    const base::address& remote_address() const override { return remote_address_; }

    void close() override {
        reusable_ = false;
        stream_.cancel();
        error_code ignored;
        stream_.socket().close(ignored);
    }

private:
    static constexpr int http_1_1 = 11;
    static constexpr std::size_t read_buffer_bytes = 16 * 1024;

    using beast_body = beast::http::span_body<const char>;

    /// A request that is written; its body may be shared with other attempts.
    struct outgoing_request {
        beast::http::request<beast_body> message;
        std::shared_ptr<const std::string> body;
    };

    /// State used by a pending write. It is shared, as the write can outlive the connection object.
    struct stream_state {
        explicit stream_state(asio::any_io_executor executor)
            : stream(std::move(executor)) {}

        beast::tcp_stream stream;
        bool writing = false;
        bool write_failed = false;
    };

    void begin_exchange() {
        reusable_ = false;
        prepare_parser();
    }

    void prepare_parser() {
        parser_.emplace();
        parser_->header_limit(max_response_header_bytes);
        // Callers of read_some limit the body size. Beast 1.74 treats boost::none as a limit of 0.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        // HEAD requests are not supported, so the parser never has to skip the body.
    }

    outgoing_request to_beast(request message) const {
        outgoing_request outgoing;
        outgoing.message.method_string(message.method);
        outgoing.message.target(message.target);
        outgoing.message.version(http_1_1);
        if (!message.fields.find("Host")) {
            outgoing.message.set(beast::http::field::host, remote_address_.text());
        }
        for (const field& row : message.fields.list()) {
            outgoing.message.insert(row.name, row.value);
        }
        outgoing.body = message.shared_body ? std::move(message.shared_body)
                                            : std::make_shared<const std::string>(std::move(message.body));
        outgoing.message.body() = beast_body::value_type(outgoing.body->data(), outgoing.body->size());
        outgoing.message.prepare_payload();
        return outgoing;
    }

    static asio::awaitable<void> write(std::shared_ptr<stream_state> state, outgoing_request outgoing,
                                       base::duration timeout, error_code& ec) {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        operation_timeout limit(executor, state->stream, timeout, awaited_readiness::write);
        co_await beast::http::async_write(state->stream, outgoing.message,
                                          asio::redirect_error(asio::use_awaitable, ec));
        ec = limit.finish(ec);
    }

    descriptor_budget::lease descriptor_;
    std::shared_ptr<stream_state> state_;
    beast::tcp_stream& stream_;
    base::address remote_address_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    std::optional<beast::http::response_parser<beast::http::buffer_body>> parser_;
    std::array<char, read_buffer_bytes> read_buffer_{};
    std::optional<base::duration> keep_alive_timeout_;
    bool reusable_ = false;
};

} // namespace

asio::awaitable<base::result<std::unique_ptr<client_connection>>>
client_connection::connect(asio::any_io_executor executor, base::address address, base::duration timeout,
                           descriptor_source descriptors) {
    std::optional<descriptor_budget::lease> descriptor = descriptor_budget::lease();
    if (descriptors.budget != nullptr) {
        descriptor = descriptors.budget->try_acquire(descriptors.use);
    }
    if (!descriptor) {
        co_return base::fail(base::error_code::overloaded,
                             "connect to " + address.text() + ": no descriptor is left");
    }
    std::unique_ptr<beast_connection> opened =
        std::make_unique<beast_connection>(executor, address, std::move(*descriptor));
    const error_code ec = co_await opened->open(timeout);
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, address, "connect to"));
    }
    std::unique_ptr<client_connection> connection = std::move(opened);
    co_return connection;
}

void client_connection::record_exchange(std::string_view id) {
    exchanges_.push_back(base::fast_hash(id));
    if (exchanges_.size() > max_recorded_exchanges) {
        exchanges_.pop_front();
    }
}

bool client_connection::has_carried(std::string_view id) const {
    return std::ranges::find(exchanges_, base::fast_hash(id)) != exchanges_.end();
}

asio::awaitable<base::result<std::string>> read_body(client_connection& connection, base::duration timeout,
                                                     response_memory::share& held) {
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    std::string body;
    while (true) {
        const base::result<std::string> part = co_await connection.read_some(time_until(end));
        if (!part) {
            co_return tl::unexpected<base::error>(part.error());
        }
        if (part->empty()) {
            co_return body;
        }
        const base::result<void> fits = held.resize(body.size() + part->size());
        if (!fits) {
            co_return tl::unexpected<base::error>(fits.error());
        }
        body += *part;
    }
}

asio::awaitable<base::result<std::string>> read_body(client_connection& connection, base::duration timeout,
                                                     std::size_t max_bytes) {
    response_memory memory(max_bytes, max_bytes);
    response_memory::share held(memory);
    co_return co_await read_body(connection, timeout, held);
}

} // namespace rattanbay::http
