#include <rattanbay/http/field_value.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

namespace http = rattanbay::http;

BOOST_AUTO_TEST_SUITE(field_value)

// Guards against a text of another process that ends its header field and begins another one.
BOOST_AUTO_TEST_CASE(values_that_would_change_the_header_are_found) {
    for (const std::string text : {"i-7f3a91c2", "10.1.64.7:8080/91bd3f06e44", "a b", "a,b", "\xC3\xBC"}) {
        BOOST_TEST(http::is_field_value(text), text);
    }
    for (const std::string& text : {std::string(), std::string("a\r\nX-Odd: 1"), std::string("a\nb"),
                                    std::string("a\rb"), std::string("a\0b", 3), std::string("a\tb"),
                                    std::string("a\x7F"), std::string(" a"), std::string("a ")}) {
        BOOST_TEST(!http::is_field_value(text), text);
    }
}

// Guards against a text that is read as two elements of a list.
BOOST_AUTO_TEST_CASE(elements_that_would_change_the_list_are_found) {
    BOOST_TEST(http::is_list_element("10.1.64.7:8080/91bd3f06e44"));
    for (const std::string text : {"", "a,b", ",", "a b", "a\r\nb"}) {
        BOOST_TEST(!http::is_list_element(text), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
