#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/http/connection_pool.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>
#include <rattanbay/object_api/http_mapping.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace rattanbay::daemon {

namespace asio = boost::asio;

/// Makes platform calls over HTTP. Calls go to the current address of the platform; a failed call makes the
/// next address current. Writes are sent once, reads at most twice.
class platform_client {
public:
    /// Called after each call with the call's kind, whether its answer was usable, and the error if there was
    /// no response, else null.
    using call_observer = std::function<void(std::string_view, bool, const base::error*)>;

    /// An answer and the era of the store that gave it; 0 if there was no response or it named none.
    struct dated_answer {
        object_api::answer answer;
        std::uint64_t era = 0;
    };

    /// `addresses` must not be empty and `protocol` must not be null.
    platform_client(std::vector<base::address> addresses,
                    std::shared_ptr<const object_api::object_protocol> protocol, call_observer observer,
                    http::descriptor_source descriptors = {});

    /// Timeout of a call. For a watch it begins after the time for which the platform may delay its answer;
    /// beyond it the connection is considered silent.
    static constexpr std::chrono::seconds default_timeout{2};

    /// Makes a call. Returns `object_api::failed` if no usable answer arrives within `timeout`, or for a
    /// watch within its wait time plus `timeout`.
    asio::awaitable<object_api::answer> call(asio::any_io_executor executor, object_api::call request,
                                             base::duration timeout = default_timeout);

    /// The same, with the era of the store.
    asio::awaitable<dated_answer> call_dated(asio::any_io_executor executor, object_api::call request,
                                             base::duration timeout = default_timeout);

private:
    std::vector<base::address> addresses_;
    std::shared_ptr<const object_api::object_protocol> protocol_;
    call_observer observer_;
    std::atomic<std::size_t> current_address_{0};
    http::connection_pool pool_;
};

} // namespace rattanbay::daemon
