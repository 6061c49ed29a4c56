#include "internal/platform_json.hpp"
#include "internal/platform_state.hpp"

#include <rattanbay/emulator/platform_service.hpp>

namespace rattanbay::emulator {

namespace {

class http_platform_service final : public platform_service {
public:
    http_platform_service(std::shared_ptr<internal::platform_state> state,
                          const std::shared_ptr<http::server>& server, const base::address& address)
        : state_(std::move(state))
        , server_(server)
        , address_(address) {}

    http_platform_service(const http_platform_service&) = delete;
    http_platform_service& operator=(const http_platform_service&) = delete;

    ~http_platform_service() override { stop_serving(); }

    void stop() override { stop_serving(); }

    void set_vms(std::vector<object_api::vm> vms) override { state_->set_vms(std::move(vms)); }

    void set_fault(platform_fault fault) override { state_->set_fault(fault); }

    std::map<std::string, std::uint64_t> calls() const override { return state_->calls(); }

    const base::address& address() const override { return address_; }

private:
    void stop_serving() {
        const std::shared_ptr<http::server> server = server_.lock();
        if (server) {
            server->shut_down();
        }
        state_->stop();
    }

    std::shared_ptr<internal::platform_state> state_;
    /// The server is kept alive until it has shut down or its I/O context is destroyed.
    std::weak_ptr<http::server> server_;
    base::address address_;
};

http::response reject(const base::error& reason) {
    const int status = reason.code == base::error_code::exhausted ? 413 : 400;
    return internal::error_response(status, reason.message);
}

} // namespace

base::result<std::unique_ptr<platform_service>> platform_service::start(asio::io_context& context,
                                                                        platform_options options) {
    const std::shared_ptr<internal::platform_state> state =
        std::make_shared<internal::platform_state>(options);
    const http::request_handler handle = [state](const http::request& message, http::responder& out) {
        return state->handle(message, out);
    };
    http::server_limits limits;
    limits.max_body_bytes = max_value_bytes;
    const base::result<std::shared_ptr<http::server>> server =
        http::server::listen(context, options.address, handle, reject, limits);
    if (!server) {
        return tl::unexpected<base::error>(server.error());
    }
    return std::make_unique<http_platform_service>(state, *server, options.address);
}

} // namespace rattanbay::emulator
