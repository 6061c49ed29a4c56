#include "internal/call_frame.hpp"
#include "internal/endpoint_adapter.hpp"

#include <rattanbay/emulator/expected_output.hpp>
#include <rattanbay/emulator/plain_service.hpp>

namespace rattanbay::emulator {

namespace {

using json = nlohmann::json;

json rows(const std::map<std::string, std::uint64_t>& counts, const char* name) {
    json out = json::array();
    for (const auto& [text, count] : counts) {
        out.push_back({{name, text}, {"count", count}});
    }
    return out;
}

class plain_server final : public internal::call_server {
public:
    explicit plain_server(const plain_options& options)
        : call_server(options, service_time_distribution(options.service_time, options.jitter, options.seed))
        , service_(options.service) {}

    execution_counts executions() const {
        const std::lock_guard<std::mutex> lock(counts_mutex_);
        return counts_;
    }

protected:
    json run(const http::request& message, const json& input) override {
        const std::lock_guard<std::mutex> lock(counts_mutex_);
        counts_.add(message.fields.find("Idempotency-Key").value_or(""),
                    message.fields.find("X-Attempt-Id").value_or(""));
        return plain_output(service_, input);
    }

    std::optional<http::response> handle_control(const http::request& message) override {
        if (message.method != "GET" || http::target_path(message.target) != "/v1/executions") {
            return std::nullopt;
        }
        const execution_counts counts = executions();
        const json body{{"executions", rows(counts.by_key(), "key")},
                        {"attempts", rows(counts.by_attempt(), "attempt")}};
        return http::json_response(200, body.dump());
    }

private:
    std::string service_;
    mutable std::mutex counts_mutex_;
    execution_counts counts_;
};

class http_plain_service final : public internal::endpoint_adapter<plain_service, plain_server> {
public:
    using endpoint_adapter::endpoint_adapter;

    execution_counts executions() const override { return server().executions(); }
};

} // namespace

base::result<std::unique_ptr<plain_service>> plain_service::start(asio::io_context& context,
                                                                  plain_options options) {
    const std::shared_ptr<plain_server> server = std::make_shared<plain_server>(options);
    const base::result<void> listening = server->listen(context);
    if (!listening) {
        return tl::unexpected<base::error>(listening.error());
    }
    return std::make_unique<http_plain_service>(server);
}

} // namespace rattanbay::emulator
