#include <rattanbay/ledger.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace ledger = rattanbay::ledger;

namespace {

constexpr std::string_view secret = "cluster secret";

ledger::key_prefix example_prefix() {
    base::random_source random(3);
    return {ledger::record_class::recorded, base::incarnation::generate(random), 0x1f,
            base::address{{127, 0, 1, 2}, 7100}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys)

// Guards against a prefix that another VM parses differently, so that keys are forwarded to the wrong VM.
BOOST_AUTO_TEST_CASE(prefix_round_trips_through_its_text) {
    const ledger::key_prefix prefix = example_prefix();
    BOOST_TEST(prefix.unsigned_text() == "rb1-r-" + prefix.incarnation.text() + "-1f-7f0001021bbc");
    BOOST_TEST((ledger::key_prefix::parse(prefix.signed_text(secret), secret).value() == prefix));
}

// Guards against prefixes modified by callers, for example to make daemons connect to another address, and
// against different texts of one prefix, which would be different keys.
BOOST_AUTO_TEST_CASE(every_changed_character_is_rejected) {
    const std::string text = example_prefix().signed_text(secret);
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

// Guards against suffixes that contain the separators used in the text or the hash of a key.
BOOST_AUTO_TEST_CASE(suffix_is_restricted) {
    const std::string prefix = example_prefix().signed_text(secret);
    BOOST_TEST(ledger::key::parse(prefix + ".order_17-a", secret).value().suffix == "order_17-a");
    BOOST_TEST(ledger::key::parse(prefix + "." + std::string(64, 'a'), secret).has_value());
    for (const std::string& suffix : {std::string("short_7"), std::string(65, 'a'), std::string("with.dots"),
                                      std::string("line\nfeed")}) {
        const std::string text = prefix + '.';
        BOOST_TEST(!ledger::key::parse(text + suffix, secret).has_value(), suffix);
    }
    BOOST_TEST(!ledger::key::parse(prefix, secret).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
