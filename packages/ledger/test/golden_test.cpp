#include "world.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

namespace test = rattanbay::ledger::test;
using namespace std::chrono_literals;

namespace {

constexpr auto deadline = 2s;

/// Starts three VMs, runs a scenario, and returns the trace of its events and actions.
std::string run_scenario(const std::function<void(test::simulated_cluster&)>& scenario) {
    std::ostringstream text;
    test::simulation_options options;
    options.fixed_delays = true;
    options.trace = &text;
    test::simulated_cluster cluster(options);
    cluster.run_for(30ms);
    scenario(cluster);
    BOOST_TEST(cluster.oracle().violations().empty());
    return text.str();
}

/// Compares the trace of a scenario with its golden file, or writes the file if RATTANBAY_WRITE_GOLDEN is
/// set.
void check_scenario(const std::string& name, const std::function<void(test::simulated_cluster&)>& scenario) {
    const std::string path = std::string(RATTANBAY_TEST_DATA) + "/" + name + ".golden";
    const std::string text = run_scenario(scenario);
    if (std::getenv("RATTANBAY_WRITE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
        return;
    }
    std::ifstream file(path);
    std::ostringstream expected;
    expected << file.rdbuf();
    BOOST_TEST(text == expected.str(), name << " differs from its golden file");
}

} // namespace

// Guard against unintended changes of platform calls, replies and their order that violate no guarantee, such
// as a second platform write per booking.
BOOST_AUTO_TEST_SUITE(golden)

BOOST_AUTO_TEST_CASE(normal_booking) {
    check_scenario("normal_booking", [](test::simulated_cluster& cluster) {
        cluster.send_booking(0, 0, deadline);
        cluster.run_for(100ms);
    });
}

BOOST_AUTO_TEST_CASE(resend_to_another_vm) {
    check_scenario("resend_to_another_vm", [](test::simulated_cluster& cluster) {
        const test::booking_id first = cluster.send_booking(0, 0, deadline);
        cluster.run_for(2ms);
        cluster.add_trace_comment("the caller resends the key to vm2 while it is being recorded");
        cluster.resend(first, 1, deadline);
        cluster.run_for(100ms);
        cluster.add_trace_comment("the caller resends the key to vm3 after the run");
        cluster.resend(first, 2, deadline);
        cluster.run_for(100ms);
    });
}

BOOST_AUTO_TEST_CASE(owner_killed_before_commit) {
    check_scenario("owner_killed_before_commit", [](test::simulated_cluster& cluster) {
        const test::booking_id first = cluster.send_booking(0, 0, deadline);
        cluster.set_platform(test::platform_mode::down);
        cluster.run_for(20ms);
        cluster.kill(0);
        cluster.set_platform(test::platform_mode::up);
        cluster.resend(first, 1, deadline);
        cluster.run_for(500ms);
        cluster.add_trace_comment("a second resend is answered from the sealed record cached by vm2");
        cluster.resend(first, 1, deadline);
        cluster.run_for(500ms);
    });
}

BOOST_AUTO_TEST_CASE(owner_killed_after_commit) {
    check_scenario("owner_killed_after_commit", [](test::simulated_cluster& cluster) {
        const test::booking_id recorded = cluster.send_booking(0, 0, deadline);
        cluster.run_for(100ms);
        const test::booking_id running = cluster.send_booking(0, 0, deadline);
        cluster.run_for(5ms);
        cluster.add_trace_comment("the second key is in the record, its answer is not");
        cluster.kill(0);
        cluster.resend(recorded, 1, deadline);
        cluster.resend(running, 1, deadline);
        cluster.run_for(500ms);
    });
}

BOOST_AUTO_TEST_CASE(paused_owner_wakes_after_the_seal) {
    check_scenario("paused_owner_wakes_after_the_seal", [](test::simulated_cluster& cluster) {
        cluster.send_booking(0, 0, deadline);
        cluster.run_for(100ms);
        cluster.add_trace_comment("the key arrives at vm1, which is paused before it sends the commit");
        const test::booking_id first = cluster.send_booking(0, 0, 10s);
        cluster.run_for(1ms - 1us);
        cluster.pause(0);
        cluster.run_for(1ms);
        cluster.resend(first, 1, 1s);
        cluster.run_for(1s);
        cluster.resume(0);
        cluster.run_for(500ms);
        cluster.add_trace_comment("vm1 has a new ledger; old keys are answered from memory");
        cluster.resend(first, 2, deadline);
        cluster.send_booking(0, 1, deadline);
        cluster.run_for(100ms);
    });
}

BOOST_AUTO_TEST_CASE(platform_down_for_an_hour) {
    check_scenario("platform_down_for_an_hour", [](test::simulated_cluster& cluster) {
        cluster.set_platform(test::platform_mode::down);
        cluster.add_trace_comment(
            "the first booking has a recorded prefix and is refused with an unrecorded one for the retry");
        cluster.send_booking(0, 0, deadline);
        cluster.set_trace_suppressed(true);
        cluster.run_for(1h);
        cluster.set_trace_suppressed(false);
        cluster.add_trace_comment("bookings run with unrecorded prefixes");
        const test::booking_id first = cluster.send_booking(0, 1, deadline);
        cluster.run_for(50ms);
        cluster.set_platform(test::platform_mode::up);
        cluster.set_trace_suppressed(true);
        cluster.run_for(15s);
        cluster.set_trace_suppressed(false);
        cluster.add_trace_comment(
            "prefixes are recorded again, and the answers of the outage are in the record");
        cluster.send_booking(0, 0, deadline);
        cluster.run_for(100ms);
        cluster.kill(0);
        cluster.resend(first, 1, deadline);
        cluster.run_for(400ms);
    });
}

BOOST_AUTO_TEST_CASE(lost_commit_answer) {
    check_scenario("lost_commit_answer", [](test::simulated_cluster& cluster) {
        cluster.set_platform(test::platform_mode::losing_answers);
        cluster.send_booking(0, 0, deadline);
        cluster.run_for(10ms);
        cluster.set_platform(test::platform_mode::up);
        cluster.run_for(600ms);
    });
}

BOOST_AUTO_TEST_CASE(same_key_with_another_body) {
    check_scenario("same_key_with_another_body", [](test::simulated_cluster& cluster) {
        const test::booking_id first = cluster.send_booking(0, 0, deadline);
        cluster.run_for(1ms);
        cluster.resend(first, 1, deadline, true);
        cluster.run_for(100ms);
        cluster.kill(0);
        cluster.resend(first, 2, deadline, true);
        cluster.run_for(500ms);
    });
}

BOOST_AUTO_TEST_SUITE_END()
