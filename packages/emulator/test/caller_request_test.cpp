#include <rattanbay/emulator.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
using namespace std::chrono_literals;

namespace {

constexpr base::time_point start{1000s};

struct fixture {
    fixture() {
        emulator::entry_list list;
        list.entries = {{first, base::failure_domain("a"), "p1"}, {second, base::failure_domain("b"), "p2"}};
        list.max_age = 10s;
        entries.update(list, start);
    }

    static emulator::request_parameters plan(bool idempotent) {
        return emulator::request_parameters{idempotent, "order-0001", start + 5s};
    }

    /// Whether the action is a send to `address` with `key`.
    static bool sends(const emulator::request_action& action, const base::address& address,
                      const std::string& key) {
        const emulator::send_request* const send = std::get_if<emulator::send_request>(&action);
        return send != nullptr && send->address == address && send->key == key;
    }

    static bool ends(const emulator::request_action& action, base::outcome outcome,
                     const std::string& problem) {
        const emulator::finish_request* const end = std::get_if<emulator::finish_request>(&action);
        return end != nullptr && end->outcome == outcome && end->problem == problem;
    }

    base::address first{{127, 0, 0, 1}, 1};
    base::address second{{127, 0, 0, 1}, 2};
    emulator::entry_directory entries{{base::address{{127, 0, 0, 1}, 9}}};
};

emulator::request_refused refusal(const std::string& type, base::outcome outcome,
                                  std::optional<std::string> prefix = std::nullopt) {
    return emulator::request_refused{{type, outcome, std::move(prefix)}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_request)

// Guards against a caller that fails an idempotent request when its first VM fails.
BOOST_FIXTURE_TEST_CASE(an_idempotent_request_is_sent_to_another_entry, fixture) {
    emulator::caller_request request(plan(true));
    BOOST_TEST(sends(request.handle(emulator::request_ready{}, entries, start), first, ""));
    BOOST_TEST(sends(request.handle(emulator::response_lost{}, entries, start), second, ""));
    BOOST_TEST(sends(request.handle(refusal("stage_failed", base::outcome::ran), entries, start), first, ""));
    BOOST_TEST(ends(request.handle(emulator::request_succeeded{}, entries, start), base::outcome::ran, ""));
    emulator::caller_request limited(plan(true));
    limited.handle(emulator::request_ready{}, entries, start);
    BOOST_TEST(ends(limited.handle(refusal("overloaded", base::outcome::not_run), entries, start),
                    base::outcome::not_run, "overloaded"));
}

// Guards against a second execution caused by a new key while the previous one may still be
// executed.
BOOST_FIXTURE_TEST_CASE(a_key_that_may_have_run_is_kept, fixture) {
    emulator::caller_request request(plan(false));
    BOOST_TEST(sends(request.handle(emulator::request_ready{}, entries, start), first, "p1.order-0001"));
    BOOST_TEST(sends(request.handle(emulator::response_lost{}, entries, start), second, "p1.order-0001"));
    BOOST_TEST(sends(request.handle(emulator::connect_failed{}, entries, start), first, "p1.order-0001"));
    BOOST_TEST(ends(request.handle(refusal("owner_unreachable", base::outcome::unknown), entries, start),
                    base::outcome::unknown, "owner_unreachable"));
    BOOST_TEST(request.keys().size() == 1);
}

// Guards against a caller that ignores the key prefix offered in a refusal.
BOOST_FIXTURE_TEST_CASE(a_key_that_never_runs_is_replaced, fixture) {
    emulator::caller_request request(plan(false));
    request.handle(emulator::request_ready{}, entries, start);
    const auto offered = refusal("record_unavailable", base::outcome::not_run, "u1");
    BOOST_TEST(sends(request.handle(offered, entries, start), first, "u1.order-0001"));
    const auto plain = refusal("not_ready", base::outcome::not_run);
    BOOST_TEST(sends(request.handle(plain, entries, start), second, "p2.order-0001"));
    emulator::caller_request unsent(plan(false));
    unsent.handle(emulator::request_ready{}, entries, start);
    BOOST_TEST(sends(unsent.handle(emulator::connect_failed{}, entries, start), second, "p2.order-0001"));
}

// Guards against a caller that reports 'not run' although its key may have been executed.
BOOST_FIXTURE_TEST_CASE(the_deadline_ends_an_open_key_as_unknown, fixture) {
    emulator::caller_request open(plan(false));
    open.handle(emulator::request_ready{}, entries, start);
    BOOST_TEST(ends(open.handle(emulator::response_lost{}, entries, start + 5s), base::outcome::unknown,
                    "no_answer"));
    emulator::caller_request unsent(plan(false));
    unsent.handle(emulator::request_ready{}, entries, start);
    BOOST_TEST(ends(unsent.handle(emulator::connect_failed{}, entries, start + 5s), base::outcome::not_run,
                    "no_answer"));
}

// Guards against a caller that uses an expired list or immediately retries a failed VM.
BOOST_FIXTURE_TEST_CASE(the_list_ages_and_failed_entries_are_avoided, fixture) {
    BOOST_TEST(!entries.stale(start + 9s));
    BOOST_TEST(entries.stale(start + 10s));
    entries.record_failure(first, start);
    BOOST_CHECK(entries.select_entry({}, start)->address == second);
    BOOST_CHECK(entries.select_entry({second}, start)->address == first);
    BOOST_CHECK(entries.select_entry({}, start + 2s)->address == first);
    BOOST_CHECK(entries.next_refresh_target(start) == second);
    BOOST_TEST(emulator::entry_list::parse(R"({"entries":[],"max_age_ms":1})").has_value() == false);
}

// Guards against problem types that are not recognised as URIs or with hyphens.
BOOST_AUTO_TEST_CASE(problem_documents_are_read) {
    const auto problem = emulator::problem_details::parse(
        R"({"type":"https://rattanbay.example/problems/record-unavailable","outcome":"not_run","retry_key_prefix":"u"})");
    BOOST_REQUIRE(problem.has_value());
    BOOST_TEST(problem->type == "record_unavailable");
    BOOST_CHECK(problem->outcome == base::outcome::not_run);
    BOOST_TEST(problem->retry_key_prefix.value_or("") == "u");
    BOOST_CHECK(emulator::problem_details::parse(R"({"type":"x"})")->outcome == base::outcome::unknown);
    BOOST_TEST(!emulator::problem_details::parse("<html>").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
