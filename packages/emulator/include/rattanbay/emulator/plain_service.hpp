#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/emulator/endpoint_service.hpp>
#include <rattanbay/emulator/execution_counts.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace rattanbay::emulator {

namespace asio = boost::asio;

/// Options of a `plain_service`.
struct plain_options : endpoint_options {
    /// Service name in the outputs.
    std::string service = "order-desk";
    base::duration service_time = std::chrono::milliseconds(15);
    /// Relative jitter of the service time, 0 to 1.
    double jitter = 0.2;
};

/// Emulated plain service, for example an order desk. `POST /v1/call` with {"input"} answers
/// {"output"} with `plain_output`. It executes every call and counts executions by
/// `Idempotency-Key` and by `X-Attempt-Id`. `GET /v1/executions` returns
/// {"executions":[{"key","count"}],"attempts":[{"attempt","count"}]}.
class plain_service : public endpoint_service {
public:
    /// Starts listening and serving. Errors: `unavailable` if the address cannot be bound.
    static base::result<std::unique_ptr<plain_service>> start(asio::io_context& context,
                                                              plain_options options);

    /// Executions since the service started.
    virtual execution_counts executions() const = 0;
};

} // namespace rattanbay::emulator
