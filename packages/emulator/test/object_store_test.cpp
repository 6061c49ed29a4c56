#include <rattanbay/emulator.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace object_api = rattanbay::object_api;
using namespace std::chrono_literals;

namespace {

constexpr base::time_point start{1000s};

std::string value_at(const emulator::object_store& store, const object_api::object_key& key,
                     base::time_point at) {
    const object_api::answer found = store.read(key, at);
    const object_api::object* const present = std::get_if<object_api::object>(&found);
    return present == nullptr ? "absent" : present->value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(object_store)

// Guards against a write that takes effect although its condition does not hold.
BOOST_AUTO_TEST_CASE(writes_take_effect_only_under_their_condition) {
    emulator::object_store store(10s);
    const object_api::object_key key{"documents", "trial"};
    BOOST_TEST(std::holds_alternative<object_api::not_found>(store.write({key, 1, "1"}, start)));
    const object_api::answer created = store.write({key, std::nullopt, "1"}, start);
    const std::uint64_t version = std::get<object_api::written>(created).version;
    BOOST_TEST(std::get<object_api::conflict>(store.write({key, std::nullopt, "2"}, start)).version ==
               version);
    BOOST_TEST(std::get<object_api::conflict>(store.write({key, version + 1, "2"}, start)).version ==
               version);
    BOOST_TEST(value_at(store, key, start) == "1");
    BOOST_TEST(std::holds_alternative<object_api::written>(store.write({key, version, "2"}, start)));
    BOOST_TEST(value_at(store, key, start) == "2");
}

// Guards against a version that is used twice, also by an object that is created again.
BOOST_AUTO_TEST_CASE(versions_increase_across_objects_and_deletions) {
    emulator::object_store store(10s);
    const object_api::object_key first{"a", "x"};
    const std::uint64_t one =
        std::get<object_api::written>(store.write({first, std::nullopt, "1"}, start)).version;
    const std::uint64_t two =
        std::get<object_api::written>(store.write({{"b", "x"}, std::nullopt, "1"}, start)).version;
    BOOST_TEST(two > one);
    BOOST_TEST(std::get<object_api::conflict>(store.remove({first, two}, start)).version == one);
    BOOST_TEST(std::holds_alternative<object_api::deleted>(store.remove({first, one}, start)));
    BOOST_TEST(std::holds_alternative<object_api::not_found>(store.remove({first, one}, start)));
    const std::uint64_t again =
        std::get<object_api::written>(store.write({first, std::nullopt, "1"}, start)).version;
    BOOST_TEST(again > two);
    BOOST_TEST(store.list("a", start).objects.size() == 1);
}

// Guards against a stale read that returns the current revision or one that never existed.
BOOST_AUTO_TEST_CASE(earlier_states_can_be_read) {
    emulator::object_store store(10s);
    const object_api::object_key key{"a", "x"};
    std::uint64_t version =
        std::get<object_api::written>(store.write({key, std::nullopt, "0"}, start)).version;
    for (int n = 1; n <= 20; ++n) {
        const object_api::answer done = store.write({key, version, std::to_string(n)}, start + n * 1s);
        version = std::get<object_api::written>(done).version;
        BOOST_TEST(value_at(store, key, start + n * 1s - 500ms) == std::to_string(n - 1));
    }
    BOOST_TEST(value_at(store, key, start + 12s) == "12");
    BOOST_TEST(value_at(store, key, start + 10s) == "10");
    emulator::object_store fresh(10s);
    fresh.write({key, std::nullopt, "0"}, start);
    BOOST_TEST(value_at(fresh, key, start - 1s) == "absent");
}

BOOST_AUTO_TEST_SUITE_END()
