#include "faulty_responder.hpp"

#include "clock.hpp"
#include "endpoint_frame.hpp"

#include <array>
#include <charconv>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

namespace {

/// Response bytes whose Content-Length is chosen by the caller.
std::string raw_response(const http::response& message, std::size_t declared, std::size_t sent) {
    std::string out = "HTTP/1.1 " + std::to_string(message.status) + " Answer\r\n";
    for (const http::field& row : message.fields.list()) {
        out += row.name + ": " + row.value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(declared) + "\r\n\r\n";
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
    const bool open = co_await may_go_on();
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
    const bool open = co_await may_go_on();
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

asio::awaitable<bool> faulty_responder::write(std::string piece) {
    const bool open = co_await may_go_on();
    if (!open) {
        co_return false;
    }
    const bool breaks =
        fault_.mode == endpoint_fault_mode::cut || fault_.mode == endpoint_fault_mode::wrong_length;
    if (breaks && ++pieces_ > pieces_before_fault) {
        co_return co_await break_stream(std::move(piece));
    }
    const base::result<void> sent = co_await out_.write(std::move(piece));
    co_return sent.has_value();
}

asio::awaitable<bool> faulty_responder::end_stream() {
    const bool open = co_await may_go_on();
    if (!open) {
        co_return false;
    }
    const base::result<void> sent = co_await out_.end_stream();
    co_return sent.has_value();
}

asio::awaitable<bool> faulty_responder::break_stream(std::string piece) {
    const std::string half = piece.substr(0, piece.size() / 2);
    std::string bytes = fault_.mode == endpoint_fault_mode::cut
                            ? to_hexadecimal(piece.size()) + "\r\n" + half
                            : to_hexadecimal(half.size()) + "\r\n" + piece + "\r\n";
    co_await out_.write_raw(std::move(bytes));
    out_.abort();
    co_return false;
}

asio::awaitable<bool> faulty_responder::may_go_on() {
    if (frame_.killed()) {
        out_.abort();
        co_return false;
    }
    if (frame_.silent(out_.connection_id())) {
        co_await frame_.hold(out_);
        co_return false;
    }
    co_return true;
}

void faulty_responder::add_common_fields(http::fields& fields) const {
    if (attempt_) {
        fields.add("X-Attempt-Id", *attempt_);
    }
    if (frame_.leaving()) {
        fields.add("X-Endpoint-State", "leaving");
    }
}

} // namespace rattanbay::emulator::internal
