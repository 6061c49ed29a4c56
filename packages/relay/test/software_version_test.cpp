#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <set>
#include <string>

namespace base = rattanbay::base;
namespace object_api = rattanbay::object_api;
namespace relay = rattanbay::relay;

namespace {

object_api::vm make_versioned_vm(const std::string& id, const std::string& service, std::uint8_t host,
                                 const std::string& version) {
    object_api::vm out = make_vm(id, service, "a", host);
    out.software_version = version;
    return out;
}

struct mixed_version_fixture {
    mixed_version_fixture()
        : balancer(base::failure_domain("a"), 1) {
        list.version = {0, 1};
        list.vms = {make_versioned_vm("old", "desk", 1, "1.4"), make_versioned_vm("new", "desk", 2, "2.0"),
                    make_versioned_vm("silent", "desk", 3, ""), make_versioned_vm("other", "shelf", 4, "7")};
        balancer.update(list);
    }

    std::optional<relay::chosen_endpoint> choose(const std::optional<std::string>& version) {
        relay::endpoint_query query;
        query.service = desk;
        query.software_version = version;
        return balancer.choose(query, at_ms(0));
    }

    std::set<std::string> chosen_ids(const std::optional<std::string>& version) {
        std::set<std::string> out;
        for (int n = 0; n < 100; ++n) {
            const std::optional<relay::chosen_endpoint> chosen = choose(version);
            if (chosen) {
                out.insert(chosen->id.text());
            }
        }
        return out;
    }

    const base::service_name desk{"desk"};
    object_api::vm_list list;
    relay::balancer balancer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(software_version)

// Guards against a stream that goes on at an endpoint of another version than the one that began it, and
// against requests that need no version and are kept from some endpoints.
BOOST_FIXTURE_TEST_CASE(only_endpoints_of_the_required_version_are_chosen, mixed_version_fixture) {
    BOOST_TEST((chosen_ids("1.4") == std::set<std::string>{"old"}));
    BOOST_TEST((chosen_ids("2.0") == std::set<std::string>{"new"}));
    BOOST_TEST((chosen_ids("") == std::set<std::string>{"silent"}));
    BOOST_TEST((chosen_ids(std::nullopt) == std::set<std::string>{"old", "new", "silent"}));
    BOOST_TEST(!choose("2").has_value());
    BOOST_TEST(!choose("7").has_value());
    BOOST_TEST(choose("2.0")->software_version == "2.0");
    BOOST_TEST(choose("")->software_version.empty());
}

// Guards against an endpoint of another version being taken as the last resort: ejected endpoints are used if
// there are no others, but versions never mix.
BOOST_FIXTURE_TEST_CASE(ejection_does_not_widen_the_version, mixed_version_fixture) {
    const base::endpoint_id old("old");
    for (int n = 0; n < 2; ++n) {
        balancer.begin_call(old, at_ms(0));
        balancer.end_call(old, relay::attempt_result::broken, base::duration::zero(), 1, at_ms(0));
    }
    BOOST_TEST((chosen_ids("1.4") == std::set<std::string>{"old"}));
    balancer.mark_leaving(old);
    BOOST_TEST(!choose("1.4").has_value());
}

// Guards against an affinity text that leads a request to its usual endpoint though that has another version.
BOOST_FIXTURE_TEST_CASE(affinity_does_not_widen_the_version, mixed_version_fixture) {
    relay::endpoint_query query;
    query.service = desk;
    query.software_version = "2.0";
    for (int n = 0; n < 20; ++n) {
        query.affinity = std::to_string(n);
        const std::optional<relay::chosen_endpoint> chosen = balancer.choose(query, at_ms(0));
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->id.text() == "new");
    }
}

// Guards against the version of an endpoint that still finishes its streams being taken for gone.
BOOST_FIXTURE_TEST_CASE(versions_of_endpoints_without_work_are_listed, mixed_version_fixture) {
    const std::set<std::string> all{"", "1.4", "2.0"};
    BOOST_TEST((balancer.software_versions(desk) == all));
    BOOST_TEST(balancer.has_version(desk, "1.4"));
    BOOST_TEST(balancer.has_version(desk, ""));
    BOOST_TEST(!balancer.has_version(desk, "7"));
    BOOST_TEST(!balancer.has_version(base::service_name("unknown"), "1.4"));
    BOOST_TEST(balancer.software_versions(base::service_name("unknown")).empty());

    list.vms[0].state = object_api::vm_state::leaving;
    balancer.update(list);
    BOOST_TEST((balancer.software_versions(desk) == all));
    BOOST_TEST(!balancer.has_version(desk, "1.4"));

    balancer.mark_leaving(base::endpoint_id("new"));
    BOOST_TEST((balancer.software_versions(desk) == all));
    BOOST_TEST(!balancer.has_version(desk, "2.0"));

    balancer.set_evacuated({base::failure_domain("a")}, at_ms(0));
    BOOST_TEST((balancer.software_versions(desk) == all));
    BOOST_TEST(!balancer.has_version(desk, ""));

    list.vms.erase(list.vms.begin());
    balancer.update(list);
    BOOST_TEST((balancer.software_versions(desk) == std::set<std::string>{"", "2.0"}));
}

// Guards against a version that counts as gone because one of its endpoints is leaving while another serves.
BOOST_FIXTURE_TEST_CASE(one_endpoint_that_accepts_work_serves_its_version, mixed_version_fixture) {
    list.vms.push_back(make_versioned_vm("old-2", "desk", 5, "1.4"));
    list.vms[0].state = object_api::vm_state::leaving;
    balancer.update(list);
    BOOST_TEST(balancer.has_version(desk, "1.4"));
    BOOST_TEST((chosen_ids("1.4") == std::set<std::string>{"old-2"}));
}

// Guards against an endpoint that goes on under the version of its earlier process: a replica keeps its
// identifier and may keep its address when it starts again with other software.
BOOST_FIXTURE_TEST_CASE(a_changed_version_under_the_same_identifier_counts, mixed_version_fixture) {
    const std::uint64_t generation = balancer.generation();
    const object_api::vm_list before = list;
    list.vms[0].software_version = "2.0";
    BOOST_CHECK(list.vms != before.vms);
    balancer.update(list);
    BOOST_TEST(balancer.generation() != generation);
    BOOST_TEST(!choose("1.4").has_value());
    BOOST_TEST(!balancer.has_version(desk, "1.4"));
    BOOST_TEST((chosen_ids("2.0") == std::set<std::string>{"new", "old"}));
    BOOST_TEST((balancer.software_versions(desk) == std::set<std::string>{"", "2.0"}));
}

// Guards against services that are missing when the versions of all of them are recorded.
BOOST_FIXTURE_TEST_CASE(all_services_with_endpoints_are_listed, mixed_version_fixture) {
    const std::vector<base::service_name> both{desk, base::service_name("shelf")};
    BOOST_CHECK(balancer.services() == both);
    list.vms.pop_back();
    balancer.update(list);
    BOOST_CHECK(balancer.services() == std::vector<base::service_name>{desk});
}

BOOST_AUTO_TEST_SUITE_END()
