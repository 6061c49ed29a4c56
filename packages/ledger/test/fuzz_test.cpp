#include "history.hpp"
#include "seeded_check.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

namespace test = rattanbay::ledger::test;

namespace {

using test::history_step;

rc::Gen<history_step> arbitrary_step() {
    const rc::Gen<int> number =
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, test::step_value_range));
    return rc::gen::build<history_step>(
        rc::gen::set(&history_step::kind, number), rc::gen::set(&history_step::target, number),
        rc::gen::set(&history_step::argument, number), rc::gen::set(&history_step::delay, number));
}

std::uint64_t read_environment_number(const char* name, std::uint64_t default_value) {
    const char* const text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz)

// Guards against sequences of crashes, pauses, lost answers, outages and resends in which a booking runs
// twice, runs after a reply with outcome `not_run` or gets the response of another run, or in which a request
// never gets a reply.
BOOST_AUTO_TEST_CASE(every_history_keeps_the_guarantees) {
    const std::uint64_t seed = read_environment_number("RATTANBAY_FUZZ_SEED", 20261204);
    const std::uint64_t count = read_environment_number("RATTANBAY_FUZZ_HISTORIES", 2000);
    test::history_totals totals;
    test::check_with_seed(seed, static_cast<int>(count), [&totals] {
        const auto history =
            *rc::gen::container<std::vector<history_step>>(test::steps_per_history, arbitrary_step());
        const auto cluster_seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
        const std::vector<std::string> violations = test::run_history(history, cluster_seed, totals);
        if (!violations.empty()) {
            RC_FAIL(violations.front());
        }
    });
    std::cout << "ledger fuzzing: seed " << seed << ", " << totals.histories << " histories, " << totals.steps
              << " steps, " << totals.runs << " runs, " << totals.replies << " replies during the faults, "
              << totals.unknown_replies << " of them unknown, " << totals.expected_answers
              << " fault-free bookings answered, " << totals.seals << " seals, " << totals.segments
              << " segments written, " << totals.deletions << " deleted\n";
}

BOOST_AUTO_TEST_SUITE_END()
