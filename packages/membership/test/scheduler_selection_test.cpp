#include <rattanbay/membership.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace base = rattanbay::base;
namespace membership = rattanbay::membership;
namespace peer = rattanbay::peer;

namespace {

std::vector<peer::member_record> make_members(std::uint8_t count) {
    base::random_source random(1);
    std::vector<peer::member_record> out;
    for (std::uint8_t n = 0; n < count; ++n) {
        peer::member_record member;
        member.id = base::incarnation::generate(random);
        member.vm = base::vm_id("vm-" + std::to_string(n));
        member.peer_address = base::address{{10, 0, 0, n}, 7000};
        member.revision = 1;
        out.push_back(member);
    }
    return out;
}

std::string first_for(const std::vector<peer::member_record>& members, const std::string& service) {
    return membership::select_schedulers(members, base::service_name(service), 1).at(0).vm.text();
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_selection)

// Guards against daemons that choose different schedulers because they hold the members in a different order
// or know different incarnations.
BOOST_AUTO_TEST_CASE(the_choice_depends_on_addresses_only) {
    const std::vector<peer::member_record> members = make_members(12);
    std::vector<peer::member_record> others = members;
    std::ranges::reverse(others);
    base::random_source random(2);
    for (peer::member_record& member : others) {
        member.id = base::incarnation::generate(random);
    }
    std::set<std::string> chosen;
    for (int n = 0; n < 30; ++n) {
        const std::string service = "pool-" + std::to_string(n);
        BOOST_TEST(first_for(members, service) == first_for(others, service));
        chosen.insert(first_for(members, service));
    }
    BOOST_TEST(chosen.size() > 4U);
}

// Guards against a lost daemon that is not replaced by the next one in the order, and against scheduling by
// daemons that are draining or have no document.
BOOST_AUTO_TEST_CASE(the_next_daemon_takes_the_place_of_a_lost_one) {
    std::vector<peer::member_record> members = make_members(5);
    const base::service_name service("pool");
    const std::vector<peer::member_record> order = membership::select_schedulers(members, service, 3);
    BOOST_REQUIRE(order.size() == 3U);
    for (peer::member_record& member : members) {
        member.draining = member.id == order[0].id;
        member.revision = member.id == order[1].id ? 0 : member.revision;
    }
    const std::vector<peer::member_record> after = membership::select_schedulers(members, service, 9);
    BOOST_REQUIRE(after.size() == 3U);
    BOOST_CHECK(after[0].id == order[2].id);
}

BOOST_AUTO_TEST_SUITE_END()
