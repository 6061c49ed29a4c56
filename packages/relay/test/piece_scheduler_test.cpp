#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace relay = rattanbay::relay;

namespace {

struct pool_world {
    pool_world() {
        limits.max_concurrent_calls = 1;
        limits.max_queued_calls = 2;
        limits.max_batch_size = 4;
        limits.call_overhead = base::from_milliseconds(150);
        limits.time_per_piece = base::from_milliseconds(10);
        limits.result_capacity_bytes = 10'000'000;
        limits.result_lifetime = base::from_milliseconds(4000);
        scheduler.configure(limits, {endpoint("p1", "a", 1), endpoint("p2", "b", 2)});
    }

    static relay::pool_endpoint endpoint(const std::string& id, const std::string& domain,
                                         std::uint8_t host) {
        return {base::endpoint_id(id), base::address{{10, 0, 1, host}, 8080}, base::failure_domain(domain)};
    }

    bool add(std::vector<relay::waiting_piece> pieces) { return scheduler.add(std::move(pieces), at_ms(0)); }

    /// All pieces of a stage.
    std::vector<relay::waiting_piece> stage(std::size_t count, std::int64_t due_ms,
                                            std::uint64_t bytes = 100) {
        std::vector<relay::waiting_piece> out;
        for (std::size_t n = 0; n < count; ++n) {
            out.push_back(piece(due_ms, bytes));
            out.back().stage = out.front().stage;
        }
        return out;
    }

    relay::waiting_piece piece(std::int64_t due_ms, std::uint64_t bytes = 100, const std::string& near = "") {
        relay::waiting_piece out;
        out.ticket = ++last_ticket;
        out.stage = last_ticket;
        out.order.call = base::request_id("r" + std::to_string(last_ticket));
        out.near = base::failure_domain(near);
        out.result_bytes = bytes;
        out.transfer_bytes = bytes;
        out.arrival = at_ms(0);
        out.due = at_ms(due_ms);
        out.latest = at_ms(due_ms + 5000);
        return out;
    }

    static std::vector<relay::piece_ticket> tickets(const std::optional<relay::piece_batch>& batch) {
        std::vector<relay::piece_ticket> out;
        if (batch) {
            for (const relay::waiting_piece& row : batch->pieces) {
                out.push_back(row.ticket);
            }
        }
        return out;
    }

    config::piece_limits limits;
    relay::piece_scheduler scheduler;
    relay::piece_ticket last_ticket = 0;
};

using ticket_list = std::vector<relay::piece_ticket>;

} // namespace

BOOST_AUTO_TEST_SUITE(piece_scheduler)

// Guards against pieces of different requests that each take a call of their own, and against calls
// over the pool's limits.
BOOST_FIXTURE_TEST_CASE(pieces_share_calls_up_to_the_limits, pool_world) {
    for (int n = 0; n < 9; ++n) {
        BOOST_TEST(scheduler.add({piece(1000 + n)}, at_ms(0)));
    }
    BOOST_TEST(tickets(scheduler.next(at_ms(0))) == (ticket_list{1, 2, 3, 4}),
               boost::test_tools::per_element());
    BOOST_TEST(tickets(scheduler.next(at_ms(0))) == (ticket_list{5, 6, 7, 8}),
               boost::test_tools::per_element());
    BOOST_TEST(!scheduler.next(at_ms(0)).has_value());
    BOOST_TEST(scheduler.waiting() == 1U);
}

// Guards against a request that was late already holding up those that can still be in time.
BOOST_FIXTURE_TEST_CASE(pieces_go_by_their_due_times_and_late_ones_last, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    for (const std::int64_t due : {-50, 900, 300, 600, 700}) {
        BOOST_TEST(scheduler.add({piece(due)}, at_ms(0)));
    }
    BOOST_TEST(tickets(scheduler.next(at_ms(0))) == (ticket_list{3, 4, 5, 2}),
               boost::test_tools::per_element());
}

// Guards against a request that is served worse than less urgent ones that are due earlier.
BOOST_FIXTURE_TEST_CASE(more_urgent_pieces_go_first, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    for (const int urgency : {2, 1, 0, 0, 1}) {
        relay::waiting_piece row = piece(900 + urgency);
        row.urgency = urgency;
        scheduler.add({row}, at_ms(0));
    }
    relay::waiting_piece late = piece(-10);
    scheduler.add({late}, at_ms(0));
    BOOST_TEST(tickets(scheduler.next(at_ms(0))) == (ticket_list{3, 4, 2, 5}),
               boost::test_tools::per_element());
}

// Guards against a call with one piece that waits at a busy endpoint, where pieces that come later
// cannot join it.
BOOST_FIXTURE_TEST_CASE(only_a_full_call_waits_at_an_endpoint, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    scheduler.add({piece(1000)}, at_ms(0));
    BOOST_TEST(scheduler.next(at_ms(0)).has_value());
    for (int n = 0; n < 3; ++n) {
        scheduler.add({piece(1000)}, at_ms(0));
    }
    BOOST_TEST(!scheduler.next(at_ms(0)).has_value());
    scheduler.add({piece(1000)}, at_ms(0));
    BOOST_TEST(scheduler.next(at_ms(0)).has_value());
}

// Guards against results that an endpoint has no room for, and against room that is never given
// back.
BOOST_FIXTURE_TEST_CASE(endpoints_get_no_more_results_than_they_have_room_for, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    for (int n = 0; n < 4; ++n) {
        scheduler.add({piece(1000, 3'000'000)}, at_ms(0));
    }
    const std::optional<relay::piece_batch> first = scheduler.next(at_ms(0));
    BOOST_TEST(tickets(first) == (ticket_list{1, 2, 3}), boost::test_tools::per_element());
    const base::endpoint_id holder("p1");
    scheduler.ended(holder, relay::attempt_end::answered,
                    {{"h1", 3'000'000}, {"h2", 3'000'000}, {"h3", 3'000'000}}, at_ms(200));
    BOOST_TEST(!scheduler.next(at_ms(200)).has_value());
    scheduler.released("h2");
    BOOST_TEST(tickets(scheduler.next(at_ms(210))) == (ticket_list{4}), boost::test_tools::per_element());
}

// Guards against room that stays taken when nobody gives a result up: the endpoint frees it itself.
BOOST_FIXTURE_TEST_CASE(room_is_free_again_after_the_lifetime_of_a_result, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    scheduler.add({piece(1000, 9'000'000)}, at_ms(0));
    BOOST_TEST(scheduler.next(at_ms(0)).has_value());
    scheduler.ended(base::endpoint_id("p1"), relay::attempt_end::answered, {{"h1", 9'000'000}}, at_ms(200));
    scheduler.add({piece(9000, 3'000'000)}, at_ms(300));
    BOOST_TEST(!scheduler.next(at_ms(4100)).has_value());
    BOOST_TEST(scheduler.next(at_ms(4200)).has_value());
}

// Guards against large results that are made in another failure domain than the one that uses them,
// and against pieces that wait for an endpoint there for good.
BOOST_FIXTURE_TEST_CASE(large_results_are_made_where_they_are_used, pool_world) {
    scheduler.add({piece(1000, 3'000'000, "b")}, at_ms(0));
    const std::optional<relay::piece_batch> near = scheduler.next(at_ms(0));
    BOOST_REQUIRE(near.has_value());
    BOOST_TEST(near->endpoint.id.text() == "p2");
    scheduler.add({piece(1000, 3'000'000, "b")}, at_ms(0));
    BOOST_TEST(!scheduler.next(at_ms(10)).has_value());
    const std::optional<relay::piece_batch> elsewhere = scheduler.next(at_ms(200));
    BOOST_REQUIRE(elsewhere.has_value());
    BOOST_TEST(elsewhere->endpoint.id.text() == "p1");
    scheduler.configure(limits, {endpoint("p3", "c", 3)});
    scheduler.add({piece(1000, 3'000'000, "b")}, at_ms(0));
    BOOST_TEST(scheduler.next(at_ms(0)).has_value());
}

// Guards against small results that are made far from the large inputs that each of them needs.
BOOST_FIXTURE_TEST_CASE(pieces_with_large_inputs_are_made_where_the_inputs_are, pool_world) {
    for (int n = 0; n < 2; ++n) {
        relay::waiting_piece row = piece(1000, 100, "b");
        row.transfer_bytes = 500'000;
        scheduler.add({row}, at_ms(0));
        const std::optional<relay::piece_batch> batch = scheduler.next(at_ms(0));
        BOOST_TEST(batch.has_value() == (n == 0));
        BOOST_TEST((!batch || batch->endpoint.id.text() == "p2"));
    }
}

// Guards against a piece that is held until it is of no use, though it was clear from the start that
// it cannot begin in time.
BOOST_FIXTURE_TEST_CASE(pieces_that_cannot_begin_in_time_are_refused_at_once, pool_world) {
    for (int n = 0; n < 400; ++n) {
        scheduler.add({piece(100'000)}, at_ms(0));
    }
    relay::waiting_piece behind = piece(200'000);
    behind.latest = at_ms(3000);
    BOOST_TEST(!scheduler.add({behind}, at_ms(0)));
    relay::waiting_piece ahead = piece(50'000);
    ahead.latest = at_ms(3000);
    BOOST_TEST(scheduler.add({ahead}, at_ms(0)));
}

// Guards against results that take room while the other pieces of their stage wait.
BOOST_FIXTURE_TEST_CASE(the_pieces_of_a_stage_go_together, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    BOOST_TEST(add(stage(3, 5000)));
    BOOST_TEST(add(stage(2, 5001)));
    BOOST_TEST(add(stage(1, 5002)));
    // The second stage does not fit whole beside the first one; the third one does.
    BOOST_TEST(tickets(scheduler.next(at_ms(0))) == (ticket_list{1, 2, 3, 6}),
               boost::test_tools::per_element());
    BOOST_TEST(scheduler.waiting() == 2U);
}

// Guards against a stage with more pieces than a call takes that never begins, and against the rest of
// a stage that waits behind others while the results of its first pieces take room.
BOOST_FIXTURE_TEST_CASE(the_rest_of_a_begun_stage_goes_first, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    BOOST_TEST(add(stage(6, 300)));
    BOOST_TEST(tickets(scheduler.next(at_ms(0))) == (ticket_list{1, 2, 3, 4}),
               boost::test_tools::per_element());
    BOOST_TEST(add(stage(2, 200)));
    // The first stage is late by now, the second one is due earlier and in time.
    scheduler.ended(base::endpoint_id("p1"), relay::attempt_end::answered, {}, at_ms(190));
    BOOST_TEST(tickets(scheduler.next(at_ms(190))) == (ticket_list{5, 6, 7, 8}),
               boost::test_tools::per_element());
}

// Guards against a large stage that never finds room because small ones take each result's room as it
// becomes free.
BOOST_FIXTURE_TEST_CASE(room_is_kept_for_a_stage_that_is_due_soon, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    const base::endpoint_id holder("p1");
    BOOST_TEST(add(stage(2, 100, 3'000'000)));
    BOOST_TEST(scheduler.next(at_ms(0)).has_value());
    scheduler.ended(holder, relay::attempt_end::answered, {{"h1", 3'000'000}, {"h2", 3'000'000}}, at_ms(170));
    BOOST_TEST(add(stage(3, 250, 3'000'000)));
    BOOST_TEST(add(stage(1, 1000, 3'000'000)));
    BOOST_TEST(add(stage(1, 1000)));
    // Results that take little room may pass.
    BOOST_TEST(tickets(scheduler.next(at_ms(180))) == (ticket_list{7}), boost::test_tools::per_element());
    scheduler.ended(holder, relay::attempt_end::answered, {}, at_ms(200));
    scheduler.released("h1");
    scheduler.released("h2");
    BOOST_TEST(tickets(scheduler.next(at_ms(200))) == (ticket_list{3, 4, 5}),
               boost::test_tools::per_element());
}

// Guards against pieces that are sent after the request has no use for them.
BOOST_FIXTURE_TEST_CASE(pieces_end_at_their_latest_begin, pool_world) {
    relay::waiting_piece row = piece(10);
    row.latest = at_ms(100);
    scheduler.add({row}, at_ms(0));
    BOOST_TEST(scheduler.expire(at_ms(100)).empty());
    BOOST_TEST(scheduler.expire(at_ms(101)) == (ticket_list{1}), boost::test_tools::per_element());
    BOOST_TEST(scheduler.waiting() == 0U);
}

// Guards against calls to an endpoint whose connections break one after the other.
BOOST_FIXTURE_TEST_CASE(a_failing_endpoint_is_ejected_for_a_while, pool_world) {
    scheduler.configure(limits, {endpoint("p1", "a", 1)});
    for (int n = 0; n < 2; ++n) {
        scheduler.add({piece(9000)}, at_ms(0));
        BOOST_TEST(scheduler.next(at_ms(0)).has_value());
        scheduler.ended(base::endpoint_id("p1"), relay::attempt_end::broken, {}, at_ms(0));
    }
    scheduler.add({piece(9000)}, at_ms(0));
    BOOST_TEST(!scheduler.next(at_ms(1900)).has_value());
    BOOST_TEST(scheduler.next(at_ms(2100)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
