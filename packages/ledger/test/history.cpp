#include "history.hpp"

#include <array>

namespace rattanbay::ledger::test {

namespace {

using namespace std::chrono_literals;

base::duration deadline_of(const command& it) {
    constexpr std::array<base::duration, 6> deadlines{2000ms, 1500ms, 3000ms, 5000ms, 150ms, 10ms};
    const base::duration chosen = deadlines[static_cast<std::size_t>(it.other) % deadlines.size()];
    // Some requests arrive with their deadline already passed.
    return chosen == 10ms && it.pace % 2 == 1 ? 0ms : chosen;
}

/// Bookings, resends and refusals; false when `it` is another kind of step.
bool step_of_caller(world& w, const command& it) {
    const auto vm = static_cast<std::size_t>(it.which) % world::vm_count;
    const auto key_vm = static_cast<std::size_t>(it.which / 3) % world::vm_count;
    if (it.what >= 5 && it.what < 25) {
        w.book(key_vm, vm, deadline_of(it));
    } else if (it.what >= 25 && it.what < 28) {
        w.book(key_vm, vm, deadline_of(it), true);
    } else if (it.what >= 28 && it.what < 31) {
        w.book_with_kept_prefix(key_vm, vm, deadline_of(it));
    } else if (it.what >= 31 && it.what < 53) {
        if (w.bookings() == 0) {
            return true;
        }
        // Mostly a recent booking, whose run may be under way.
        const std::size_t back =
            it.what < 46 ? static_cast<std::size_t>(it.other) % 3 : static_cast<std::size_t>(it.other);
        const std::size_t earlier = w.bookings() - 1 - back % w.bookings();
        w.resend(earlier, vm, deadline_of(it), it.what >= 50, it.what == 49);
    } else {
        return false;
    }
    return true;
}

void step_of_fault(world& w, const command& it) {
    const auto vm = static_cast<std::size_t>(it.which) % world::vm_count;
    constexpr std::array<platform_mode, 9> modes{
        platform_mode::up,   platform_mode::down,           platform_mode::up,
        platform_mode::slow, platform_mode::losing_answers, platform_mode::up,
        platform_mode::down, platform_mode::old_copies,     platform_mode::losing_answers};
    if (it.what >= 53 && it.what < 58) {
        w.kill(vm);
    } else if (it.what >= 58 && it.what < 64) {
        w.replace(vm);
    } else if (it.what >= 64 && it.what < 69) {
        w.pause(vm);
    } else if (it.what >= 69 && it.what < 75) {
        w.resume(vm);
    } else if (it.what >= 75 && it.what < 83) {
        w.set_platform(modes[static_cast<std::size_t>(it.other) % modes.size()]);
    } else if (it.what >= 83 && it.what < 86) {
        w.set_network_faulty(it.other % 2 == 1);
    } else if (it.what >= 86 && it.what < 89) {
        w.set_endpoint_faulty(it.other % 2 == 1);
    } else if (it.what == 89) {
        w.drain(vm);
    } else if (it.what >= 90 && it.what < 93) {
        w.heal();
    }
}

base::duration pause_after(const command& it) {
    if (it.what >= 93 && it.what < 96) {
        return 14s;
    }
    if (it.what == 96) {
        return 5min;
    }
    if (it.what == 97) {
        return it.other % 4 == 0 ? 80min : 3min;
    }
    if (it.what >= 98) {
        return 1s;
    }
    // Most steps follow each other within the time of a commit or a run.
    constexpr std::array<base::duration, 8> paces{200us, 700us, 1500us, 3ms, 6ms, 12ms, 30ms, 400ms};
    return paces[static_cast<std::size_t>(it.pace) % paces.size()];
}

} // namespace

std::vector<std::string> play(const std::vector<command>& history, std::uint64_t seed, totals& sum,
                              approach way) {
    world_options options;
    options.seed = seed;
    options.way = way;
    // Small enough that segments are written, referred to and deleted in histories of 60 steps.
    options.owner.segment_threshold_bytes = 600;
    world w(options);
    w.run_for(100ms);
    for (const command& it : history) {
        if (!step_of_caller(w, it)) {
            step_of_fault(w, it);
        }
        w.run_for(pause_after(it));
    }
    sum.replies += w.oracle().replies();
    sum.answers += w.oracle().answers();
    for (const auto& [detail, count] : w.oracle().unknowns()) {
        sum.unknowns += count;
        sum.unknowns_by_detail[detail] += count;
    }
    w.heal();
    w.run_for(5s);
    // A VM that was stopping has ended by now.
    w.heal();
    w.run_for(30s);
    const std::size_t sent = w.bookings();
    for (std::size_t n = 0; n < sent; ++n) {
        w.resend(n, n % world::vm_count, 3s);
    }
    w.run_for(10s);
    for (std::size_t n = 0; n < world::vm_count; ++n) {
        w.book(n, (n + 1) % world::vm_count, 3s);
    }
    w.run_for(10s);
    std::vector<std::string> found = w.oracle().violations();
    for (std::size_t n = sent; n < w.bookings(); ++n) {
        if (!w.reply_to(n)) {
            found.push_back("booking " + std::to_string(n) + " got no reply in a healthy world");
        }
    }
    if (w.waiting() > 0) {
        found.push_back(std::to_string(w.waiting()) + " requests are still held");
    }
    ++sum.histories;
    sum.steps += history.size();
    sum.runs += w.oracle().run_count();
    sum.seals += w.platform().seals();
    sum.segments += w.platform().segments();
    sum.deletions += w.platform().deletions();
    sum.expected_answers += w.expected_answers();
    return found;
}

} // namespace rattanbay::ledger::test
