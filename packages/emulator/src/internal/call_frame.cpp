#include "call_frame.hpp"

#include "clock.hpp"
#include "endpoint_json.hpp"
#include "faulty_responder.hpp"

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

asio::awaitable<void> call_frame::serve(const http::request& message, faulty_responder& out) {
    if (message.method != "POST" || http::target_path(message.target) != "/v1/call") {
        http::response unknown = error_body(404, "no such call");
        co_await out.send(std::move(unknown));
        co_return;
    }
    const base::result<nlohmann::json> input = parse_input(message.body);
    if (!input) {
        http::response malformed = error_body(400, input.error().message);
        co_await out.send(std::move(malformed));
        co_return;
    }
    nlohmann::json output;
    {
        const slot_queue::ticket call = enter(0);
        const scoped_leave guard([this, call]() { leave(call); });
        constexpr base::duration no_limit = std::chrono::hours(1);
        co_await wait_for_slot(call, no_limit);
        co_await sleep_for(draw_time());
        if (killed()) {
            out.abort();
            co_return;
        }
        output = run(message, *input);
    }
    http::response answer = http::json_response(200, nlohmann::json{{"output", output}}.dump());
    co_await out.send(std::move(answer));
}

base::duration call_frame::draw_time() {
    const std::lock_guard<std::mutex> lock(times_mutex_);
    return times_.draw();
}

} // namespace rattanbay::emulator::internal
