#include "internal/endpoint_adapter.hpp"
#include "internal/engine_frame.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/emulator/model_engine.hpp>

namespace rattanbay::emulator {

namespace {

class http_model_engine final : public internal::endpoint_adapter<model_engine, internal::engine_server> {
public:
    using endpoint_adapter::endpoint_adapter;

    order_log orders() const override { return server().orders(); }
};

} // namespace

std::string engine_id(const engine_options& options) {
    constexpr std::size_t digits = 8;
    const std::string identity = options.address.text() + "/" + std::to_string(options.seed);
    return base::fast_hash(identity).text().substr(0, digits);
}

base::result<std::unique_ptr<model_engine>> model_engine::start(asio::io_context& context,
                                                                engine_options options) {
    const std::shared_ptr<internal::engine_server> server =
        std::make_shared<internal::engine_server>(options);
    const base::result<void> listening = server->listen(context);
    if (!listening) {
        return tl::unexpected<base::error>(listening.error());
    }
    return std::make_unique<http_model_engine>(server);
}

} // namespace rattanbay::emulator
