#include "history.hpp"

#include <array>

namespace rattanbay::ledger::test {

namespace {

using namespace std::chrono_literals;

base::duration deadline_of(const history_step& it) {
    constexpr std::array<base::duration, 6> deadlines{2000ms, 1500ms, 3000ms, 5000ms, 150ms, 10ms};
    const base::duration deadline = deadlines[static_cast<std::size_t>(it.argument) % deadlines.size()];
    // The deadline of some requests has already passed on arrival.
    return deadline == 10ms && it.delay % 2 == 1 ? 0ms : deadline;
}

/// Applies a booking, resend or refusal; returns false for any other kind of step.
bool apply_caller_step(simulated_cluster& cluster, const history_step& it) {
    const auto vm = static_cast<std::size_t>(it.target) % simulated_cluster::vm_count;
    const auto key_vm = static_cast<std::size_t>(it.target / 3) % simulated_cluster::vm_count;
    if (it.kind >= 5 && it.kind < 25) {
        cluster.send_booking(key_vm, vm, deadline_of(it));
    } else if (it.kind >= 25 && it.kind < 28) {
        cluster.send_booking(key_vm, vm, deadline_of(it), true);
    } else if (it.kind >= 28 && it.kind < 31) {
        cluster.send_booking_with_cached_prefix(key_vm, vm, deadline_of(it));
    } else if (it.kind >= 31 && it.kind < 53) {
        if (cluster.bookings() == 0) {
            return true;
        }
        // Mostly selects a recent booking, whose run may still be in progress.
        const std::size_t distance =
            it.kind < 46 ? static_cast<std::size_t>(it.argument) % 3 : static_cast<std::size_t>(it.argument);
        const std::size_t earlier = cluster.bookings() - 1 - distance % cluster.bookings();
        cluster.resend(earlier, vm, deadline_of(it), it.kind >= 50, it.kind == 49);
    } else {
        return false;
    }
    return true;
}

void apply_fault_step(simulated_cluster& cluster, const history_step& it) {
    const auto vm = static_cast<std::size_t>(it.target) % simulated_cluster::vm_count;
    constexpr std::array<platform_mode, 9> modes{
        platform_mode::up,   platform_mode::down,           platform_mode::up,
        platform_mode::slow, platform_mode::losing_answers, platform_mode::up,
        platform_mode::down, platform_mode::stale_reads,    platform_mode::losing_answers};
    if (it.kind >= 53 && it.kind < 58) {
        cluster.kill(vm);
    } else if (it.kind >= 58 && it.kind < 64) {
        cluster.replace(vm);
    } else if (it.kind >= 64 && it.kind < 69) {
        cluster.pause(vm);
    } else if (it.kind >= 69 && it.kind < 75) {
        cluster.resume(vm);
    } else if (it.kind >= 75 && it.kind < 83) {
        cluster.set_platform(modes[static_cast<std::size_t>(it.argument) % modes.size()]);
    } else if (it.kind >= 83 && it.kind < 86) {
        cluster.set_network_faulty(it.argument % 2 == 1);
    } else if (it.kind >= 86 && it.kind < 89) {
        cluster.set_endpoint_faulty(it.argument % 2 == 1);
    } else if (it.kind == 89) {
        cluster.drain(vm);
    } else if (it.kind >= 90 && it.kind < 93) {
        cluster.heal();
    }
}

base::duration delay_after(const history_step& it) {
    if (it.kind >= 93 && it.kind < 96) {
        return 14s;
    }
    if (it.kind == 96) {
        return 5min;
    }
    if (it.kind == 97) {
        return it.argument % 4 == 0 ? 80min : 3min;
    }
    if (it.kind >= 98) {
        return 1s;
    }
    // Most delays are shorter than a commit or a run.
    constexpr std::array<base::duration, 8> delays{200us, 700us, 1500us, 3ms, 6ms, 12ms, 30ms, 400ms};
    return delays[static_cast<std::size_t>(it.delay) % delays.size()];
}

} // namespace

std::vector<std::string> run_history(const std::vector<history_step>& history, std::uint64_t seed,
                                     history_totals& totals, execution_strategy strategy) {
    simulation_options options;
    options.seed = seed;
    options.strategy = strategy;
    // Small enough for segments to be written, referenced and deleted within the 60 steps of a history.
    options.owner.segment_threshold_bytes = 600;
    simulated_cluster cluster(options);
    cluster.run_for(100ms);
    for (const history_step& it : history) {
        if (!apply_caller_step(cluster, it)) {
            apply_fault_step(cluster, it);
        }
        cluster.run_for(delay_after(it));
    }
    totals.replies += cluster.oracle().replies();
    totals.responses += cluster.oracle().responses();
    for (const auto& [detail, count] : cluster.oracle().unknown_replies()) {
        totals.unknown_replies += count;
        totals.unknown_replies_by_detail[detail] += count;
    }
    cluster.heal();
    cluster.run_for(5s);
    // Restart the VMs that finished their shutdown in the meantime.
    cluster.heal();
    cluster.run_for(30s);
    const std::size_t sent = cluster.bookings();
    for (std::size_t n = 0; n < sent; ++n) {
        cluster.resend(n, n % simulated_cluster::vm_count, 3s);
    }
    cluster.run_for(10s);
    for (std::size_t n = 0; n < simulated_cluster::vm_count; ++n) {
        cluster.send_booking(n, (n + 1) % simulated_cluster::vm_count, 3s);
    }
    cluster.run_for(10s);
    std::vector<std::string> violations = cluster.oracle().violations();
    for (std::size_t n = sent; n < cluster.bookings(); ++n) {
        if (!cluster.reply_to(n)) {
            violations.push_back("booking " + std::to_string(n) + " got no reply in a healthy cluster");
        }
    }
    if (cluster.waiting() > 0) {
        violations.push_back(std::to_string(cluster.waiting()) + " requests are still waiting");
    }
    ++totals.histories;
    totals.steps += history.size();
    totals.runs += cluster.oracle().run_count();
    totals.seals += cluster.platform().seals();
    totals.segments += cluster.platform().segments();
    totals.deletions += cluster.platform().deletions();
    totals.expected_answers += cluster.expected_answers();
    return violations;
}

} // namespace rattanbay::ledger::test
