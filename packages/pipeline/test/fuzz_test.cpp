#include "simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace pipeline = rattanbay::pipeline;
using namespace std::chrono_literals;
using namespace rattanbay::pipeline::test;

namespace {

/// Returns the number in an environment variable, or `default_value` if it is not set.
std::uint64_t env_number(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// Sums over all simulations of a run.
struct fuzz_statistics {
    std::size_t histories = 0;
    std::size_t steps = 0;
    std::size_t completed = 0;
    std::size_t not_run = 0;
    std::size_t ran = 0;
    std::size_t unknown = 0;
    std::size_t streams_cut = 0;
    rule_counts counts;

    void add(const simulation& history) {
        ++histories;
        steps += history.steps();
        const rule_counts& more = history.verdict().counts();
        counts.retries += more.retries;
        counts.hedges += more.hedges;
        counts.resumes += more.resumes;
        counts.restarts += more.restarts;
        counts.reconnections += more.reconnections;
        counts.early_refusals += more.early_refusals;
        counts.stale_events += more.stale_events;
        const auto& problem = history.verdict().problem();
        if (!problem) {
            ++completed;
            return;
        }
        not_run += problem->outcome == base::outcome::not_run ? 1U : 0U;
        ran += problem->outcome == base::outcome::ran ? 1U : 0U;
        unknown += problem->outcome == base::outcome::unknown ? 1U : 0U;
        streams_cut += history.verdict().emitted() > 0 ? 1U : 0U;
    }
};

rc::Gen<test_stage> any_stage() {
    return rc::gen::exec([] {
        test_stage stage;
        stage.kind = *rc::gen::element(config::service_kind::worker_pool, config::service_kind::model_engine,
                                       config::service_kind::plain_service);
        stage.idempotent = *rc::gen::weightedElement<bool>({{5, true}, {1, false}});
        const int p50 = *rc::gen::inRange(1, 60);
        stage.times = {std::chrono::milliseconds(p50), std::chrono::milliseconds(2 * p50),
                       std::chrono::milliseconds(3 * p50)};
        return stage;
    });
}

rc::Gen<scenario> any_scenario() {
    return rc::gen::exec([] {
        scenario setup;
        const auto count = *rc::gen::inRange<std::size_t>(1, 6);
        setup.stages = *rc::gen::container<std::vector<test_stage>>(count, any_stage());
        for (std::size_t n = 0; n < count; ++n) {
            setup.stages[n].name = "stage" + std::to_string(n);
        }
        pipeline::request& req = setup.req;
        req.id = base::request_id("req-1");
        req.input = *rc::gen::element<std::string>(R"("ask")", R"({"a":[1,2]})", "7");
        req.streamed = *rc::gen::arbitrary<bool>();
        if (req.streamed) {
            setup.stages.back().kind = config::service_kind::model_engine;
        }
        if (*rc::gen::arbitrary<bool>()) {
            req.seed = 5;
        }
        req.deadline = at(std::chrono::milliseconds(*rc::gen::element(100, 400, 1500, 8000, 8000)));
        // The nominal size makes the generator use the whole range.
        setup.decisions = *rc::gen::resize(
            rc::kNominalSize,
            rc::gen::container<std::vector<std::uint16_t>>(160, rc::gen::inRange<std::uint16_t>(0, 1000)));
        return setup;
    });
}

} // namespace

namespace rattanbay::pipeline::test {

void showValue(const scenario& setup, std::ostream& out) { // NOLINT(readability-identifier-naming)
    out << setup.stages.size() << " stages, deadline "
        << base::to_milliseconds(setup.req.deadline.time_since_epoch()) << " ms";
}

} // namespace rattanbay::pipeline::test

BOOST_AUTO_TEST_SUITE(fuzz)

// Guards against lost, duplicated and swapped results, tokens out of order, a second run of a
// non-idempotent call, a wrong outcome, and an execution that does not end, under any combination of faults.
BOOST_AUTO_TEST_CASE(any_history_keeps_the_rules) {
    rc::detail::TestParams params;
    params.seed = env_number("RATTANBAY_FUZZ_SEED", 20261204);
    params.maxSuccess = static_cast<int>(env_number("RATTANBAY_FUZZ_HISTORIES", 20000));
    fuzz_statistics total;
    const auto property = [&total] {
        simulation history(*any_scenario().as("scenario"));
        history.run();
        total.add(history);
        if (history.verdict().violation()) {
            RC_LOG() << history.log();
            RC_FAIL(*history.verdict().violation());
        }
    };
    const rc::detail::TestResult result =
        rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    const bool passed = result.is<rc::detail::SuccessResult>();
    if (!passed) {
        rc::detail::printResultMessage(result, std::cout);
    }
    BOOST_TEST(passed);
    std::cout << "pipeline fuzz: seed " << params.seed << ", " << total.histories << " histories, "
              << total.steps << " steps; " << total.completed << " completed, " << total.not_run
              << " not run, " << total.ran << " ran, " << total.unknown << " unknown; " << total.streams_cut
              << " streams cut" << std::endl;
    const rule_counts& counts = total.counts;
    std::cout << "  " << counts.retries << " retries, " << counts.hedges << " hedges, " << counts.resumes
              << " resumes, " << counts.restarts << " restarts with tokens skipped, " << counts.reconnections
              << " reconnections, " << counts.early_refusals << " early refusals, " << counts.stale_events
              << " stale events" << std::endl;
    // A rule that was never applied was not tested.
    BOOST_TEST(std::min({counts.retries, counts.hedges, counts.resumes, counts.restarts, counts.reconnections,
                         counts.early_refusals, counts.stale_events}) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
