#include <rattanbay/daemon/platform_client.hpp>
#include <rattanbay/object_api/http_mapping.hpp>

#include <cassert>

namespace rattanbay::daemon {

platform_client::platform_client(std::vector<base::address> addresses,
                                 std::shared_ptr<const object_api::object_protocol> protocol,
                                 observer observe)
    : addresses_(std::move(addresses))
    , protocol_(std::move(protocol))
    , observe_(std::move(observe)) {
    assert(!addresses_.empty() && protocol_);
}

asio::awaitable<object_api::answer> platform_client::call(asio::any_io_executor executor,
                                                          object_api::call request, base::duration limit) {
    object_api::http_call prepared = protocol_->to_http(request);
    http::exchange_timeouts limits;
    limits.response_header = prepared.wait + limit;
    const std::size_t index = current_.load();
    const base::address address = addresses_[index % addresses_.size()];
    base::result<http::response> answer = base::fail(base::error_code::unavailable, "not sent");
    if (prepared.repeatable) {
        answer = co_await http::exchange(executor, pool_, address, std::move(prepared.message), limits);
    } else {
        answer = co_await http::exchange_once(executor, address, std::move(prepared.message), limits);
    }
    object_api::answer out = protocol_->to_answer(request, answer);
    const bool usable = !std::holds_alternative<object_api::failed>(out);
    if (!usable) {
        std::size_t expected = index;
        current_.compare_exchange_strong(expected, index + 1);
    }
    observe_(prepared.kind, usable);
    co_return out;
}

} // namespace rattanbay::daemon
