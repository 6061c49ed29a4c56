#include <rattanbay/daemon/platform_client.hpp>
#include <rattanbay/object_api/http_mapping.hpp>

#include <cassert>

namespace rattanbay::daemon {

namespace {

/// Time for the body of an answer; the largest ones cross the link of a small VM in about a second.
constexpr std::chrono::seconds body_timeout{5};
/// Objects have a megabyte at most, lists little more.
constexpr std::size_t max_answer_bytes = 8 * 1024 * 1024;

} // namespace

platform_client::platform_client(std::vector<base::address> addresses,
                                 std::shared_ptr<const object_api::object_protocol> protocol,
                                 call_observer observer, http::descriptor_source descriptors)
    : addresses_(std::move(addresses))
    , protocol_(std::move(protocol))
    , observer_(std::move(observer))
    , pool_(descriptors) {
    assert(!addresses_.empty() && protocol_);
}

asio::awaitable<object_api::answer> platform_client::call(asio::any_io_executor executor,
                                                          object_api::call request, base::duration timeout) {
    dated_answer out = co_await call_dated(std::move(executor), std::move(request), timeout);
    co_return std::move(out.answer);
}

asio::awaitable<platform_client::dated_answer> platform_client::call_dated(asio::any_io_executor executor,
                                                                           object_api::call request,
                                                                           base::duration timeout) {
    object_api::http_call http_call = protocol_->to_http(request);
    http::exchange_limits limits;
    limits.response_header = http_call.wait + timeout;
    limits.body_read = body_timeout;
    limits.max_body_bytes = max_answer_bytes;
    const std::size_t index = current_address_.load();
    const base::address address = addresses_[index % addresses_.size()];
    base::result<http::response> answer = base::fail(base::error_code::unavailable, "not sent");
    if (http_call.retryable) {
        answer = co_await http::exchange(executor, pool_, address, std::move(http_call.message), limits);
    } else {
        answer = co_await http::exchange_once(executor, address, std::move(http_call.message), limits,
                                              pool_.descriptors());
    }
    object_api::answer result = protocol_->to_answer(request, answer);
    const bool usable = !std::holds_alternative<object_api::failed>(result);
    if (!usable) {
        std::size_t expected = index;
        current_address_.compare_exchange_strong(expected, index + 1);
    }
    observer_(http_call.kind, usable, answer ? nullptr : &answer.error());
    co_return dated_answer{std::move(result), answer ? protocol_->era(*answer) : 0};
}

} // namespace rattanbay::daemon
