#include <rattanbay/membership.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace membership = rattanbay::membership;
namespace peer = rattanbay::peer;
namespace relay = rattanbay::relay;

namespace {

/// Worker pool of a site: endpoints, pieces in a call and time of a piece; a call has 150 ms besides.
struct pool {
    std::string service;
    std::size_t endpoints = 0;
    std::size_t batch_size = 0;
    double piece_ms = 0;

    config::piece_limits limits() const {
        config::piece_limits out;
        out.max_batch_size = batch_size;
        out.call_overhead = std::chrono::milliseconds(150);
        out.time_per_piece = std::chrono::microseconds(static_cast<std::int64_t>(piece_ms * 1000));
        return out;
    }
};

const std::vector<pool> small_site_pools{{"kitchen-board", 4, 8, 16},     {"stores-ledger", 5, 20, 6.4},
                                         {"airline-billing", 5, 42, 3.1}, {"studio-portal", 3, 8, 16},
                                         {"gallery-share", 5, 14, 9.2},   {"notify", 5, 38, 3.4}};
const std::vector<pool> grown_site_pools{{"kitchen-board", 17, 10, 13},    {"stores-ledger", 15, 34, 3.8},
                                         {"airline-billing", 18, 58, 2.2}, {"studio-portal", 13, 8, 16},
                                         {"gallery-share", 15, 24, 5.4},   {"notify", 18, 54, 2.4}};

/// Members with the given capacities in hundredths of a core. `number` distinguishes fleets.
std::vector<peer::member_record> make_members(const std::vector<std::uint32_t>& capacities,
                                              std::uint8_t number = 0) {
    base::random_source random(1);
    std::vector<peer::member_record> out;
    for (std::size_t n = 0; n < capacities.size(); ++n) {
        peer::member_record member;
        member.id = base::incarnation::generate(random);
        member.vm = base::vm_id("vm-" + std::to_string(n));
        member.peer_address = base::address{
            {10, number, static_cast<std::uint8_t>(n / 256), static_cast<std::uint8_t>(n % 256)}, 7000};
        member.revision = 1;
        member.processor_percent = capacities[n];
        out.push_back(member);
    }
    return out;
}

/// Capacities of the larger sites: a few VMs of half a core among many of 0.12.
std::vector<std::uint32_t> mixed_capacities(std::size_t large, std::size_t small) {
    std::vector<std::uint32_t> out(large, 50);
    out.insert(out.end(), small, 12);
    return out;
}

std::vector<relay::pool_endpoint> make_endpoints(std::size_t count) {
    std::vector<relay::pool_endpoint> out;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back(
            {base::endpoint_id("endpoint-" + std::to_string(n)),
             base::address{{10, 200, static_cast<std::uint8_t>(n / 256), static_cast<std::uint8_t>(n % 256)},
                           8080},
             base::failure_domain(std::string(1, static_cast<char>('a' + n % 4)))});
    }
    return out;
}

membership::pool_plan plan(const std::vector<peer::member_record>& members, const pool& of) {
    return membership::plan_pool(members, base::service_name(of.service), of.limits(),
                                 make_endpoints(of.endpoints));
}

std::uint64_t capacity_us(const peer::member_record& member) {
    constexpr std::uint64_t microseconds_per_percent = 10'000;
    return member.processor_percent * microseconds_per_percent;
}

/// VM that schedules each endpoint.
std::map<std::string, std::string> scheduler_by_endpoint(const membership::pool_plan& of) {
    std::map<std::string, std::string> out;
    for (const membership::pool_shard& shard : of.shards) {
        for (const relay::pool_endpoint& endpoint : shard.endpoints) {
            BOOST_TEST(out.emplace(endpoint.id.text(), shard.scheduler.vm.text()).second);
        }
    }
    return out;
}

/// Number of endpoints that another VM schedules than before, apart from those of the VM `lost`.
std::size_t count_moved(const std::map<std::string, std::string>& before,
                        const std::map<std::string, std::string>& after, const std::string& lost = "") {
    return static_cast<std::size_t>(std::ranges::count_if(before, [&](const auto& row) {
        const auto it = after.find(row.first);
        return row.second != lost && it != after.end() && it->second != row.second;
    }));
}

void check_complete(const membership::pool_plan& of, std::size_t endpoints) {
    BOOST_TEST(scheduler_by_endpoint(of).size() == endpoints);
    BOOST_TEST(of.shard_by_address.size() == endpoints);
    std::set<std::string> schedulers;
    for (const membership::pool_shard& shard : of.shards) {
        BOOST_TEST(!shard.endpoints.empty());
        schedulers.insert(shard.scheduler.vm.text());
    }
    BOOST_TEST(schedulers.size() == of.shards.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(pool_planning)

// Guards against a pool that is scheduled by a VM whose processor its load exceeds: stages then wait for the
// scheduler while endpoints are idle.
BOOST_AUTO_TEST_CASE(no_vm_schedules_more_than_half_of_its_processor_can_bear) {
    const std::vector<std::vector<std::uint32_t>> fleets{mixed_capacities(8, 64), mixed_capacities(8, 83),
                                                         std::vector<std::uint32_t>(90, 12),
                                                         std::vector<std::uint32_t>(320, 25)};
    std::uint8_t number = 0;
    for (const std::vector<std::uint32_t>& fleet : fleets) {
        const std::vector<peer::member_record> members = make_members(fleet, ++number);
        for (const pool& next : grown_site_pools) {
            const membership::pool_plan out = plan(members, next);
            check_complete(out, next.endpoints);
            for (const membership::pool_shard& shard : out.shards) {
                BOOST_TEST(shard.load > 0U);
                BOOST_TEST(shard.load <= capacity_us(shard.scheduler) / 2);
            }
        }
    }
}

// Guards against the pools of small sites being divided, which costs calls that carry fewer pieces.
BOOST_AUTO_TEST_CASE(pools_of_small_sites_have_one_scheduler) {
    for (const std::size_t size : {std::size_t{6}, std::size_t{8}}) {
        const std::vector<peer::member_record> members = make_members(std::vector<std::uint32_t>(size, 25));
        for (const pool& next : small_site_pools) {
            const membership::pool_plan out = plan(members, next);
            BOOST_REQUIRE(out.shards.size() == 1U);
            check_complete(out, next.endpoints);
            BOOST_TEST(out.shards[0].fallbacks.size() == membership::max_scheduler_fallbacks);
        }
    }
}

// Guards against a changed order of daemons with equal capacities, which would reassign all pools during an
// update from the earlier rule.
BOOST_AUTO_TEST_CASE(daemons_of_equal_capacity_keep_the_order_of_the_hash) {
    const std::vector<peer::member_record> members = make_members(std::vector<std::uint32_t>(12, 25));
    for (int n = 0; n < 40; ++n) {
        const pool next{"pool-" + std::to_string(n), 2, 4, 10};
        const std::vector<peer::member_record> expected =
            membership::select_schedulers(members, base::service_name(next.service), 3);
        const membership::pool_plan out = plan(members, next);
        BOOST_REQUIRE(out.shards.size() == 1U);
        BOOST_CHECK(out.shards[0].scheduler == expected[0]);
        BOOST_REQUIRE(out.shards[0].fallbacks.size() == 2U);
        BOOST_CHECK(out.shards[0].fallbacks[0] == expected[1]);
        BOOST_CHECK(out.shards[0].fallbacks[1] == expected[2]);
    }
}

// Guards against large VMs that get no more pools than small ones, and against one VM that gets them all.
BOOST_AUTO_TEST_CASE(vms_with_more_processor_are_preferred) {
    const std::vector<peer::member_record> members = make_members(mixed_capacities(8, 64));
    std::map<std::string, int> pools_by_large_vm;
    constexpr int count = 200;
    int large = 0;
    for (int n = 0; n < count; ++n) {
        const membership::pool_plan out = plan(members, {"pool-" + std::to_string(n), 2, 4, 10});
        BOOST_REQUIRE(out.shards.size() == 1U);
        const peer::member_record& scheduler = out.shards[0].scheduler;
        if (scheduler.processor_percent == 50) {
            ++large;
            ++pools_by_large_vm[scheduler.vm.text()];
        }
    }
    BOOST_TEST(large > count * 3 / 4);
    BOOST_TEST(pools_by_large_vm.size() == 8U);
    for (const auto& row : pools_by_large_vm) {
        BOOST_TEST(row.second < count / 4);
    }
}

// Guards against daemons that plan differently because they hold members or endpoints in a different order or
// know different incarnations, and against a different plan on another processor type.
BOOST_AUTO_TEST_CASE(the_plan_depends_on_addresses_and_capacities_only) {
    const std::vector<peer::member_record> members = make_members(mixed_capacities(8, 64));
    std::vector<peer::member_record> others = members;
    std::ranges::reverse(others);
    base::random_source random(2);
    for (peer::member_record& member : others) {
        member.id = base::incarnation::generate(random);
        member.load = 7;
    }
    std::string schedulers;
    for (const pool& next : grown_site_pools) {
        std::vector<relay::pool_endpoint> endpoints = make_endpoints(next.endpoints);
        std::ranges::reverse(endpoints);
        const membership::pool_plan one = plan(members, next);
        const membership::pool_plan other =
            membership::plan_pool(others, base::service_name(next.service), next.limits(), endpoints);
        BOOST_CHECK(scheduler_by_endpoint(one) == scheduler_by_endpoint(other));
        for (const membership::pool_shard& shard : one.shards) {
            schedulers += shard.scheduler.vm.text() + ":" + std::to_string(shard.endpoints.size()) + " ";
        }
    }
    // Computed on arm64.
    BOOST_TEST(schedulers == "vm-54:17 vm-7:15 vm-2:15 vm-3:3 vm-0:13 vm-4:15 vm-3:18 ");
}

// Guards against a lost or drained daemon that reassigns endpoints which it did not schedule, and against one
// that keeps its role.
BOOST_AUTO_TEST_CASE(a_lost_daemon_reassigns_little_more_than_it_scheduled) {
    const std::vector<peer::member_record> members = make_members(std::vector<std::uint32_t>(90, 12));
    for (const pool& next : grown_site_pools) {
        const std::map<std::string, std::string> before = scheduler_by_endpoint(plan(members, next));
        for (const membership::pool_shard& shard : plan(members, next).shards) {
            std::vector<peer::member_record> remaining = members;
            const auto it = std::ranges::find(remaining, shard.scheduler);
            it->draining = true;
            const membership::pool_plan out = plan(remaining, next);
            check_complete(out, next.endpoints);
            const std::map<std::string, std::string> after = scheduler_by_endpoint(out);
            const std::string lost = shard.scheduler.vm.text();
            BOOST_TEST(count_moved(before, after, lost) <= next.endpoints / 4);
            for (const auto& row : after) {
                BOOST_TEST(row.second != lost);
            }
        }
    }
}

// Guards against an added daemon or a lost endpoint that moves most endpoints to other schedulers.
BOOST_AUTO_TEST_CASE(single_changes_move_few_endpoints) {
    std::vector<peer::member_record> members = make_members(std::vector<std::uint32_t>(91, 12));
    const peer::member_record added = members.back();
    members.pop_back();
    for (const pool& next : grown_site_pools) {
        const std::map<std::string, std::string> before = scheduler_by_endpoint(plan(members, next));
        std::vector<peer::member_record> more = members;
        more.push_back(added);
        const membership::pool_plan with_added = plan(more, next);
        const auto taken = with_added.find(added.id);
        const std::size_t own = taken != nullptr ? taken->endpoints.size() : 0;
        BOOST_TEST(count_moved(before, scheduler_by_endpoint(with_added)) <= own + next.endpoints / 4);
        for (std::size_t n = 0; n < next.endpoints; ++n) {
            std::vector<relay::pool_endpoint> endpoints = make_endpoints(next.endpoints);
            endpoints.erase(endpoints.begin() + static_cast<std::ptrdiff_t>(n));
            const membership::pool_plan out =
                membership::plan_pool(members, base::service_name(next.service), next.limits(), endpoints);
            BOOST_TEST(count_moved(before, scheduler_by_endpoint(out)) <= next.endpoints / 4);
        }
    }
}

// Guards against a pool that is left without a scheduler, or a plan that does not end, as the fleet is too
// small for it.
BOOST_AUTO_TEST_CASE(a_pool_beyond_the_fleet_is_divided_in_proportion) {
    const pool large{"billing", 300, 58, 2.2};
    const std::vector<peer::member_record> members = make_members({12, 12, 50});
    const membership::pool_plan out = plan(members, large);
    check_complete(out, large.endpoints);
    BOOST_REQUIRE(out.shards.size() == 3U);
    for (const membership::pool_shard& shard : out.shards) {
        const double part = static_cast<double>(shard.endpoints.size()) / 300.0;
        const double expected = shard.scheduler.processor_percent / 74.0;
        BOOST_TEST(part > expected * 0.7);
        BOOST_TEST(part < expected * 1.3);
    }
    const membership::pool_plan alone = plan(make_members({12}), large);
    BOOST_REQUIRE(alone.shards.size() == 1U);
    BOOST_TEST(alone.shards[0].endpoints.size() == 300U);
    BOOST_TEST(alone.shards[0].fallbacks.empty());
}

// Guards against a plan for daemons that may not schedule, and against stages of a pool without endpoints
// that wait at every daemon.
BOOST_AUTO_TEST_CASE(missing_members_and_endpoints_are_planned_for) {
    const pool& next = grown_site_pools.front();
    BOOST_TEST(plan({}, next).shards.empty());
    BOOST_CHECK(membership::select_shard(plan({}, next), "r1", {}) == nullptr);
    std::vector<peer::member_record> members = make_members({50, 50, 50, 12});
    members[0].draining = true;
    members[1].revision = 0;
    members[2].status = peer::member_status::suspect;
    const membership::pool_plan out = plan(members, next);
    BOOST_REQUIRE(out.shards.size() == 1U);
    BOOST_CHECK(out.shards[0].scheduler == members[3]);
    BOOST_CHECK(out.find(members[3].id) == &out.shards[0]);
    BOOST_CHECK(out.find(members[0].id) == nullptr);

    const membership::pool_plan empty = plan(members, {"kitchen-board", 0, 10, 13});
    BOOST_REQUIRE(empty.shards.size() == 1U);
    BOOST_CHECK(empty.shards[0].scheduler == members[3]);
    BOOST_TEST(empty.shards[0].endpoints.empty());
    BOOST_CHECK(membership::select_shard(empty, "r1", base::failure_domain("a")) == &empty.shards[0]);
}

// Guards against members of earlier versions, which do not tell their capacity, being taken for strong or for
// unusable ones.
BOOST_AUTO_TEST_CASE(members_of_unknown_capacity_count_as_small) {
    const std::vector<peer::member_record> members = make_members({0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 50, 50});
    std::set<std::string> chosen;
    for (int n = 0; n < 20; ++n) {
        for (const membership::pool_shard& shard :
             plan(members, {"pool-" + std::to_string(n), 18, 58, 2.2}).shards) {
            chosen.insert(shard.scheduler.vm.text());
            if (shard.scheduler.processor_percent == 0) {
                BOOST_TEST(shard.load <= capacity_us(members.back()) / 10);
            }
        }
    }
    BOOST_TEST(chosen.contains("vm-11"));
    BOOST_TEST(chosen.contains("vm-12"));
    BOOST_REQUIRE(plan(make_members({0, 0}), {"pool", 5, 8, 16}).shards.size() == 1U);
}

// Guards against stages that go to a shard out of proportion to its endpoints or outside their preferred
// failure domain, and against a stage whose shard changes from call to call.
BOOST_AUTO_TEST_CASE(stages_are_spread_in_proportion_to_the_endpoints) {
    const membership::pool_plan out =
        plan(make_members(std::vector<std::uint32_t>(90, 12)), {"airline-billing", 18, 58, 2.2});
    BOOST_REQUIRE(out.shards.size() > 1U);
    std::map<const membership::pool_shard*, std::size_t> counts;
    constexpr std::size_t stages = 3600;
    for (std::size_t n = 0; n < stages; ++n) {
        const std::string key = "request-" + std::to_string(n);
        const membership::pool_shard* const chosen = membership::select_shard(out, key, {});
        BOOST_CHECK(membership::select_shard(out, key, {}) == chosen);
        ++counts[chosen];
        const membership::pool_shard* const near =
            membership::select_shard(out, key, base::failure_domain("b"));
        BOOST_CHECK(std::ranges::any_of(near->endpoints, [](const relay::pool_endpoint& endpoint) {
            return endpoint.failure_domain.text() == "b";
        }));
        BOOST_CHECK(membership::select_shard(out, key, base::failure_domain("elsewhere")) == chosen);
    }
    for (const membership::pool_shard& shard : out.shards) {
        const std::size_t expected = stages * shard.endpoints.size() / 18;
        BOOST_TEST(counts[&shard] > expected * 8 / 10);
        BOOST_TEST(counts[&shard] < expected * 12 / 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()
