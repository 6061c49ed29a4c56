#include "faulty_responder.hpp"

#include "clock.hpp"
#include "endpoint_frame.hpp"

#include <array>
#include <charconv>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

namespace {

/// Serializes a response with a chosen Content-Length and the first `sent` bytes of its body.
std::string raw_response(const http::response& message, std::size_t declared_size, std::size_t sent) {
    std::string out = "HTTP/1.1 " + std::to_string(message.status) + " Answer\r\n";
    for (const http::field& row : message.fields.list()) {
        out += row.name + ": " + row.value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(declared_size) + "\r\n\r\n";
    return out + message.body.substr(0, sent);
}

std::string to_hexadecimal(std::size_t value) {
    constexpr int hexadecimal = 16;
    std::array<char, hexadecimal> digits{};
    const std::to_chars_result written =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    return std::string(digits.data(), written.ptr);
}

} // namespace

asio::awaitable<bool> faulty_responder::send(http::response message) {
    if (fault_.mode == endpoint_fault_mode::late) {
        co_await sleep_for(fault_.delay);
    }
    const bool open = co_await can_continue();
    if (!open) {
        co_return false;
    }
    add_common_fields(message.fields);
    const std::size_t size = message.body.size();
    if (fault_.mode == endpoint_fault_mode::cut) {
        std::string bytes = raw_response(message, size, size / 2);
        co_await out_.write_raw(std::move(bytes));
        out_.abort();
        co_return false;
    }
    if (fault_.mode == endpoint_fault_mode::wrong_length) {
        std::string bytes = raw_response(message, size / 2, size);
        co_await out_.write_raw(std::move(bytes));
        co_return false;
    }
    const base::result<void> sent = co_await out_.send(std::move(message));
    co_return sent.has_value();
}

asio::awaitable<bool> faulty_responder::begin_stream() {
    if (fault_.mode == endpoint_fault_mode::late) {
        co_await sleep_for(fault_.delay);
    }
    const bool open = co_await can_continue();
    if (!open) {
        co_return false;
    }
    http::response_header head;
    head.status = 200;
    head.fields.add("Content-Type", "text/event-stream");
    head.fields.add("Cache-Control", "no-store");
    add_common_fields(head.fields);
    const base::result<void> sent = co_await out_.begin_stream(std::move(head));
    co_return sent.has_value();
}

asio::awaitable<bool> faulty_responder::write(std::string chunk) {
    const bool open = co_await can_continue();
    if (!open) {
        co_return false;
    }
    const bool corrupts =
        fault_.mode == endpoint_fault_mode::cut || fault_.mode == endpoint_fault_mode::wrong_length;
    if (corrupts && ++chunks_sent_ > chunks_before_fault) {
        co_return co_await break_stream(std::move(chunk));
    }
    const base::result<void> sent = co_await out_.write(std::move(chunk));
    co_return sent.has_value();
}

asio::awaitable<bool> faulty_responder::end_stream() {
    const bool open = co_await can_continue();
    if (!open) {
        co_return false;
    }
    const base::result<void> sent = co_await out_.end_stream();
    co_return sent.has_value();
}

asio::awaitable<bool> faulty_responder::break_stream(std::string chunk) {
    const std::string half = chunk.substr(0, chunk.size() / 2);
    std::string bytes = fault_.mode == endpoint_fault_mode::cut
                            ? to_hexadecimal(chunk.size()) + "\r\n" + half
                            : to_hexadecimal(half.size()) + "\r\n" + chunk + "\r\n";
    co_await out_.write_raw(std::move(bytes));
    out_.abort();
    co_return false;
}

asio::awaitable<bool> faulty_responder::can_continue() {
    if (server_.killed()) {
        out_.abort();
        co_return false;
    }
    if (server_.is_silent(out_.connection_id())) {
        co_await server_.hold_open(out_);
        co_return false;
    }
    co_return true;
}

void faulty_responder::add_common_fields(http::fields& fields) const {
    if (attempt_) {
        fields.add("X-Attempt-Id", *attempt_);
    }
    if (server_.leaving()) {
        fields.add("X-Endpoint-State", "leaving");
    }
}

} // namespace rattanbay::emulator::internal
