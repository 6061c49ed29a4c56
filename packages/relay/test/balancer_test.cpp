#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace base = rattanbay::base;
namespace object_api = rattanbay::object_api;
namespace relay = rattanbay::relay;

namespace {

struct three_endpoints {
    three_endpoints()
        : balancer(base::failure_domain("a"), 1) {
        list.version = 1;
        list.vms = {make_vm("e1", "desk", "a", 1), make_vm("e2", "desk", "b", 2),
                    make_vm("e3", "desk", "c", 3)};
        balancer.publish(list);
        question.service = base::service_name("desk");
    }

    std::string choose() {
        const std::optional<relay::chosen_endpoint> chosen = balancer.choose(question, at_ms(0));
        return chosen ? chosen->id.text() : std::string();
    }

    object_api::vm_list list;
    relay::balancer balancer;
    relay::endpoint_question question;
};

} // namespace

BOOST_AUTO_TEST_SUITE(balancer)

// Guards against new work for an endpoint that is leaving or that is no longer listed.
BOOST_FIXTURE_TEST_CASE(leaving_endpoints_get_no_work, three_endpoints) {
    list.vms[0].state = object_api::vm_state::leaving;
    list.vms.pop_back();
    balancer.publish(list);
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(choose() == "e2");
    }
    BOOST_TEST(!balancer.is_usable(base::endpoint_id("e1")));
    BOOST_TEST(!balancer.is_usable(base::endpoint_id("e3")));
}

// Guards against traffic between failure domains while an endpoint beside the daemon is free.
BOOST_FIXTURE_TEST_CASE(the_own_failure_domain_goes_first_until_it_is_busy, three_endpoints) {
    BOOST_TEST(choose() == "e1");
    for (int n = 0; n < 4; ++n) {
        balancer.started(base::endpoint_id("e1"));
    }
    BOOST_TEST(choose() != "e1");
}

// Guards against a request that goes back to the endpoint that has just failed it.
BOOST_FIXTURE_TEST_CASE(excluded_endpoints_are_not_chosen, three_endpoints) {
    question.excluded = {base::endpoint_id("e1"), base::endpoint_id("e2")};
    BOOST_TEST(choose() == "e3");
    question.excluded.emplace_back("e3");
    BOOST_TEST(choose().empty());
}

// Guards against an endpoint that keeps getting requests though its connections break, and against
// a service that gets none because all of its endpoints failed.
BOOST_FIXTURE_TEST_CASE(failing_endpoints_are_ejected_while_others_are_there, three_endpoints) {
    for (int n = 0; n < 2; ++n) {
        balancer.started(base::endpoint_id("e1"));
        balancer.ended(base::endpoint_id("e1"), relay::attempt_end::broken, {}, 1, at_ms(0));
    }
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(choose() != "e1");
    }
    question.excluded = {base::endpoint_id("e2"), base::endpoint_id("e3")};
    BOOST_TEST(choose() == "e1");
}

// Guards against requests with a common prompt that are spread over all endpoints, and against one
// endpoint that takes them all when they are too many for it.
BOOST_FIXTURE_TEST_CASE(affinity_holds_until_the_endpoint_is_overloaded, three_endpoints) {
    question.affinity = "5c1e07a2";
    const std::string home = choose();
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(choose() == home);
    }
    for (int n = 0; n < 10; ++n) {
        balancer.started(base::endpoint_id(home));
    }
    BOOST_TEST(choose() != home);
}

// Guards against daemons that each choose another endpoint for the same prompt.
BOOST_FIXTURE_TEST_CASE(affinity_is_the_same_at_all_daemons, three_endpoints) {
    relay::balancer other(base::failure_domain("c"), 99);
    other.publish(list);
    std::set<std::string> homes;
    for (int n = 0; n < 50; ++n) {
        question.affinity = "prompt-" + std::to_string(n);
        const std::optional<relay::chosen_endpoint> chosen = other.choose(question, at_ms(0));
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->id.text() == choose());
        homes.insert(chosen->id.text());
    }
    BOOST_TEST(homes.size() == 3U);
}

// Guards against results that are looked for in another failure domain than that of their holder.
BOOST_FIXTURE_TEST_CASE(addresses_tell_the_failure_domain, three_endpoints) {
    const base::address second = list.vms[1].address;
    BOOST_TEST(balancer.domain_at(second).text() == "b");
    list.vms.erase(list.vms.begin() + 1);
    balancer.publish(list);
    BOOST_TEST(balancer.domain_at(second).empty());
}

// Guards against an endpoint that inherits the failures of another one at its former address.
BOOST_FIXTURE_TEST_CASE(an_endpoint_at_another_address_starts_anew, three_endpoints) {
    for (int n = 0; n < 2; ++n) {
        balancer.ended(base::endpoint_id("e1"), relay::attempt_end::broken, {}, 1, at_ms(0));
    }
    list.vms[0].address.port = 9090;
    balancer.publish(list);
    BOOST_TEST(choose() == "e1");
}

BOOST_AUTO_TEST_SUITE_END()
