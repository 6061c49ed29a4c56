#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/emulator/batch_timing.hpp>
#include <rattanbay/emulator/endpoint_service.hpp>
#include <rattanbay/emulator/order_log.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace rattanbay::emulator {

namespace asio = boost::asio;

/// Options of a `model_engine`.
struct engine_options : endpoint_options {
    batch_timing timing;
    /// Whether orders with a stale fencing token are rejected with status 409.
    bool checks_fencing = true;
    /// How long a stream can be resumed after its last use.
    base::duration resume_retention = std::chrono::seconds(10);
    /// Whether a request without a seed uses a random one; otherwise it uses seed 0.
    bool random_default_seed = false;
};

/// Returns the part of an engine's stream identifiers that is unique to the engine.
std::string engine_id(const engine_options& options);

/// Emulated model engine with continuous batching: `POST /v1/completions` (streamed or not), `POST
/// /v1/streams/{id}/resume`, `DELETE /v1/streams/{id}`, `POST /v1/orders`. `token_generator`
/// defines the text. Streams beyond the concurrency are queued by priority and receive a comment
/// line every 250 ms. `GET /v1/orders` lists accepted orders.
class model_engine : public endpoint_service {
public:
    /// Starts listening and serving. Errors: `unavailable` if the address cannot be bound.
    static base::result<std::unique_ptr<model_engine>> start(asio::io_context& context,
                                                             engine_options options);

    /// Orders accepted since the engine started.
    virtual order_log orders() const = 0;
};

} // namespace rattanbay::emulator
