#include <rattanbay/base.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace base = rattanbay::base;

BOOST_AUTO_TEST_SUITE(json)

// Deeply nested text from another process must not overflow the stack when its value is copied or
// serialized.
BOOST_AUTO_TEST_CASE(deeply_nested_texts_are_discarded) {
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    BOOST_TEST(base::parse_json<nlohmann::json>(nested(base::max_json_depth)).is_array());
    BOOST_TEST(base::parse_json<nlohmann::json>(nested(base::max_json_depth + 1)).is_discarded());
    BOOST_TEST(base::parse_json<nlohmann::ordered_json>(nested(1'000'000)).is_discarded());
    BOOST_TEST(base::parse_json<nlohmann::json>("{").is_discarded());
}

// Brackets inside strings and after escaped quotes must not be counted.
BOOST_AUTO_TEST_CASE(brackets_in_strings_do_not_count_as_nesting) {
    BOOST_TEST(base::is_depth_within(R"({"a":"[[[[{{{"})", 1));
    BOOST_TEST(base::is_depth_within(R"(["\"[[[", "\\", 1])", 1));
    BOOST_TEST(!base::is_depth_within(R"(["\\", [1]])", 1));
    BOOST_TEST(base::is_depth_within("[][][]", 1));
    BOOST_TEST(base::is_depth_within("]]][", 1));
    BOOST_TEST(base::is_depth_within("\"\\", 0));
}

BOOST_AUTO_TEST_SUITE_END()
