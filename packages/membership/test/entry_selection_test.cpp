#include <rattanbay/membership.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

namespace base = rattanbay::base;
namespace membership = rattanbay::membership;
namespace peer = rattanbay::peer;

namespace {

peer::member_record member(const std::string& name, std::uint32_t load) {
    peer::member_record record;
    record.vm = base::vm_id(name);
    record.revision = 7;
    record.load = load;
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_selection)

// Guards against sending callers to a daemon that is draining, failing or without a document.
BOOST_AUTO_TEST_CASE(only_usable_daemons_are_named) {
    peer::member_record draining = member("draining", 0);
    draining.draining = true;
    peer::member_record suspect = member("suspect", 0);
    suspect.status = peer::member_status::suspect;
    peer::member_record empty = member("empty", 0);
    empty.revision = 0;
    peer::member_record old = member("old", 0);
    old.revision = 6;
    base::random_source random(1);
    for (int n = 0; n < 100; ++n) {
        const std::vector<peer::member_record> chosen =
            membership::select_entries({draining, suspect, empty, old, member("good", 50)}, random);
        BOOST_REQUIRE(chosen.size() == 2U);
        BOOST_TEST(chosen[0].vm.text() == "good");
        BOOST_TEST(chosen[1].vm.text() == "old");
    }
}

// Guards against sending all callers to the same daemon.
BOOST_AUTO_TEST_CASE(callers_spread_with_a_preference_for_less_loaded_daemons) {
    std::vector<peer::member_record> members;
    members.reserve(6);
    for (int n = 0; n < 6; ++n) {
        members.push_back(member("entry-" + std::to_string(n), n == 0 ? 48 : 0));
    }
    base::random_source random(2);
    std::map<std::string, int> first;
    for (int n = 0; n < 6000; ++n) {
        first[membership::select_entries(members, random).front().vm.text()] += 1;
    }
    BOOST_TEST(first["entry-0"] < 500);
    BOOST_TEST(first["entry-0"] > 100);
    for (int n = 1; n < 6; ++n) {
        BOOST_TEST(first["entry-" + std::to_string(n)] > 900);
    }
}

// Guards against connections across failure domains although local daemons accept requests, and against a
// caller that depends on a single daemon.
BOOST_AUTO_TEST_CASE(callers_use_their_failure_domain_when_it_has_two_daemons) {
    std::vector<peer::member_record> members;
    members.reserve(5);
    for (int n = 0; n < 5; ++n) {
        members.push_back(member("entry-" + std::to_string(n), 0));
        members.back().failure_domain = base::failure_domain(n < 2 ? "a" : n < 4 ? "b" : "c");
    }
    base::random_source random(3);
    BOOST_TEST(membership::select_entries_near(members, base::failure_domain("a"), random).size() == 2U);
    BOOST_TEST(membership::select_entries_near(members, base::failure_domain("c"), random).size() == 5U);
    members[0].draining = true;
    BOOST_TEST(membership::select_entries_near(members, base::failure_domain("a"), random).size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
