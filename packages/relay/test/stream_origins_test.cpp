#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace relay = rattanbay::relay;

namespace {

const base::request_id stream("s-1");
const relay::stream_origin old_origin{base::service_name("chat"), "1.0"};
const relay::stream_origin new_origin{base::service_name("chat"), "2.0"};

base::request_id stream_id(std::size_t n) {
    return base::request_id("s-" + std::to_string(n));
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origins)

// Guards against a stream whose version changes as another daemon or a later attempt records it again.
BOOST_AUTO_TEST_CASE(the_first_origin_of_a_stream_stays) {
    relay::stream_origins origins;
    BOOST_TEST(!origins.find(stream, at_ms(0)).has_value());
    origins.record(stream, old_origin, at_ms(1000), at_ms(0));
    origins.record(stream, new_origin, at_ms(9000), at_ms(10));
    BOOST_CHECK(origins.find(stream, at_ms(999)) == old_origin);
    BOOST_TEST(!origins.find(stream, at_ms(1000)).has_value());
}

// Guards against a stream that is forgotten at the deadline of its first attempt although the client has
// taken it up again, and against an early end because of a shorter deadline.
BOOST_AUTO_TEST_CASE(a_repeated_record_only_extends_the_time) {
    relay::stream_origins origins;
    origins.record(stream, old_origin, at_ms(1000), at_ms(0));
    origins.record(stream, old_origin, at_ms(3000), at_ms(10));
    origins.record(stream, old_origin, at_ms(500), at_ms(20));
    BOOST_CHECK(origins.find(stream, at_ms(2999)) == old_origin);
    BOOST_TEST(!origins.find(stream, at_ms(3000)).has_value());
}

// Guards against an identifier that stays bound to the origin of a stream that has ended.
BOOST_AUTO_TEST_CASE(an_expired_stream_can_begin_anew) {
    relay::stream_origins origins;
    origins.record(stream, old_origin, at_ms(1000), at_ms(0));
    origins.record(stream, new_origin, at_ms(900), at_ms(1000));
    BOOST_TEST(!origins.find(stream, at_ms(1000)).has_value());
    origins.record(stream, new_origin, at_ms(2000), at_ms(1000));
    BOOST_CHECK(origins.find(stream, at_ms(1500)) == new_origin);
}

// Guards against memory that grows with the number of streams, and against the loss of a stream that lives on
// in place of one that ends first.
BOOST_AUTO_TEST_CASE(the_stream_that_expires_first_is_dropped) {
    relay::stream_origins origins;
    constexpr std::size_t count = relay::stream_origins::max_streams;
    constexpr std::size_t shortest = 77;
    for (std::size_t n = 0; n < count; ++n) {
        origins.record(stream_id(n), old_origin, n == shortest ? at_ms(5000) : at_ms(9000), at_ms(0));
    }
    BOOST_TEST(origins.find(stream_id(shortest), at_ms(0)).has_value());
    origins.record(stream_id(count), old_origin, at_ms(8000), at_ms(0));
    BOOST_TEST(!origins.find(stream_id(shortest), at_ms(0)).has_value());
    BOOST_TEST(origins.find(stream_id(count), at_ms(0)).has_value());
    BOOST_TEST(origins.records(old_origin.service, at_ms(0)).size() == count);
}

// Guards against streams of another service, or expired ones, that are passed on, and against wrong times.
BOOST_AUTO_TEST_CASE(records_have_the_live_streams_of_a_service) {
    relay::stream_origins origins;
    const relay::stream_origin other{base::service_name("board"), "1.0"};
    origins.record(stream_id(1), old_origin, at_ms(1000), at_ms(0));
    origins.record(stream_id(2), new_origin, at_ms(4000), at_ms(0));
    origins.record(stream_id(3), other, at_ms(4000), at_ms(0));
    const relay::stream_record expected{relay::stream_origins::key_of(stream_id(2)), new_origin,
                                        std::chrono::seconds(3)};
    BOOST_CHECK(origins.records(old_origin.service, at_ms(1000)) ==
                std::vector<relay::stream_record>{expected});
    BOOST_CHECK(origins.find(expected.stream, at_ms(1000)) == expected);
}

BOOST_AUTO_TEST_SUITE_END()
