#include <rattanbay/ledger.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace ledger = rattanbay::ledger;

namespace {

constexpr std::string_view secret = "cluster secret";

ledger::key_prefix example() {
    base::random_source random(3);
    return {ledger::record_class::recorded, base::incarnation::generate(random), 0x1f,
            base::address{{127, 0, 1, 2}, 7100}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys)

// Guards against a prefix that another VM reads differently, which would send a key astray.
BOOST_AUTO_TEST_CASE(prefix_survives_its_text) {
    const ledger::key_prefix prefix = example();
    BOOST_TEST(prefix.unsigned_text() == "rb1-r-" + prefix.incarnation.text() + "-1f-7f0001021bbc");
    BOOST_TEST((ledger::key_prefix::parse(prefix.text(secret), secret).value() == prefix));
}

// Guards against callers that change a prefix, for example to make daemons connect elsewhere, and
// against two texts of one prefix, which would be two keys.
BOOST_AUTO_TEST_CASE(every_changed_character_is_rejected) {
    const std::string text = example().text(secret);
    for (std::size_t n = 0; n < text.size(); ++n) {
        for (const char c : {'0', 'f', 'F', 'u', '-', '.'}) {
            std::string changed = text;
            changed[n] = c;
            BOOST_TEST((changed == text || !ledger::key_prefix::parse(changed, secret).has_value()), changed);
        }
        BOOST_TEST(!ledger::key_prefix::parse(text.substr(0, n), secret).has_value());
    }
    BOOST_TEST(!ledger::key_prefix::parse(text + "0", secret).has_value());
    const base::result<ledger::key_prefix> other = ledger::key_prefix::parse(text, "another secret");
    BOOST_TEST((other.error().code == base::error_code::permission_denied));
}

// Guards against caller's parts that could collide with the separators of a record's key.
BOOST_AUTO_TEST_CASE(callers_part_is_limited) {
    const std::string prefix = example().text(secret);
    BOOST_TEST(ledger::key::parse(prefix + ".order_17-a", secret).value().caller_part == "order_17-a");
    BOOST_TEST(ledger::key::parse(prefix + "." + std::string(64, 'a'), secret).has_value());
    for (const std::string& part : {std::string("short_7"), std::string(65, 'a'), std::string("with.dots"),
                                    std::string("line\nfeed")}) {
        const std::string text = prefix + '.';
        BOOST_TEST(!ledger::key::parse(text + part, secret).has_value(), part);
    }
    BOOST_TEST(!ledger::key::parse(prefix, secret).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
