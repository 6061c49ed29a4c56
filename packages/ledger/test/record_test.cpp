#include "internal/record.hpp"
#include "seeded_check.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace base = rattanbay::base;
namespace ledger = rattanbay::ledger;
namespace internal = rattanbay::ledger::internal;
namespace test = rattanbay::ledger::test;

namespace {

constexpr std::uint64_t commit_id = 0x0123456789abcdefULL;

internal::record_entry make_entry(std::optional<ledger::reply> reply) {
    return {{1, ~0ULL}, {0, 7}, 3, std::move(reply)};
}

std::string example_head() {
    const std::string entry =
        internal::encode_entry(make_entry(ledger::response{200, "{\"a\":\"\\u0000\"}"})).value();
    return internal::encode_head({commit_id, false, 2, {{1, 4, 2, 3}, {5, 5, 3, 3}}}, entry + ',' + entry);
}

} // namespace

BOOST_AUTO_TEST_SUITE(records)

// Guards against replies from a record that differ from the reply of the first run in any byte. Bodies that
// are not valid UTF-8 cannot be represented in JSON and are omitted from the record.
BOOST_AUTO_TEST_CASE(replies_round_trip_unchanged) {
    test::check_with_seed(17, 300, [](const std::string& body, bool is_response) {
        const ledger::reply reply = is_response
                                        ? ledger::reply(ledger::response{201, body})
                                        : ledger::reply(base::problem{base::problem_kind::stage_failed,
                                                                      base::outcome::unknown, body});
        const std::optional<std::string> text = internal::encode_entry(make_entry(reply));
        const bool ascii = std::all_of(body.begin(), body.end(), [](char c) { return c >= 0; });
        RC_ASSERT(text.has_value() || !ascii);
        if (text) {
            const auto decoded =
                internal::decode_segment(internal::encode_segment(*text + ',' + *text)).value();
            RC_ASSERT(decoded.size() == 2U);
            RC_ASSERT((decoded[1].reply == reply));
            RC_ASSERT((decoded[1].key_hash == base::hash128{1, ~0ULL}));
        }
    });
}

// Guards against a seal that changes other data of the record.
BOOST_AUTO_TEST_CASE(sealing_changes_nothing_else) {
    const internal::decoded_head before = internal::decode_head(example_head()).value();
    const internal::decoded_head after =
        internal::decode_head(internal::encode_sealed_head(example_head())).value();
    BOOST_TEST(!before.head.sealed);
    BOOST_TEST(after.head.sealed);
    BOOST_TEST(after.head.commit_id == commit_id);
    BOOST_TEST(after.head.first_window == 2U);
    BOOST_TEST((after.head.segments == before.head.segments));
    BOOST_TEST(after.entries.size() == 2U);
    BOOST_TEST((after.entries[1].reply == before.entries[1].reply));
}

// Guards against a malformed head that terminates the process or is decoded as an empty record, so that a
// successor would reply with outcome `not_run`.
BOOST_AUTO_TEST_CASE(malformed_heads_are_rejected) {
    const std::string head = example_head();
    for (std::size_t n = 0; n < head.size(); ++n) {
        BOOST_TEST(!internal::decode_head(head.substr(0, n)).has_value());
    }
    for (const std::string name : {"commit", "sealed", "first_window", "segments", "entries"}) {
        std::string changed = head;
        changed.replace(changed.find("\"" + name + "\""), name.size() + 2, "\"other\"");
        BOOST_TEST(!internal::decode_head(changed).has_value(), name);
    }
    BOOST_TEST(!internal::decode_head("[]").has_value());
    BOOST_TEST(!internal::decode_segment("{\"k\":1}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
