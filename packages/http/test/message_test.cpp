#include <rattanbay/http/message.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

namespace http = rattanbay::http;

namespace {

/// A text with each byte once.
std::string all_bytes() {
    constexpr int byte_count = 256;
    std::string out;
    for (int n = 0; n < byte_count; ++n) {
        out += static_cast<char>(n);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(message)

// Guards against a name that changes the meaning of the target that contains it.
BOOST_AUTO_TEST_CASE(encoded_texts_have_no_meaning_in_a_target) {
    BOOST_TEST(http::percent_encode("i-7f3a91c2.a_B~9") == "i-7f3a91c2.a_B~9");
    BOOST_TEST(http::percent_encode("a&b=c+d#e%41 f/?\r\n") == "a%26b%3Dc%2Bd%23e%2541%20f%2F%3F%0D%0A");
    BOOST_TEST(http::percent_encode("\xC3\xBC") == "%C3%BC");
    BOOST_TEST(http::percent_encode("").empty());
}

// Guards against a name that is read as another one than was sent.
BOOST_AUTO_TEST_CASE(every_byte_survives_a_target) {
    const std::string encoded = http::percent_encode(all_bytes());
    BOOST_TEST((http::percent_decode(encoded) == all_bytes()));
    BOOST_TEST(
        (http::query_parameter("/objects/servers?after=" + encoded + "&wait_ms=0", "after") == all_bytes()));
}

// Guards against a decoder that reads past the end, and one that takes other texts for escapes.
BOOST_AUTO_TEST_CASE(incomplete_escapes_stay_as_they_are) {
    for (const std::string text : {"%", "%4", "a%", "%zz", "%4g", "%-1", "100%"}) {
        BOOST_TEST(http::percent_decode(text) == text);
    }
    BOOST_TEST(http::percent_decode("%41%2b+") == "A++");
    BOOST_TEST(http::query_parameter("/?text=a+b%2B", "text").value_or("") == "a b+");
}

BOOST_AUTO_TEST_SUITE_END()
