#include "internal/open_calls.hpp"

#include <rattanbay/telemetry.hpp>

#include <string>
#include <utility>

namespace rattanbay::daemon::internal {

std::uint64_t open_calls::add(relay::chosen_endpoint endpoint, end_handler on_end) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.emplace(++last_key_, call{std::move(endpoint), std::move(on_end)});
    return last_key_;
}

void open_calls::remove(std::uint64_t key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.erase(key);
}

void open_calls::record_misdirected(const relay::chosen_endpoint& endpoint) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [key, row] : calls_) {
            const bool same = row.endpoint.id == endpoint.id && row.endpoint.address == endpoint.address;
            row.is_misdirected = row.is_misdirected || same;
        }
    }
    end_calls([](const call& row) {
        return row.is_misdirected ? std::optional(endpoint_end::misdirected) : std::nullopt;
    });
}

void open_calls::end_calls(const relay::balancer& balancer) {
    end_calls([&balancer](const call& row) {
        const bool replaced = !row.is_misdirected && balancer.is_replaced(row.endpoint);
        const endpoint_end end = replaced ? endpoint_end::replaced : endpoint_end::misdirected;
        return replaced || row.is_misdirected ? std::optional(end) : std::nullopt;
    });
}

void open_calls::end_calls(const std::function<std::optional<endpoint_end>(const call&)>& find_end) {
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
            const std::optional<endpoint_end> end = find_end(row);
            if (!end) {
                continue;
            }
            handlers.emplace_back(row.on_end, *end);
            if (!std::exchange(row.is_logged, true)) {
                const ended_endpoint first{row.endpoint.address, *end};
                ++found.try_emplace(row.endpoint.id, first).first->second.calls;
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
