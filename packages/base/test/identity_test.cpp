#include <rattanbay/base.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;

BOOST_AUTO_TEST_SUITE(identity)

// Texts that other parsers interpret as a different address must be rejected.
BOOST_AUTO_TEST_CASE(address_accepts_only_the_dotted_form_with_a_port) {
    BOOST_TEST(base::address::parse("127.0.1.2:8080").value().text() == "127.0.1.2:8080");
    for (const char* text : {"", "127.0.0.1", "127.0.0:80", "256.0.0.1:80", "1.2.3.4:0", "1.2.3.4:65536",
                             "1.2.3.4:80x", "1.2.3.4:", "localhost:80", "-1.2.3.4:80"}) {
        BOOST_TEST(!base::address::parse(text).has_value(), text);
    }
}

// An incarnation must have exactly one text; two would split its record in two.
BOOST_AUTO_TEST_CASE(incarnation_text_is_canonical) {
    base::random_source random(7);
    const base::incarnation generated = base::incarnation::generate(random);
    BOOST_TEST((base::incarnation::parse(generated.text()).value() == generated));
    BOOST_TEST(!base::incarnation::parse("ABCDEF0123456789abcdef01").has_value());
    BOOST_TEST(!base::incarnation::parse("0x0123456789abcdef0123ab").has_value());
    BOOST_TEST(!base::incarnation::parse(generated.text() + "00").has_value());
}

// Digests must match the standards, as key prefixes and proofs are exchanged between versions. The
// expected values are from FIPS 180-2 and RFC 4231, case 2.
BOOST_AUTO_TEST_CASE(digests_match_published_vectors) {
    BOOST_TEST(base::sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(base::hmac64("Jefe", "what do ya want for nothing?") == 0x5bdcc146bf60754eULL);
    BOOST_TEST(base::secure_hash("abc").text() == "ba7816bf8f01cfea414140de5dae2223");
}

// Guards against a code that is computed with the key of an earlier message, as the prepared state of the
// last key is kept. The expected values are from RFC 4231, cases 1, 2 and 6, and of the empty key and data.
BOOST_AUTO_TEST_CASE(codes_of_alternating_keys_match_published_vectors) {
    const std::string short_key(20, '\x0b');
    const std::string long_key(131, '\xaa');
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(base::hmac64(short_key, "Hi There") == 0xb0344c61d8db3853ULL);
        BOOST_TEST(base::hmac64(short_key, "Hi There") == 0xb0344c61d8db3853ULL);
        BOOST_TEST(base::hmac64("Jefe", "what do ya want for nothing?") == 0x5bdcc146bf60754eULL);
        BOOST_TEST(base::hmac64("", "") == 0xb613679a0814d9ecULL);
        BOOST_TEST(base::hmac64(long_key, "Test Using Larger Than Block-Size Key - Hash Key First") ==
                   0x60e431591ee0b67fULL);
    }
}

// A problem kind without a status would fail an assertion and abort the process when it occurs.
BOOST_AUTO_TEST_CASE(every_problem_kind_has_a_status_and_title) {
    for (const base::enum_name<base::problem_kind>& entry : base::enum_names<base::problem_kind>::table) {
        BOOST_TEST(base::http_status(entry.value) >= 400);
        BOOST_TEST(!base::title(entry.value).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
