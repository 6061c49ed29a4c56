#include <rattanbay/object_api/vm_directory.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>

namespace base = rattanbay::base;
namespace object_api = rattanbay::object_api;

namespace {

constexpr std::size_t vm_count = 5;
constexpr std::size_t page_size = 2;

/// States of the VMs by name.
using state_map = std::map<std::string, object_api::vm_state>;

std::string vm_name(std::size_t n) {
    return {static_cast<char>('a' + n)};
}

/// State of a VM; nothing if it is not listed.
std::optional<object_api::vm_state> find_state(const state_map& states, const std::string& name) {
    const auto it = states.find(name);
    return it == states.end() ? std::nullopt : std::optional(it->second);
}

/// Answer of a watch from a revision that the platform no longer has.
struct lost_watch {
    object_api::store_revision after;
    std::uint64_t era = 0;
};

/// Platform whose answers are computed when a call arrives and delivered later, in any order. It may come
/// back from a copy: later states are gone and their numbers are given out again in a new era.
class simulated_platform {
public:
    std::uint64_t version() const { return states_.size() - 1; }

    const state_map& state_at(std::uint64_t version) const { return states_.at(version); }

    void change(const std::string& name, int kind) {
        state_map next = states_.back();
        if (kind == 0) {
            next.erase(name);
        } else {
            next[name] = kind == 1 ? object_api::vm_state::live : object_api::vm_state::leaving;
        }
        states_.push_back(std::move(next));
    }

    std::uint64_t era() const { return era_; }

    /// Comes back from a copy that lacks the last `lost` changes.
    void restore(std::uint64_t lost) {
        states_.resize(states_.size() - std::min(lost, version()));
        ++era_;
    }

    void answer_watch(const object_api::store_revision& from) {
        if (from.era() != era_) {
            answers_.emplace_back(lost_watch{from, era_});
            return;
        }
        const std::uint64_t after = from.number();
        object_api::vm_changes out;
        out.version = {era_, version()};
        for (std::size_t n = 0; n < vm_count; ++n) {
            const std::string name = vm_name(n);
            if (!changed_after(name, after)) {
                continue;
            }
            const auto it = states_.back().find(name);
            if (it == states_.back().end()) {
                out.removed.emplace_back(name);
            } else {
                out.changed.push_back(make_vm(name, it->second));
            }
        }
        answers_.emplace_back(std::move(out));
    }

    void answer_page(const std::string& after) {
        object_api::vm_page out;
        out.version = {era_, version()};
        out.after = after;
        for (auto it = states_.back().upper_bound(after); it != states_.back().end(); ++it) {
            if (out.vms.size() == page_size) {
                out.next_after = out.vms.back().id.text();
                break;
            }
            out.vms.push_back(make_vm(it->first, it->second));
        }
        answers_.emplace_back(std::move(out));
    }

    bool has_answers() const { return !answers_.empty(); }

    void deliver(std::size_t index, object_api::vm_directory& directory) {
        const auto it = answers_.begin() + static_cast<std::ptrdiff_t>(index % answers_.size());
        const answer next = std::move(*it);
        answers_.erase(it);
        if (const lost_watch* lost = std::get_if<lost_watch>(&next)) {
            directory.lose_history(lost->after, lost->era);
        } else if (const object_api::vm_page* page = std::get_if<object_api::vm_page>(&next)) {
            directory.apply(*page, base::time_point());
        } else {
            directory.apply(std::get<object_api::vm_changes>(next), base::time_point());
        }
    }

private:
    using answer = std::variant<object_api::vm_changes, object_api::vm_page, lost_watch>;

    bool changed_after(const std::string& name, std::uint64_t after) const {
        for (std::uint64_t n = after + 1; n <= version(); ++n) {
            if (find_state(states_[n - 1], name) != find_state(states_[n], name)) {
                return true;
            }
        }
        return false;
    }

    static object_api::vm make_vm(const std::string& name, object_api::vm_state state) {
        object_api::vm out;
        out.id = base::vm_id(name);
        out.state = state;
        return out;
    }

    std::vector<state_map> states_{state_map()};
    std::uint64_t era_ = 1;
    std::deque<answer> answers_;
};

state_map states_of(const object_api::vm_directory& directory) {
    state_map out;
    for (const object_api::vm& row : directory.list().vms) {
        out[row.id.text()] = row.state;
    }
    return out;
}

/// Whether the directory holds for each VM a state that it had at the list's version or later. A list of an
/// earlier era may be in use until an answer tells the new one.
bool is_current(const object_api::vm_directory& directory, const simulated_platform& platform) {
    if (directory.version().era() != platform.era()) {
        return directory.version().era() < platform.era();
    }
    const state_map listed = states_of(directory);
    for (std::size_t n = 0; n < vm_count; ++n) {
        const std::string name = vm_name(n);
        bool found = false;
        for (std::uint64_t at = directory.version().number(); at <= platform.version(); ++at) {
            found = found || find_state(listed, name) == find_state(platform.state_at(at), name);
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

/// Delivers all answers, then reads and watches until the list is complete and up to date.
void catch_up(object_api::vm_directory& directory, simulated_platform& platform) {
    while (platform.has_answers()) {
        platform.deliver(0, directory);
    }
    // The calls that a catch-up takes at most: a watch that finds the history lost, the pages, which a page
    // of a newer era starts again, and the watch that completes the list.
    constexpr std::size_t max_calls = 2 * (vm_count / page_size + 1) + 2;
    for (std::size_t n = 0; n < max_calls; ++n) {
        if (directory.next_page_after()) {
            platform.answer_page(*directory.next_page_after());
        } else {
            platform.answer_watch(directory.version());
        }
        platform.deliver(0, directory);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(vm_directory_history)

// Answers of concurrent calls may arrive in any order, also over returns of the platform from a copy; none
// may replace a newer one, and the list must always reach the platform's state again. The seed is fixed; the
// environment variable RC_PARAMS overrides it.
BOOST_AUTO_TEST_CASE(no_entry_is_older_than_the_list) {
    setenv("RC_PARAMS", "seed=20261204 max_success=3000", 0);
    const bool holds = rc::check("no entry is older than the list", []() {
        simulated_platform platform;
        object_api::vm_directory directory{base::duration::zero()};
        const std::size_t steps = *rc::gen::inRange<std::size_t>(0, 80);
        object_api::store_revision last_version;
        for (std::size_t n = 0; n < steps; ++n) {
            const int step = *rc::gen::weightedElement<int>({{4, 0}, {3, 1}, {3, 2}, {6, 3}, {1, 4}, {1, 5}});
            if (step == 0) {
                platform.change(vm_name(*rc::gen::inRange<std::size_t>(0, vm_count)),
                                *rc::gen::inRange(0, 3));
            } else if (step == 1) {
                platform.answer_watch(directory.version());
            } else if (step == 2 && directory.next_page_after()) {
                platform.answer_page(*directory.next_page_after());
            } else if (step == 3 && platform.has_answers()) {
                platform.deliver(*rc::gen::inRange<std::size_t>(0, 8), directory);
            } else if (step == 4) {
                directory.restart_listing();
            } else if (step == 5) {
                platform.restore(*rc::gen::inRange<std::uint64_t>(0, 10));
            }
            RC_ASSERT(directory.version() >= last_version);
            last_version = directory.version();
            RC_ASSERT(directory.next_page_after() || is_current(directory, platform));
        }
        catch_up(directory, platform);
        RC_ASSERT(states_of(directory) == platform.state_at(platform.version()));
        RC_ASSERT(directory.version() == object_api::store_revision(platform.era(), platform.version()));
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
