#include <rattanbay/http/client_connection.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace rattanbay::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::size_t max_header_bytes = 64 * 1024;

base::error to_error(const error_code& ec, const base::address& remote, const char* step) {
    const std::string message = std::string(step) + " " + remote.text() + ": " + ec.message();
    if (ec == beast::error::timeout) {
        return base::error{base::error_code::timed_out, message};
    }
    if (ec == asio::error::connection_refused) {
        return base::error{base::error_code::connection_refused, message};
    }
    const bool malformed =
        ec.category() == beast::http::make_error_code(beast::http::error::bad_version).category();
    const bool ended_early =
        ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message;
    if (malformed && !ended_early) {
        return base::error{base::error_code::protocol_violation, message};
    }
    return base::error{base::error_code::connection_broken, message};
}

/// Time of `Keep-Alive: timeout=N`, in whole seconds.
std::optional<base::duration> announced_idle_limit(const fields& fields) {
    constexpr std::string_view key = "timeout=";
    const std::optional<std::string> value = fields.find("Keep-Alive");
    const std::size_t at = value ? value->find(key) : std::string::npos;
    if (at == std::string::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char* const begin = value->data() + at + key.size();
    const std::from_chars_result parsed = std::from_chars(begin, value->data() + value->size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

class beast_connection final : public client_connection {
public:
    beast_connection(asio::any_io_executor executor, const base::address& remote)
        : link_(std::make_shared<link>(std::move(executor)))
        , stream_(link_->stream)
        , remote_(remote) {}

    beast_connection(const beast_connection&) = delete;
    beast_connection& operator=(const beast_connection&) = delete;

    ~beast_connection() override {
        // A write that is still in progress keeps the stream alive; closing it ends the write.
        error_code ignored;
        stream_.socket().close(ignored);
    }

    asio::awaitable<error_code> open(base::duration limit) {
        error_code ec;
        const asio::ip::tcp::endpoint target(asio::ip::make_address_v4(remote_.ip), remote_.port);
        stream_.expires_after(limit);
        co_await stream_.async_connect(target, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            error_code ignored;
            stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        }
        co_return ec;
    }

    asio::awaitable<base::result<void>> send(request message, base::duration limit) override {
        prepare();
        error_code ec;
        message_out out = to_beast(std::move(message));
        co_await write(link_, std::move(out), limit, ec);
        if (ec) {
            co_return tl::unexpected<base::error>(to_error(ec, remote_, "send to"));
        }
        co_return base::result<void>();
    }

    void begin_send(request message, base::duration limit) override {
        prepare();
        link_->writing = true;
        asio::co_spawn(
            stream_.get_executor(),
            [state = link_, out = to_beast(std::move(message)), limit]() mutable -> asio::awaitable<void> {
                error_code ec;
                co_await write(state, std::move(out), limit, ec);
                state->writing = false;
                state->write_failed = static_cast<bool>(ec);
            },
            asio::detached);
    }

    asio::awaitable<base::result<response_head>> read_head(base::duration limit) override {
        assert(parser_.has_value());
        error_code ec;
        stream_.expires_after(limit);
        co_await beast::http::async_read_header(stream_, buffer_, *parser_,
                                                asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return tl::unexpected<base::error>(to_error(ec, remote_, "read from"));
        }
        response_head head;
        head.status = static_cast<int>(parser_->get().result_int());
        for (const beast::http::fields::value_type& row : parser_->get()) {
            head.fields.add(std::string(row.name_string()), std::string(row.value()));
        }
        idle_limit_ = announced_idle_limit(head.fields);
        co_return head;
    }

    asio::awaitable<base::result<std::string>> read_some(base::duration limit) override {
        assert(parser_.has_value());
        while (!parser_->is_done()) {
            parser_->get().body().data = piece_.data();
            parser_->get().body().size = piece_.size();
            error_code ec;
            stream_.expires_after(limit);
            co_await beast::http::async_read_some(stream_, buffer_, *parser_,
                                                  asio::redirect_error(asio::use_awaitable, ec));
            if (ec && ec != beast::http::error::need_buffer) {
                co_return tl::unexpected<base::error>(to_error(ec, remote_, "read from"));
            }
            const std::size_t size = piece_.size() - parser_->get().body().size;
            if (size > 0) {
                co_return std::string(piece_.data(), size);
            }
        }
        // Bytes behind the response belong to no request of ours: the connection is out of step.
        reusable_ = parser_->keep_alive() && buffer_.size() == 0 && !link_->writing && !link_->write_failed;
        co_return std::string();
    }

    bool reusable() const override { return reusable_; }

    bool quiet() override {
        char byte = 0;
        error_code ec;
        stream_.socket().non_blocking(true, ec);
        if (!ec) {
            stream_.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
        }
        return ec == asio::error::would_block || ec == asio::error::try_again;
    }

    std::optional<base::duration> idle_limit() const override { return idle_limit_; }

    const base::address& remote() const override { return remote_; }

    void close() override {
        reusable_ = false;
        stream_.cancel();
        error_code ignored;
        stream_.socket().close(ignored);
    }

private:
    static constexpr int http_1_1 = 11;
    static constexpr std::size_t piece_bytes = 16 * 1024;

    using message_out = beast::http::request<beast::http::string_body>;

    /// What a write in progress needs, also when the connection is given up in the meantime.
    struct link {
        explicit link(asio::any_io_executor executor)
            : stream(std::move(executor)) {}

        beast::tcp_stream stream;
        bool writing = false;
        bool write_failed = false;
    };

    void prepare() {
        reusable_ = false;
        parser_.emplace();
        parser_->header_limit(max_header_bytes);
        // Callers of read_some bound the body; Beast 1.74 takes no limit given as none for 0.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        // A client that sends HEAD is not supported, so the parser never has to skip a body.
    }

    message_out to_beast(request message) const {
        message_out out;
        out.method_string(message.method);
        out.target(message.target);
        out.version(http_1_1);
        if (!message.fields.find("Host")) {
            out.set(beast::http::field::host, remote_.text());
        }
        for (const field& row : message.fields.list()) {
            out.insert(row.name, row.value);
        }
        out.body() = std::move(message.body);
        out.prepare_payload();
        return out;
    }

    static asio::awaitable<void> write(std::shared_ptr<link> state, message_out out, base::duration limit,
                                       error_code& ec) {
        state->stream.expires_after(limit);
        co_await beast::http::async_write(state->stream, out, asio::redirect_error(asio::use_awaitable, ec));
    }

    std::shared_ptr<link> link_;
    beast::tcp_stream& stream_;
    base::address remote_;
    beast::flat_buffer buffer_;
    std::optional<beast::http::response_parser<beast::http::buffer_body>> parser_;
    std::array<char, piece_bytes> piece_{};
    std::optional<base::duration> idle_limit_;
    bool reusable_ = false;
};

} // namespace

asio::awaitable<base::result<std::unique_ptr<client_connection>>>
client_connection::connect(asio::any_io_executor executor, base::address address, base::duration limit) {
    std::unique_ptr<beast_connection> opened = std::make_unique<beast_connection>(executor, address);
    const error_code ec = co_await opened->open(limit);
    if (ec) {
        co_return tl::unexpected<base::error>(to_error(ec, address, "connect to"));
    }
    std::unique_ptr<client_connection> connection = std::move(opened);
    co_return connection;
}

asio::awaitable<base::result<std::string>> read_body(client_connection& connection, base::duration gap,
                                                     std::size_t max_bytes) {
    std::string body;
    while (true) {
        base::result<std::string> piece = co_await connection.read_some(gap);
        if (!piece) {
            co_return tl::unexpected<base::error>(piece.error());
        }
        if (piece->empty()) {
            co_return body;
        }
        body += *piece;
        if (body.size() > max_bytes) {
            co_return base::fail(base::error_code::exhausted,
                                 "the body is larger than " + std::to_string(max_bytes) + " bytes");
        }
    }
}

} // namespace rattanbay::http
