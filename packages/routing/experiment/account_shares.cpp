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
constexpr double account_rate = 200;
constexpr base::duration length = 120s;
/// Gossip tells each VM the requests of all VMs this much later, each second.
constexpr base::duration gossip_interval = 1s;
constexpr std::size_t gossip_lag_intervals = 2;
constexpr std::size_t remembered_intervals = 5;

using weights = std::array<double, vm_count>;
using counts = std::array<std::uint64_t, vm_count>;

/// Shares of the account's requests by VM at a time.
weights spread(const std::string& kind, base::time_point now) {
    weights shares{};
    if (kind == "even") {
        shares.fill(1.0 / vm_count);
    } else if (kind == "half to one VM") {
        shares.fill(0.5 / (vm_count - 1));
        shares[0] = 0.5;
    } else {
        // Callers keep an entry address for 10 s; one caller moves from VM to VM.
        constexpr base::duration address_age = 10s;
        shares[static_cast<std::size_t>(now.time_since_epoch() / address_age) % vm_count] = 1;
    }
    return shares;
}

std::size_t draw_vm(const weights& shares, base::random_source& random) {
    double left = random.unit();
    for (std::size_t n = 0; n < vm_count; ++n) {
        left -= shares[n];
        if (left < 0) {
            return n;
        }
    }
    return vm_count - 1;
}

/// Shares from the requests that gossip has told: those of some seconds, some seconds ago.
weights observed_shares(const std::vector<counts>& history) {
    weights shares{};
    shares.fill(1.0 / vm_count);
    if (history.size() <= gossip_lag_intervals + remembered_intervals) {
        return shares;
    }
    const counts& newest = history[history.size() - 1 - gossip_lag_intervals];
    const counts& oldest = history[history.size() - 1 - gossip_lag_intervals - remembered_intervals];
    double sum = 0;
    for (std::size_t n = 0; n < vm_count; ++n) {
        sum += static_cast<double>(newest[n] - oldest[n]);
    }
    for (std::size_t n = 0; n < vm_count; ++n) {
        shares[n] = sum > 0 ? static_cast<double>(newest[n] - oldest[n]) / sum : 1.0 / vm_count;
    }
    return shares;
}

std::string row(const std::string& kind, double offered_rate) {
    const base::account_id account("account");
    config::environment_document document;
    document.accounts[account] = {account, "", account_rate, account_rate, 100'000, 0};
    std::array<limits::account_limits, vm_count> vms;
    for (limits::account_limits& vm : vms) {
        vm.configure(document, vm_count);
    }
    base::random_source random(1);
    std::vector<counts> history{counts{}};
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    const base::time_point begin{};
    base::time_point next_gossip = begin + gossip_interval;
    for (base::time_point now = begin; now < begin + length;
         now +=
         base::duration(static_cast<std::int64_t>(-std::log(1 - random.unit()) / offered_rate * 1e6))) {
        if (now >= next_gossip) {
            next_gossip += gossip_interval;
            counts seen{};
            const weights shares = observed_shares(history);
            for (std::size_t n = 0; n < vm_count; ++n) {
                seen[n] = vms[n].request_counts().at(account);
                vms[n].set_observed_share(account, shares[n]);
            }
            history.push_back(seen);
        }
        ++offered;
        admitted += vms[draw_vm(spread(kind, now), random)].admit(account, now) ? 1 : 0;
    }
    std::ostringstream out;
    const double seconds = std::chrono::duration<double>(length).count();
    out << "| " << kind << " | " << offered_rate / account_rate << " | " << std::fixed << std::setprecision(2)
        << static_cast<double>(admitted) / seconds / account_rate << " | " << std::setprecision(1)
        << 100 * static_cast<double>(offered - admitted) / static_cast<double>(offered) << " |\n";
    return out.str();
}

} // namespace

std::string account_share_table() {
    std::string table = "| callers | offered / rate | admitted / rate | refused % |\n|---|---|---|---|\n";
    for (const char* kind : {"even", "half to one VM", "one VM, another each 10 s"}) {
        for (const double offered : {0.9, 3.0, 10.0}) {
            table += row(kind, offered * account_rate);
        }
    }
    return table;
}

} // namespace rattanbay::routing::experiment
