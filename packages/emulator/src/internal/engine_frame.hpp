#pragma once

#include "endpoint_frame.hpp"
#include "engine_json.hpp"

#include <rattanbay/emulator/engine_streams.hpp>
#include <rattanbay/emulator/model_engine.hpp>

#include <mutex>

namespace rattanbay::emulator::internal {

/// HTTP server of the emulated model engine.
class engine_server final : public endpoint_server {
public:
    explicit engine_server(const engine_options& options);

    order_log orders() const;

protected:
    std::optional<http::response> handle_control(const http::request& message) override;
    boost::asio::awaitable<void> handle_call(const http::request& message, faulty_responder& out) override;

private:
    /// Result of waiting in a stream.
    enum class wait_result { ready, ended };

    boost::asio::awaitable<void> handle_completion(const http::request& message, faulty_responder& out);
    boost::asio::awaitable<void> handle_resume(std::string stream, const http::request& message,
                                               faulty_responder& out);
    http::response handle_cancel(const std::string& stream);
    http::response handle_order(const http::request& message);
    boost::asio::awaitable<void> send_completion(stream_cursor cursor, std::string model,
                                                 faulty_responder& out);
    boost::asio::awaitable<void> send_stream(stream_cursor cursor, faulty_responder& out);
    boost::asio::awaitable<wait_result> wait_until_running(slot_queue::ticket call, stream_cursor cursor,
                                                           faulty_responder* stream);
    boost::asio::awaitable<wait_result> wait_with_keep_alive(base::duration wait, faulty_responder* stream);
    boost::asio::awaitable<wait_result> wait_for_token(stream_cursor cursor, faulty_responder* stream);
    /// Sends a comment line if there is a stream. Returns whether the call can continue.
    boost::asio::awaitable<bool> send_keep_alive(faulty_responder* stream);
    /// Restarts the retention time of the stream. Returns whether the cursor is current.
    bool touch(const stream_cursor& cursor);
    base::result<std::optional<generated_token>> next_token(stream_cursor& cursor);
    stream_cursor open_stream(completion_call& call);

    const batch_timing timing_;
    const bool random_default_seed_;
    mutable std::mutex engine_mutex_;
    engine_streams streams_;
    order_log orders_;
    base::random_source default_seeds_;
};

} // namespace rattanbay::emulator::internal
