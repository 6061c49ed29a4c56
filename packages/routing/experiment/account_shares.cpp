#include <rattanbay/base/random_source.hpp>
#include <rattanbay/limits/account_limits.hpp>

#include <account_shares.hpp>

#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace rattanbay::routing::experiment {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t vm_count = 8;
/// Rate limit of the client account in requests per second.
constexpr double rate_limit = 200;
constexpr base::duration simulated_time = 120s;
/// Every second, gossip reports the request counts of all VMs to each VM, delayed by `gossip_lag_intervals`.
constexpr base::duration gossip_interval = 1s;
constexpr std::size_t gossip_lag_intervals = 2;
/// Length of the window over which the shares are computed.
constexpr std::size_t window_intervals = 5;

using vm_shares = std::array<double, vm_count>;
using vm_request_counts = std::array<std::uint64_t, vm_count>;

/// Returns the share of the account's requests that each VM receives at the time `now`.
vm_shares offered_shares(const std::string& distribution, base::time_point now) {
    vm_shares shares{};
    if (distribution == "even") {
        shares.fill(1.0 / vm_count);
    } else if (distribution == "half to one VM") {
        shares.fill(0.5 / (vm_count - 1));
        shares[0] = 0.5;
    } else {
        // A single caller that changes to the next VM when the lifetime of its entry address ends.
        constexpr base::duration entry_address_lifetime = 10s;
        shares[static_cast<std::size_t>(now.time_since_epoch() / entry_address_lifetime) % vm_count] = 1;
    }
    return shares;
}

std::size_t draw_vm(const vm_shares& shares, base::random_source& random) {
    double remainder = random.unit();
    for (std::size_t n = 0; n < vm_count; ++n) {
        remainder -= shares[n];
        if (remainder < 0) {
            return n;
        }
    }
    return vm_count - 1;
}

/// Returns the shares of the VMs as known through gossip: computed over a window of `window_intervals` that
/// ended `gossip_lag_intervals` ago.
vm_shares observed_shares(const std::vector<vm_request_counts>& history) {
    vm_shares shares{};
    shares.fill(1.0 / vm_count);
    if (history.size() <= gossip_lag_intervals + window_intervals) {
        return shares;
    }
    const vm_request_counts& window_end = history[history.size() - 1 - gossip_lag_intervals];
    const vm_request_counts& window_begin =
        history[history.size() - 1 - gossip_lag_intervals - window_intervals];
    double total = 0;
    for (std::size_t n = 0; n < vm_count; ++n) {
        total += static_cast<double>(window_end[n] - window_begin[n]);
    }
    for (std::size_t n = 0; n < vm_count; ++n) {
        shares[n] = total > 0 ? static_cast<double>(window_end[n] - window_begin[n]) / total : 1.0 / vm_count;
    }
    return shares;
}

std::string make_row(const std::string& distribution, double offered_rate) {
    const base::account_id account("account");
    config::environment_document document;
    document.accounts[account] = {account, "", rate_limit, rate_limit, 100'000, 0};
    std::array<limits::account_limits, vm_count> vms;
    for (limits::account_limits& vm : vms) {
        vm.configure(document, vm_count);
    }
    base::random_source random(1);
    std::vector<vm_request_counts> history{vm_request_counts{}};
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    const base::time_point begin{};
    base::time_point next_gossip = begin + gossip_interval;
    for (base::time_point now = begin; now < begin + simulated_time;
         now +=
         base::duration(static_cast<std::int64_t>(-std::log(1 - random.unit()) / offered_rate * 1e6))) {
        if (now >= next_gossip) {
            next_gossip += gossip_interval;
            vm_request_counts request_counts{};
            const vm_shares shares = observed_shares(history);
            for (std::size_t n = 0; n < vm_count; ++n) {
                request_counts[n] = vms[n].request_counts().at(account);
                vms[n].set_observed_share(account, shares[n]);
            }
            history.push_back(request_counts);
        }
        ++offered;
        admitted += vms[draw_vm(offered_shares(distribution, now), random)].admit(account, now) ? 1 : 0;
    }
    std::ostringstream out;
    const double seconds = std::chrono::duration<double>(simulated_time).count();
    out << "| " << distribution << " | " << offered_rate / rate_limit << " | " << std::fixed
        << std::setprecision(2) << static_cast<double>(admitted) / seconds / rate_limit << " | "
        << std::setprecision(1)
        << 100 * static_cast<double>(offered - admitted) / static_cast<double>(offered) << " |\n";
    return out.str();
}

} // namespace

std::string account_share_table() {
    std::string table = "| callers | offered / rate | admitted / rate | refused % |\n|---|---|---|---|\n";
    for (const char* distribution : {"even", "half to one VM", "one VM, another each 10 s"}) {
        for (const double offered : {0.9, 3.0, 10.0}) {
            table += make_row(distribution, offered * rate_limit);
        }
    }
    return table;
}

} // namespace rattanbay::routing::experiment
