#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/emulator/endpoint_service.hpp>
#include <rattanbay/emulator/expected_output.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace rattanbay::emulator {

namespace asio = boost::asio;

/// Options of a `worker_pool`.
struct worker_options : endpoint_options {
    worker_role role = worker_role::encode;
    base::duration service_time = std::chrono::milliseconds(20);
    /// Relative jitter of the service time, 0 to 1.
    double jitter = 0.2;
};

/// Emulated pool of encoders, retrievers or rerankers. `POST /v1/call` with {"input"} answers
/// {"output"} with `worker_output`.
class worker_pool : public endpoint_service {
public:
    /// Starts listening and serving. Errors: `unavailable` if the address cannot be bound.
    static base::result<std::unique_ptr<worker_pool>> start(asio::io_context& context,
                                                            worker_options options);
};

} // namespace rattanbay::emulator
