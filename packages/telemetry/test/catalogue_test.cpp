#include <rattanbay/telemetry.hpp>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace base = rattanbay::base;
namespace telemetry = rattanbay::telemetry;

BOOST_AUTO_TEST_SUITE(catalogue)

// docs/log-events.md must list every log event, and no event that was removed from the code.
BOOST_AUTO_TEST_CASE(documentation_lists_exactly_the_defined_events) {
    std::string expected;
    for (const telemetry::log_event_info& info : telemetry::log_events) {
        std::ostringstream line;
        line << "| " << static_cast<int>(info.event) << " | " << base::to_name(info.event) << " | "
             << base::to_name(info.level) << " | " << info.description << " |\n";
        expected += line.str();
    }
    std::ifstream file(std::string(RATTANBAY_SOURCE_DIR) + "/docs/log-events.md");
    std::string listed;
    for (std::string line; std::getline(file, line);) {
        const bool is_row = line.size() > 2 && line.starts_with("| ") && line[2] >= '0' && line[2] <= '9';
        listed += is_row ? line + "\n" : "";
    }
    BOOST_TEST(listed == expected);
}

// A full timeline must neither grow further nor drop the newest event.
BOOST_AUTO_TEST_CASE(timeline_keeps_the_newest_events) {
    telemetry::timeline timeline(3);
    for (std::int64_t n = 0; n < 5; ++n) {
        timeline.record(
            {n, base::request_id("r" + std::to_string(n)), telemetry::timeline_event::request_accepted, {}});
    }
    BOOST_TEST(timeline.find_by_time(0, 100).size() == 3U);
    BOOST_TEST(timeline.find_by_request(base::request_id("r4")).size() == 1U);
    BOOST_TEST(timeline.find_by_request(base::request_id("r1")).empty());
    BOOST_TEST(timeline.find_by_time(3, 4).size() == 1U);
}

// Names and labels of metrics are part of the public interface and must not change by accident.
BOOST_AUTO_TEST_CASE(metrics_are_formatted_as_prometheus_text) {
    telemetry::metrics metrics;
    metrics.record_request(base::pipeline_name("plan"), "answered", std::chrono::milliseconds(20));
    metrics.record_attempt(base::service_name("encoder"), "succeeded", std::chrono::milliseconds(500), true,
                           10);
    const std::string text = metrics.to_prometheus_text();
    BOOST_TEST(text.find("rattanbay_requests_total{pipeline=\"plan\",result=\"answered\"} 1") !=
               std::string::npos);
    BOOST_TEST(text.find("distance=\"other_domain\"") != std::string::npos);
    metrics.record_vm_list_answer("watch", "stale");
    metrics.set_vm_list_confirmed(241, 1'500'000);
    const std::string lists = metrics.to_prometheus_text();
    BOOST_TEST(lists.find("rattanbay_vm_list_answers_total{call=\"watch\",result=\"stale\"} 1") !=
               std::string::npos);
    BOOST_TEST(lists.find("rattanbay_vm_list_version 241") != std::string::npos);
    BOOST_TEST(lists.find("rattanbay_vm_list_confirmed_timestamp_seconds 1.5") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
