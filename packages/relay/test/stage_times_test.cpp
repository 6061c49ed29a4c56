#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace relay = rattanbay::relay;

namespace {

using std::chrono::milliseconds;

/// Two chains of stages in one pool: stage 0 alone, and stage 2 after stage 1.
struct stage_fixture {
    stage_fixture() {
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

// Guards against starting a stage so late that the stages that depend on it cannot finish in time.
BOOST_FIXTURE_TEST_CASE(stages_leave_time_for_dependent_stages, stage_fixture) {
    const std::vector<relay::stage_estimate> estimates =
        relay::estimate_stage_times(stages, {2, 1, 30}, services);
    BOOST_CHECK(estimates[0].unloaded.duration == milliseconds(150));
    BOOST_CHECK(estimates[0].unloaded.following == milliseconds(0));
    BOOST_CHECK(estimates[1].unloaded.duration == milliseconds(140));
    // Pieces beyond the batch size do not increase the estimate.
    BOOST_CHECK(estimates[2].unloaded.duration == milliseconds(230));
    BOOST_CHECK(estimates[1].unloaded.following == estimates[2].unloaded.total());
}

// Guards against target starts that are only sufficient for idle pools. With such target starts, stages that
// started on time missed the objective under load.
BOOST_FIXTURE_TEST_CASE(loaded_estimates_include_full_calls_and_a_wait, stage_fixture) {
    const std::vector<relay::stage_estimate> estimates =
        relay::estimate_stage_times(stages, {2, 1, 3}, services);
    BOOST_CHECK(estimates[0].loaded.duration == milliseconds(330));
    BOOST_CHECK(estimates[1].loaded.total() == milliseconds(660));
}

// Guards against reserving time for stages that a request does not have.
BOOST_FIXTURE_TEST_CASE(stages_without_pieces_take_no_time, stage_fixture) {
    const std::vector<relay::stage_estimate> estimates =
        relay::estimate_stage_times(stages, {0, 1, 0}, services);
    BOOST_CHECK(estimates[0].loaded.total() == milliseconds(0));
    BOOST_CHECK(estimates[1].loaded.following == milliseconds(0));
}

BOOST_AUTO_TEST_SUITE_END()
