#include "example_documents.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config.hpp>

#include <boost/test/unit_test.hpp>

namespace config = rattanbay::config;

namespace {

config::document_object example_object(int revision, int variant = 0) {
    return config::document_object::of(example_document(revision, variant));
}

} // namespace

BOOST_AUTO_TEST_SUITE(adoption)

// Guards against adopting a stale, corrupted or invalid document.
BOOST_AUTO_TEST_CASE(only_newer_valid_documents_are_adopted) {
    config::document_adoption daemon;
    BOOST_CHECK(std::holds_alternative<config::document_adopted>(
        daemon.offer_serialized(example_object(4).serialize())));
    BOOST_CHECK(std::holds_alternative<config::document_ignored>(daemon.offer(example_object(3))));
    BOOST_CHECK(std::holds_alternative<config::document_ignored>(daemon.offer(example_object(4))));

    config::document_object changed = example_object(5);
    changed.text += ' ';
    config::document_object misstated = example_object(5);
    misstated.revision = 6;
    config::document_object wrong{5, rattanbay::base::sha256_hex("{}"), "{}"};
    const std::vector<std::string> bad{example_object(4, 1).serialize(),
                                       changed.serialize(),
                                       misstated.serialize(),
                                       wrong.serialize(),
                                       "{}",
                                       "nonsense"};
    for (const std::string& value : bad) {
        const config::adoption_result result = daemon.offer_serialized(value);
        BOOST_REQUIRE(std::holds_alternative<config::document_rejected>(result));
        BOOST_TEST(!std::get<config::document_rejected>(result).reason.empty());
        BOOST_TEST(!std::get<config::document_rejected>(result).repeated);
    }
    BOOST_TEST(daemon.revision() == 4U);
    BOOST_TEST(daemon.current()->text == example_document(4).text);
}

// Guards against a log event per second while the platform holds an invalid document.
BOOST_AUTO_TEST_CASE(a_repeated_rejection_is_marked) {
    config::document_adoption daemon;
    const config::document_object wrong{5, rattanbay::base::sha256_hex("{}"), "{}"};
    const config::document_rejected first = std::get<config::document_rejected>(daemon.offer(wrong));
    BOOST_TEST(first.findings.size() == 6U);
    BOOST_TEST(!first.repeated);
    BOOST_TEST(std::get<config::document_rejected>(daemon.offer(wrong)).repeated);
    // A corrupted peer message may contain bytes that are not UTF-8; they must be rejected too.
    const config::document_object binary{5, "x", "\xff\xfe"};
    BOOST_TEST(!std::get<config::document_rejected>(daemon.offer(binary)).repeated);
}

BOOST_AUTO_TEST_SUITE_END()
