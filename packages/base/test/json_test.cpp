#include <rattanbay/base.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace base = rattanbay::base;

BOOST_AUTO_TEST_SUITE(json)

// Guards against texts of other processes that overrun the stack when their value is copied or printed.
BOOST_AUTO_TEST_CASE(deep_texts_are_discarded) {
    const auto nested = [](std::size_t levels) {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    BOOST_TEST(base::parse_json<nlohmann::json>(nested(base::most_json_levels)).is_array());
    BOOST_TEST(base::parse_json<nlohmann::json>(nested(base::most_json_levels + 1)).is_discarded());
    BOOST_TEST(base::parse_json<nlohmann::ordered_json>(nested(1'000'000)).is_discarded());
    BOOST_TEST(base::parse_json<nlohmann::json>("{").is_discarded());
}

// Guards against brackets inside strings, or behind escaped quotes, being counted as levels.
BOOST_AUTO_TEST_CASE(brackets_in_strings_are_not_levels) {
    BOOST_TEST(base::is_nested_within(R"({"a":"[[[[{{{"})", 1));
    BOOST_TEST(base::is_nested_within(R"(["\"[[[", "\\", 1])", 1));
    BOOST_TEST(!base::is_nested_within(R"(["\\", [1]])", 1));
    BOOST_TEST(base::is_nested_within("[][][]", 1));
    BOOST_TEST(base::is_nested_within("]]][", 1));
    BOOST_TEST(base::is_nested_within("\"\\", 0));
}

BOOST_AUTO_TEST_SUITE_END()
