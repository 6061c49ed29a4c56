#pragma once

#include "endpoint_frame.hpp"

#include <rattanbay/emulator/service_time_distribution.hpp>

#include <nlohmann/json.hpp>

#include <mutex>

namespace rattanbay::emulator::internal {

/// Endpoint that serves `POST /v1/call`: each call waits for a slot and for its service time, then
/// executes.
class call_server : public endpoint_server {
public:
    call_server(const endpoint_options& options, service_time_distribution service_times)
        : endpoint_server(options)
        , service_times_(service_times) {}

protected:
    /// Executes one call and returns its output.
    virtual nlohmann::json run(const http::request& message, const nlohmann::json& input) = 0;

    boost::asio::awaitable<void> handle_call(const http::request& message, faulty_responder& out) override;

private:
    base::duration draw_service_time();

    std::mutex service_times_mutex_;
    service_time_distribution service_times_;
};

} // namespace rattanbay::emulator::internal
