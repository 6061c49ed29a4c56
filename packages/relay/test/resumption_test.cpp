#include <rattanbay/relay/resumption.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace relay = rattanbay::relay;

namespace {

const base::service_name service("model");

relay::resumption_knowledge one_version() {
    relay::resumption_knowledge out;
    out.active_versions = {"1.0"};
    out.knows_former_versions = true;
    out.was_answered = true;
    out.is_list_current = true;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(resumption)

// Guards against a stream that goes on at another version than the one that began it.
BOOST_AUTO_TEST_CASE(a_recorded_stream_goes_on_at_its_version) {
    relay::resumption_knowledge known = one_version();
    known.active_versions = {"1.0", "1.1"};
    known.origin = relay::stream_origin{service, "1.1"};
    const relay::resumption decision = relay::decide_resumption(service, known);
    BOOST_CHECK(decision.basis == relay::resumption_basis::recorded);
    BOOST_CHECK(decision.origin == known.origin);
}

// Guards against refusing streams where all endpoints have one version.
BOOST_AUTO_TEST_CASE(an_unknown_stream_goes_on_at_the_only_version) {
    const relay::resumption decision = relay::decide_resumption(service, one_version());
    BOOST_CHECK(decision.basis == relay::resumption_basis::only_version);
    BOOST_CHECK(decision.origin == (relay::stream_origin{service, "1.0"}));
}

// Guards against guessing the version: several may have begun the stream, or others may exist that this
// daemon cannot know, as it has just started or has not heard from the platform.
BOOST_AUTO_TEST_CASE(an_unknown_stream_does_not_go_on_if_another_version_may_have_begun_it) {
    relay::resumption_knowledge known = one_version();
    known.active_versions.insert("1.1");
    BOOST_CHECK(!relay::decide_resumption(service, known).origin);
    known = one_version();
    known.knows_former_versions = false;
    BOOST_CHECK(!relay::decide_resumption(service, known).origin);
    known = one_version();
    known.is_list_current = false;
    BOOST_CHECK(!relay::decide_resumption(service, known).origin);
    known = one_version();
    known.was_answered = false;
    BOOST_CHECK(!relay::decide_resumption(service, known).origin);
    known = one_version();
    known.active_versions.clear();
    BOOST_CHECK(!relay::decide_resumption(service, known).origin);
}

// Guards against calls to the platform for streams whose version they cannot decide.
BOOST_AUTO_TEST_CASE(the_list_is_read_only_for_a_stream_of_the_only_version) {
    relay::resumption_knowledge known = one_version();
    BOOST_CHECK(!relay::needs_current_list(known));
    known.is_list_current = false;
    BOOST_CHECK(relay::needs_current_list(known));
    known.origin = relay::stream_origin{service, "1.0"};
    BOOST_CHECK(!relay::needs_current_list(known));
    known.origin = std::nullopt;
    known.active_versions.insert("1.1");
    BOOST_CHECK(!relay::needs_current_list(known));
}

BOOST_AUTO_TEST_SUITE_END()
