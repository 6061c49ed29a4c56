#include <rattanbay/ctl/platform_client.hpp>
#include <rattanbay/object_api/http_mapping.hpp>

#include <cassert>

namespace rattanbay::ctl {

platform_client::platform_client(command_io& io, std::vector<base::address> addresses)
    : io_(io)
    , addresses_(std::move(addresses)) {
    assert(!addresses_.empty());
}

object_api::answer platform_client::perform(const object_api::call& call) {
    const base::address& address = addresses_[next_ % addresses_.size()];
    const base::result<http::response> response =
        io_.exchange(address, object_api::to_http(call).message, http::exchange_limits{});
    object_api::answer answer = object_api::to_answer(call, response);
    if (std::holds_alternative<object_api::failed>(answer)) {
        ++next_;
    }
    return answer;
}

} // namespace rattanbay::ctl
