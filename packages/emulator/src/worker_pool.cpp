#include "internal/call_frame.hpp"
#include "internal/endpoint_adapter.hpp"

#include <rattanbay/emulator/worker_pool.hpp>

namespace rattanbay::emulator {

namespace {

class worker_server final : public internal::call_server {
public:
    explicit worker_server(const worker_options& options)
        : call_server(options, service_time_distribution(options.service_time, options.jitter, options.seed))
        , role_(options.role) {}

protected:
    nlohmann::json run(const http::request& /*message*/, const nlohmann::json& input) override {
        return worker_output(role_, input);
    }

private:
    worker_role role_;
};

using http_worker_pool = internal::endpoint_adapter<worker_pool, worker_server>;

} // namespace

base::result<std::unique_ptr<worker_pool>> worker_pool::start(asio::io_context& context,
                                                              worker_options options) {
    const std::shared_ptr<worker_server> server = std::make_shared<worker_server>(options);
    const base::result<void> listening = server->listen(context);
    if (!listening) {
        return tl::unexpected<base::error>(listening.error());
    }
    return std::make_unique<http_worker_pool>(server);
}

} // namespace rattanbay::emulator
