#include "internal/version_record_plan.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace base = rattanbay::base;
namespace internal = rattanbay::daemon::internal;
namespace object_api = rattanbay::object_api;

namespace {

using internal::recorded_version;
using internal::version_record_plan;
using version_sets = version_record_plan::version_sets;
using rows = std::vector<object_api::object_list::row>;

const base::service_name model("model");

recorded_version row_of(const std::string& version) {
    return {model, version};
}

std::string name_of(const std::string& version) {
    return row_of(version).object_name();
}

/// A store that executes the calls of a plan.
struct store {
    rows list() const {
        rows out;
        for (const auto& row : objects) {
            out.push_back({row.first, row.second});
        }
        return out;
    }

    /// Makes the calls of the plan until it wants none. Returns their number.
    std::size_t run(version_record_plan& plan, const version_sets& active) {
        std::size_t out = 0;
        while (const std::optional<object_api::call> next = plan.next(active)) {
            ++out;
            BOOST_REQUIRE(out <= 4 * version_record_plan::max_objects);
            if (const object_api::write_object* const write = std::get_if<object_api::write_object>(&*next)) {
                BOOST_TEST(!write->expected_version.has_value());
                plan.record(*write, create(write->key.name));
            } else {
                const object_api::delete_object& removal = std::get<object_api::delete_object>(*next);
                plan.record(removal, erase(removal));
            }
            max_count = std::max(max_count, objects.size());
        }
        return out;
    }

    object_api::answer create(const std::string& name) {
        const auto known = objects.find(name);
        if (known != objects.end()) {
            return object_api::conflict{known->second};
        }
        objects[name] = ++revision;
        return object_api::written{revision};
    }

    object_api::answer erase(const object_api::delete_object& request) {
        const auto known = objects.find(request.key.name);
        if (known == objects.end()) {
            return object_api::not_found{};
        }
        if (known->second != request.expected_version) {
            return object_api::conflict{known->second};
        }
        objects.erase(known);
        return object_api::deleted{};
    }

    std::map<std::string, std::uint64_t> objects;
    std::uint64_t revision = 0;
    std::size_t max_count = 0;
};

/// A plan that has listed the store.
version_record_plan listed_plan(const store& from) {
    version_record_plan out;
    out.set_listed(from.list());
    return out;
}

version_sets many_versions(std::size_t services, std::size_t versions) {
    version_sets out;
    for (std::size_t n = 0; n < services; ++n) {
        for (std::size_t k = 0; k < versions; ++k) {
            out[base::service_name("service-" + std::to_string(n))].insert("v" + std::to_string(k));
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_record)

// Guards against two versions that share a name, and against names with characters that a platform rejects.
BOOST_AUTO_TEST_CASE(names_of_objects_tell_service_and_version) {
    const std::vector<recorded_version> samples{{base::service_name("a-b"), "c"},
                                                {base::service_name("a"), "b-c"},
                                                {base::service_name("a"), ""},
                                                {base::service_name(""), "a"},
                                                {base::service_name("m/1"), "v 2.0+\xC3\xA9\n"}};
    std::set<std::string> names;
    for (const recorded_version& sample : samples) {
        const std::string name = sample.object_name();
        names.insert(name);
        BOOST_TEST((recorded_version::parse(name) == sample));
        BOOST_TEST(name.find_first_not_of("0123456789abcdef-") == std::string::npos);
    }
    BOOST_TEST(names.size() == samples.size());
    for (const char* const other : {"", "6d", "6d-7", "6D-76", "6d-76-76", "0 odd&", "6d-zz"}) {
        BOOST_TEST(!recorded_version::parse(other).has_value());
    }
}

// Guards against repeated writes of a deployment whose services have one version each, and against a version
// that is not recorded and replaced by another one while all daemons are away.
BOOST_AUTO_TEST_CASE(one_version_is_recorded_once) {
    store platform;
    version_record_plan plan = listed_plan(platform);
    const version_sets active{{model, {"v1"}}, {base::service_name("desk"), {"v7"}}};
    BOOST_TEST(platform.run(plan, active) == 2U);
    BOOST_TEST(platform.objects.contains(name_of("v1")));
    BOOST_TEST(platform.run(plan, active) == 0U);
    BOOST_TEST(platform.objects.size() == 2U);
}

// Guards against a write or a deletion without knowledge of the store.
BOOST_AUTO_TEST_CASE(nothing_is_written_before_the_objects_are_listed) {
    version_record_plan plan;
    BOOST_TEST(plan.needs_list());
    BOOST_TEST(!plan.next({{model, {"v1", "v2"}}}).has_value());
}

// Guards against versions that stay unrecorded, and against objects that stay for good.
BOOST_AUTO_TEST_CASE(versions_are_recorded_while_they_are_active) {
    store platform;
    version_record_plan plan = listed_plan(platform);
    BOOST_TEST(platform.run(plan, {{model, {"v1", "v2"}}}) == 2U);
    BOOST_TEST(platform.objects.contains(name_of("v1")));
    BOOST_TEST(platform.objects.contains(name_of("v2")));
    BOOST_TEST(platform.run(plan, {{model, {"v1", "v2"}}}) == 0U);
    BOOST_TEST(platform.run(plan, {{model, {"v2", "v3"}}}) == 2U);
    BOOST_TEST(platform.objects.contains(name_of("v3")));
    BOOST_TEST(!platform.objects.contains(name_of("v1")));
    BOOST_TEST(platform.run(plan, {{model, {"v3"}}}) == 1U);
    BOOST_TEST(platform.objects.size() == 1U);
    BOOST_TEST(platform.objects.contains(name_of("v3")));
    BOOST_TEST(platform.run(plan, {}) == 1U);
    BOOST_TEST(platform.objects.empty());
}

// Guards against a removal before the version that takes its place is recorded.
BOOST_AUTO_TEST_CASE(missing_versions_are_written_before_others_are_removed) {
    store platform;
    platform.create(name_of("v1"));
    const version_record_plan plan = listed_plan(platform);
    const std::optional<object_api::call> next = plan.next({{model, {"v2", "v3"}}});
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(std::holds_alternative<object_api::write_object>(*next));
}

// Guards against a new writer that removes what another daemon recorded without having heard of it, and
// against a version that is reported again with each list and never ends.
BOOST_AUTO_TEST_CASE(listed_versions_are_reported_once) {
    store platform;
    platform.create(name_of("v1"));
    platform.create("0 odd&");
    version_record_plan plan;
    BOOST_TEST((plan.set_listed(platform.list()) == std::vector<recorded_version>{row_of("v1")}));
    platform.create(name_of("v2"));
    BOOST_TEST((plan.set_listed(platform.list()) == std::vector<recorded_version>{row_of("v2")}));
    BOOST_TEST(plan.set_listed(platform.list()).empty());
    platform.objects.erase(name_of("v1"));
    platform.create(name_of("v1"));
    BOOST_TEST((plan.set_listed(platform.list()) == std::vector<recorded_version>{row_of("v1")}));
    plan.forget();
    BOOST_TEST(plan.needs_list());
    BOOST_TEST(plan.set_listed(platform.list()).size() == 2U);
}

// Guards against objects of unknown kind that are removed.
BOOST_AUTO_TEST_CASE(objects_with_other_names_are_left_alone) {
    store platform;
    platform.create("0 odd&");
    version_record_plan plan = listed_plan(platform);
    BOOST_TEST(platform.run(plan, {}) == 0U);
    BOOST_TEST(platform.objects.contains("0 odd&"));
}

// Guards against a call that is repeated without end when another daemon wrote or removed the object.
BOOST_AUTO_TEST_CASE(changes_by_another_daemon_are_found) {
    store platform;
    version_record_plan plan = listed_plan(platform);
    platform.create(name_of("v1"));
    BOOST_TEST(platform.run(plan, {{model, {"v1", "v2"}}}) == 2U);
    BOOST_TEST(platform.objects.size() == 2U);
    platform.objects.erase(name_of("v1"));
    BOOST_TEST(platform.run(plan, {{model, {"v2"}}}) == 1U);
    BOOST_TEST(plan.needs_list());
    plan.set_listed(platform.list());
    BOOST_TEST(platform.run(plan, {{model, {"v2"}}}) == 0U);
    BOOST_TEST(platform.run(plan, {}) == 1U);
    BOOST_TEST(platform.objects.empty());
    platform.create(name_of("v1"));
    plan.set_listed(platform.list());
    platform.objects[name_of("v1")] = 100;
    BOOST_TEST(platform.run(plan, {}) == 1U);
    BOOST_TEST(plan.needs_list());
    plan.set_listed(platform.list());
    BOOST_TEST(platform.run(plan, {}) == 1U);
    BOOST_TEST(platform.objects.empty());
}

// Guards against a write whose answer was lost: the objects have to be listed again.
BOOST_AUTO_TEST_CASE(a_failed_call_makes_a_list_necessary) {
    version_record_plan plan = listed_plan({});
    const std::optional<object_api::call> next = plan.next({{model, {"v1", "v2"}}});
    BOOST_REQUIRE(next.has_value());
    plan.record(std::get<object_api::write_object>(*next), object_api::failed{});
    BOOST_TEST(plan.needs_list());
}

// Guards against a store that fills up, and against a service of which only one version is recorded as
// another service has so many.
BOOST_AUTO_TEST_CASE(the_number_of_objects_is_bounded) {
    store platform;
    version_record_plan plan = listed_plan(platform);
    version_sets active = many_versions(20, 2);
    for (int n = 0; n < 100; ++n) {
        active[base::service_name("a")].insert("v" + std::to_string(n));
    }
    platform.run(plan, active);
    BOOST_TEST(platform.objects.size() == version_record_plan::max_objects);
    for (const auto& service : many_versions(20, 2)) {
        for (const std::string& version : service.second) {
            BOOST_TEST(platform.objects.contains(recorded_version{service.first, version}.object_name()));
        }
    }
    // A full record makes room for other versions.
    platform.run(plan, {{model, {"v1", "v2"}}});
    BOOST_TEST(platform.objects.size() == 2U);
    BOOST_TEST(platform.objects.contains(name_of("v1")));
    BOOST_TEST(platform.max_count == version_record_plan::max_objects);
}

BOOST_AUTO_TEST_SUITE_END()
