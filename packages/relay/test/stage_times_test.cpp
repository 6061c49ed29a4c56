#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace relay = rattanbay::relay;

namespace {

using std::chrono::milliseconds;

/// Two chains: stage 0 alone, and stages 1 and 2 one after the other, all in one pool.
struct staged_route {
    staged_route() {
        const base::service_name pool("pool");
        config::piece_limits limits;
        limits.max_batch_size = 10;
        limits.call_overhead = milliseconds(100);
        limits.time_per_piece = milliseconds(10);
        services[pool].pieces = limits;
        stages.resize(3);
        for (config::relay_stage& stage : stages) {
            stage.service = pool;
        }
        stages[2].depends_on = {1};
    }

    std::vector<config::relay_stage> stages;
    std::map<base::service_name, config::relay_service> services;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stage_times)

// Guards against a stage that begins so late that those after it cannot be in time.
BOOST_FIXTURE_TEST_CASE(a_stage_leaves_time_for_those_after_it, staged_route) {
    const std::vector<relay::stage_estimate> read = relay::estimate_stage_times(stages, {2, 1, 30}, services);
    BOOST_CHECK(read[0].least.own == milliseconds(150));
    BOOST_CHECK(read[0].least.rest == milliseconds(0));
    BOOST_CHECK(read[1].least.own == milliseconds(140));
    // No more pieces than a call takes count.
    BOOST_CHECK(read[2].least.own == milliseconds(230));
    BOOST_CHECK(read[1].least.rest == read[2].least.whole());
}

// Guards against due times that hold only while the pools are free: stages that began when they were
// due then missed the objective under load.
BOOST_FIXTURE_TEST_CASE(busy_pools_take_full_calls_and_a_wait, staged_route) {
    const std::vector<relay::stage_estimate> read = relay::estimate_stage_times(stages, {2, 1, 3}, services);
    BOOST_CHECK(read[0].busy.own == milliseconds(330));
    BOOST_CHECK(read[1].busy.whole() == milliseconds(660));
}

// Guards against time that is kept for stages which a request does not have.
BOOST_FIXTURE_TEST_CASE(stages_without_pieces_take_no_time, staged_route) {
    const std::vector<relay::stage_estimate> read = relay::estimate_stage_times(stages, {0, 1, 0}, services);
    BOOST_CHECK(read[0].busy.whole() == milliseconds(0));
    BOOST_CHECK(read[1].busy.rest == milliseconds(0));
}

BOOST_AUTO_TEST_SUITE_END()
