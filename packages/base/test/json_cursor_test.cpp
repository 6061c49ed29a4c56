#include <rattanbay/base/json_cursor.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace base = rattanbay::base;

namespace {

/// Keys and texts of the values of an object.
std::vector<std::string> members_of(std::string_view text, bool& valid) {
    base::json_cursor cursor(text);
    std::vector<std::string> out;
    cursor.read_members([&](std::string_view key) {
        out.push_back(std::string(key) + "=" + std::string(cursor.read_value()));
    });
    valid = cursor.is_valid();
    return out;
}

std::vector<std::string> elements_of(std::string_view text, bool& valid) {
    base::json_cursor cursor(text);
    std::vector<std::string> out;
    cursor.read_elements([&]() { out.emplace_back(cursor.read_value()); });
    valid = cursor.is_valid();
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(json_cursor)

// Guards against values whose end is found in a string or in an inner value.
BOOST_AUTO_TEST_CASE(values_are_returned_as_written) {
    bool valid = false;
    const std::vector<std::string> got =
        members_of(R"( {"a" : 1.5e3, "b":"x\"}],\\", "c":{"d":[1,{}]} , "e":[],"f":null} )", valid);
    BOOST_TEST(valid);
    const std::vector<std::string> wanted{"a=1.5e3", R"(b="x\"}],\\")", R"(c={"d":[1,{}]})", "e=[]",
                                          "f=null"};
    BOOST_TEST(got == wanted, boost::test_tools::per_element());
    BOOST_TEST(members_of("{}", valid).empty());
    BOOST_TEST(valid);
}

// Guards against a single value that no parser accepts and that hides the others.
BOOST_AUTO_TEST_CASE(a_value_that_cannot_be_parsed_does_not_hide_the_others) {
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    bool valid = false;
    const std::vector<std::string> got = elements_of("[1," + deep + ",1e999,{\"a\":tru},2]", valid);
    BOOST_TEST(valid);
    BOOST_REQUIRE(got.size() == 5U);
    BOOST_TEST(got[1].size() == deep.size());
    BOOST_TEST(got[4] == "2");
}

// Guards against reads behind the end of a text and against members that are skipped silently.
BOOST_AUTO_TEST_CASE(a_text_that_breaks_off_is_invalid) {
    const std::string whole = R"({"a":[1,"b\"",{"c":null}],"d":12})";
    for (std::size_t size = 0; size < whole.size(); ++size) {
        bool valid = true;
        members_of(std::string_view(whole).substr(0, size), valid);
        BOOST_TEST(!valid, "prefix of " << size << " bytes");
    }
    for (const char* const text : {"[1 2]", "[1:2]", "{1:2}", "{\"a\" 2}", "[,]", "x"}) {
        bool valid = true;
        text[0] == '{' ? members_of(text, valid) : elements_of(text, valid);
        BOOST_TEST(!valid, text);
    }
}

// Guards against members that the visitor does not read.
BOOST_AUTO_TEST_CASE(values_that_are_not_read_are_skipped) {
    base::json_cursor cursor(R"({"skipped":{"x":[1,2]},"list":[{"n":1},{"n":2}]})");
    std::vector<std::string> numbers;
    cursor.read_members([&](std::string_view key) {
        if (key == "list") {
            cursor.read_elements([&]() {
                cursor.read_members([&](std::string_view) { numbers.emplace_back(cursor.read_value()); });
            });
        }
    });
    BOOST_TEST(cursor.is_valid());
    const std::vector<std::string> wanted{"1", "2"};
    BOOST_TEST(numbers == wanted, boost::test_tools::per_element());
}

// Guards against numbers that are truncated or only partly read.
BOOST_AUTO_TEST_CASE(only_whole_unsigned_numbers_are_accepted) {
    BOOST_TEST(base::parse_json_unsigned("18446744073709551615").value() == 18446744073709551615U);
    for (const char* const text : {"18446744073709551616", "-1", "1.0", "1e3", "\"1\"", "", "null"}) {
        BOOST_TEST(!base::parse_json_unsigned(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
