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
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace rattanbay::daemon {

namespace asio = boost::asio;

/// Makes platform calls over HTTP. A call goes to one of the platform's addresses; after a failure
/// the next call goes to the next one. Writes are sent once, reads twice at most.
class platform_client {
public:
    /// Told of each call: its kind and whether a usable answer came.
    using observer = std::function<void(std::string_view, bool)>;

    /// `addresses` is not empty and `protocol` not null.
    platform_client(std::vector<base::address> addresses,
                    std::shared_ptr<const object_api::object_protocol> protocol, observer observe);

    /// Time beyond a watch's wait after which its connection counts as silent.
    static constexpr std::chrono::seconds usual_limit{2};

    /// Makes a call; answered by `object_api::failed` when no usable answer comes within `limit`, for
    /// a watch within its wait and `limit`.
    asio::awaitable<object_api::answer> call(asio::any_io_executor executor, object_api::call request,
                                             base::duration limit = usual_limit);

private:
    std::vector<base::address> addresses_;
    std::shared_ptr<const object_api::object_protocol> protocol_;
    observer observe_;
    std::atomic<std::size_t> current_{0};
    http::connection_pool pool_;
};

} // namespace rattanbay::daemon
