#include "internal/open_calls.hpp"

#include <rattanbay/telemetry.hpp>

#include <string>
#include <utility>

namespace rattanbay::daemon::internal {

std::uint64_t open_calls::add(relay::chosen_endpoint endpoint, end_handler on_end) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.emplace(++last_key_, call{std::move(endpoint), std::move(on_end), std::nullopt});
    return last_key_;
}

void open_calls::remove(std::uint64_t key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.erase(key);
}

void open_calls::record_misdirected(const relay::chosen_endpoint& endpoint) {
    end_calls([&endpoint](const relay::chosen_endpoint& called) {
        const bool same = called.id == endpoint.id && called.address == endpoint.address;
        return same ? std::optional(endpoint_end::misdirected) : std::nullopt;
    });
}

void open_calls::end_calls(const relay::balancer& balancer) {
    end_calls([&balancer](const relay::chosen_endpoint& called) {
        return balancer.is_replaced(called) ? std::optional(endpoint_end::replaced) : std::nullopt;
    });
}

void open_calls::end_calls(
    const std::function<std::optional<endpoint_end>(const relay::chosen_endpoint&)>& find_end) {
    struct ended_endpoint {
        base::address address;
        endpoint_end end;
        std::size_t calls = 0;
    };

    std::map<base::endpoint_id, ended_endpoint> found;
    std::vector<std::pair<end_handler, endpoint_end>> handlers;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [key, row] : calls_) {
            if (!row.end) {
                row.end = find_end(row.endpoint);
                if (row.end) {
                    ++found.try_emplace(row.endpoint.id, ended_endpoint{row.endpoint.address, *row.end})
                          .first->second.calls;
                }
            }
            if (row.end) {
                handlers.emplace_back(row.on_end, *row.end);
            }
        }
    }
    for (const auto& [id, row] : found) {
        telemetry::log(telemetry::log_event::endpoint_ended,
                       {{"endpoint", id.text()},
                        {"address", row.address.text()},
                        {"evidence", std::string(base::to_name(row.end))},
                        {"calls", std::to_string(row.calls)}});
    }
    for (const auto& [on_end, end] : handlers) {
        on_end(end);
    }
}

} // namespace rattanbay::daemon::internal
