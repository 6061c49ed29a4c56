#include "session.hpp"
#include "session_text.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace pipeline = rattanbay::pipeline;
using namespace std::chrono_literals;
using namespace rattanbay::pipeline::test;

namespace {

constexpr const char* worker_answer = R"({"output":"done"})";

pipeline::request make_request(const std::string& input) {
    pipeline::request req;
    req.id = base::request_id("req-1");
    req.input = input;
    req.deadline = at(8s);
    return req;
}

pipeline::request make_stream_request() {
    pipeline::request req = make_request(R"("tell")");
    req.streamed = true;
    req.max_tokens = 16;
    return req;
}

/// Records the events and actions of an execution as text and compares them with a golden file.
class recorded_session {
public:
    recorded_session(const pipeline::request& req, const std::vector<test_stage>& stages)
        : execution_(make_execution(req, stages)) {}

    void handle(base::duration since_start, const pipeline::event& ev) {
        text_ += to_text(at(since_start)) + "  " + to_text(ev) + "\n";
        for (const pipeline::action& requested : execution_.handle(ev, at(since_start))) {
            text_ += "    " + to_text(requested) + "\n";
        }
    }

    void route(base::duration since_start, std::uint32_t attempt, int endpoint) {
        const std::string number = std::to_string(endpoint);
        handle(since_start,
               pipeline::route_chosen{{attempt},
                                      base::endpoint_id("e" + number),
                                      base::address::parse("127.0.1." + number + ":9000").value(),
                                      20ms});
    }

    void answer(base::duration since_start, std::uint32_t attempt, const std::string& body,
                int status = 200) {
        handle(since_start, pipeline::response_received{{attempt}, status, body, std::nullopt});
    }

    void token(base::duration since_start, std::uint32_t attempt, std::uint64_t index,
               const std::string& text) {
        handle(since_start, pipeline::token_received{{attempt}, "s1", index, text});
    }

    void fail_attempt(base::duration since_start, std::uint32_t attempt, base::error_code code) {
        handle(since_start, pipeline::attempt_failed{{attempt}, {code, std::string(base::to_name(code))}});
    }

    /// Compares the text with the golden file, or writes the file when RATTANBAY_REGENERATE_GOLDEN is set.
    void compare(const std::string& name) const {
        const std::string path = std::string(RATTANBAY_TEST_DATA) + "/" + name + ".golden";
        if (std::getenv("RATTANBAY_REGENERATE_GOLDEN") != nullptr) {
            std::ofstream(path) << text_;
            return;
        }
        std::ostringstream golden;
        golden << std::ifstream(path).rdbuf();
        BOOST_TEST(text_ == golden.str(), path << " differs; this session gave:\n" << text_);
    }

private:
    pipeline::execution execution_;
    std::string text_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(golden)

// Guards against changed bodies, headers, timeouts and timers of a request without faults.
BOOST_AUTO_TEST_CASE(four_stages_answered) {
    recorded_session session(make_request(R"({"question":"what is on the table"})"), four_stages());
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.answer(20ms, 1, R"({"output":{"vector":[1,2]}})");
    session.route(20ms, 2, 2);
    session.answer(41ms, 2, R"({"output":["a","b"]})");
    session.route(41ms, 3, 3);
    session.answer(58ms, 3, R"({"output":"b"})");
    session.route(58ms, 4, 4);
    session.answer(80ms, 4, R"({"choices":[{"index":0,"text":"bread"}],"usage":{"completion_tokens":1}})");
    session.compare("four_stages_answered");
}

// Guards against a late response to an earlier attempt being used for the next stage.
BOOST_AUTO_TEST_CASE(first_answer_after_the_second) {
    recorded_session session(make_request("1"), {{"encode"}, {"retrieve"}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.fail_attempt(10ms, 1, base::error_code::connection_broken);
    session.route(10ms, 2, 2);
    session.answer(30ms, 2, R"({"output":"second"})");
    session.route(30ms, 3, 3);
    session.answer(31ms, 1, R"({"output":"first"})");
    session.answer(50ms, 3, worker_answer);
    session.compare("first_answer_after_the_second");
}

// Guards against an endpoint being penalized for one connection that timed out although new connections
// work, and against not penalizing it for a second timeout.
BOOST_AUTO_TEST_CASE(silent_connection) {
    recorded_session session(make_request("1"), {{"encode"}, {"retrieve"}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.fail_attempt(50ms, 1, base::error_code::timed_out);
    session.answer(70ms, 2, worker_answer);
    session.route(70ms, 3, 1);
    session.fail_attempt(100ms, 3, base::error_code::timed_out);
    session.fail_attempt(140ms, 4, base::error_code::timed_out);
    session.route(140ms, 5, 2);
    session.answer(160ms, 5, worker_answer);
    session.compare("silent_connection");
}

// Guards against lost or repeated tokens when a stream is resumed.
BOOST_AUTO_TEST_CASE(resumed_stream) {
    recorded_session session(make_stream_request(), {{"generate", config::service_kind::model_engine}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.token(10ms, 1, 0, "one ");
    session.token(20ms, 1, 1, "two ");
    session.fail_attempt(30ms, 1, base::error_code::connection_broken);
    session.token(31ms, 1, 2, "late ");
    session.token(40ms, 2, 1, "two ");
    session.token(50ms, 2, 2, "three ");
    session.token(60ms, 2, 4, "five");
    session.token(70ms, 3, 3, "four ");
    session.token(80ms, 3, 4, "five");
    session.handle(81ms, pipeline::response_received{{3}, 200, "", std::nullopt, 5});
    session.compare("resumed_stream");
}

// Guards against repeated or mixed tokens when an engine lost the stream and a seed permits a restart.
BOOST_AUTO_TEST_CASE(restarted_stream) {
    pipeline::request req = make_stream_request();
    req.seed = 5;
    recorded_session session(req, {{"generate", config::service_kind::model_engine}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.token(10ms, 1, 0, "one ");
    session.fail_attempt(20ms, 1, base::error_code::connection_broken);
    session.answer(30ms, 2, "{}", 404);
    session.route(30ms, 3, 2);
    session.token(40ms, 3, 0, "one ");
    session.token(50ms, 3, 1, "two");
    session.answer(51ms, 3, "");
    session.compare("restarted_stream");
}

// Guards against a restart that would join two different generations in one text.
BOOST_AUTO_TEST_CASE(lost_stream_without_a_seed) {
    recorded_session session(make_stream_request(), {{"generate", config::service_kind::model_engine}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.token(10ms, 1, 0, "one ");
    session.fail_attempt(20ms, 1, base::error_code::connection_broken);
    session.answer(30ms, 2, "{}", 404);
    session.compare("lost_stream_without_a_seed");
}

// Guards against a second run of a non-idempotent call and against a wrong outcome.
BOOST_AUTO_TEST_CASE(broken_non_idempotent_stage) {
    pipeline::request req = make_request("1");
    req.idempotency_key = "rb1-r-key.order-0001";
    recorded_session session(req, {{"book", config::service_kind::plain_service, false}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.handle(
        1ms, pipeline::attempt_not_sent{{1}, {base::error_code::connection_refused, "connection refused"}});
    session.route(1ms, 2, 2);
    session.handle(5ms, pipeline::caller_disconnected{});
    session.fail_attempt(30ms, 2, base::error_code::connection_broken);
    session.answer(40ms, 2, worker_answer);
    session.compare("broken_non_idempotent_stage");
}

// Guards against not cancelling the slower attempt, and against using its late response.
BOOST_AUTO_TEST_CASE(hedge_answers_first) {
    recorded_session session(make_request("1"), {{"encode"}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.handle(60ms, pipeline::timer_expired{});
    session.route(60ms, 2, 2);
    session.answer(80ms, 2, worker_answer);
    session.answer(81ms, 1, R"({"output":"late"})");
    session.compare("hedge_answers_first");
}

// Guards against a request that continues after its deadline, and against attempts that are not cancelled.
BOOST_AUTO_TEST_CASE(deadline_passes) {
    recorded_session session(make_request("1"), {{"encode"}, {"retrieve"}});
    session.handle(0ms, pipeline::started{});
    session.route(0ms, 1, 1);
    session.answer(20ms, 1, worker_answer);
    session.route(20ms, 2, 2);
    session.handle(80ms, pipeline::timer_expired{});
    session.handle(80ms, pipeline::route_refused{{3}, pipeline::route_refusal::retry_budget_exhausted});
    session.handle(8s, pipeline::timer_expired{});
    session.answer(8001ms, 2, worker_answer);
    session.compare("deadline_passes");
}

// Guards against starting a request that cannot finish before its deadline.
BOOST_AUTO_TEST_CASE(refused_early) {
    pipeline::request req = make_request("1");
    req.deadline = at(79ms);
    recorded_session session(req, four_stages());
    session.handle(0ms, pipeline::started{});
    session.compare("refused_early");
}

BOOST_AUTO_TEST_SUITE_END()
