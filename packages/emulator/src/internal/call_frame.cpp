#include "call_frame.hpp"

#include "clock.hpp"
#include "endpoint_json.hpp"
#include "faulty_responder.hpp"

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

asio::awaitable<void> call_server::handle_call(const http::request& message, faulty_responder& out) {
    if (message.method != "POST" || http::target_path(message.target) != "/v1/call") {
        http::response unknown = endpoint_error_response(404, "no such call");
        co_await out.send(std::move(unknown));
        co_return;
    }
    const base::result<nlohmann::json> input = parse_input(message.body);
    if (!input) {
        http::response malformed = endpoint_error_response(400, input.error().message);
        co_await out.send(std::move(malformed));
        co_return;
    }
    nlohmann::json output;
    {
        const slot_queue::ticket call = enqueue_call(0);
        const scope_exit guard([this, call]() { release_slot(call); });
        constexpr base::duration slot_timeout = std::chrono::hours(1);
        co_await wait_for_slot(call, slot_timeout);
        co_await sleep_for(draw_service_time());
        if (killed()) {
            out.abort();
            co_return;
        }
        output = run(message, *input);
    }
    http::response answer = http::json_response(200, nlohmann::json{{"output", output}}.dump());
    co_await out.send(std::move(answer));
}

base::duration call_server::draw_service_time() {
    const std::lock_guard<std::mutex> lock(service_times_mutex_);
    return service_times_.draw();
}

} // namespace rattanbay::emulator::internal
