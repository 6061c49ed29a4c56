#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/ledger/reply.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::ledger::internal {

/// One entry of a record. A recorded key has one entry without a reply, written before its run, and a later
/// one with the reply.
struct record_entry {
    base::hash128 key_hash;
    base::hash128 body_hash;
    std::uint64_t window = 0;
    std::optional<ledger::reply> reply;
};

/// Segments `first` to `last`, whose entries belong to the windows `oldest_window` to `newest_window`.
/// Storing ranges keeps the head small: 100 bookings per second fill about 2,300 segments in an hour.
struct segment_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t oldest_window = 0;
    std::uint64_t newest_window = 0;

    friend bool operator==(const segment_range&, const segment_range&) = default;
};

/// Metadata in the head object of a record.
struct record_head {
    /// Random identifier of the commit that wrote this head. Shows whether a commit whose answer was lost
    /// took effect.
    std::uint64_t commit_id = 0;
    bool sealed = false;
    /// Oldest window whose entries are retained.
    std::uint64_t first_window = 0;
    std::vector<segment_range> segments;
};

/// Decoded head object with the entries that it holds.
struct decoded_head {
    record_head head;
    std::vector<record_entry> entries;
};

/// Key of the head object of a ledger.
object_api::object_key head_key(const base::incarnation& ledger);

/// Key of a segment object of a ledger.
object_api::object_key segment_key(const base::incarnation& ledger, std::uint64_t number);

/// Hash of the account and the idempotency key, which identifies a request in a record.
base::hash128 key_hash(const keyed_request& request);

/// JSON text of an entry; empty if the reply is not valid UTF-8, which JSON cannot represent.
std::optional<std::string> encode_entry(const record_entry& entry);

/// JSON text of a segment with the given comma-separated encoded entries.
std::string encode_segment(std::string_view joined_entries);

/// JSON text of a head with the given comma-separated encoded entries.
std::string encode_head(const record_head& head, std::string_view joined_entries);

/// Sets `sealed` in the JSON text of a head and leaves all other members unchanged.
std::string encode_sealed_head(std::string_view head_text);

/// Decodes a head; fails with `invalid_input` if it is malformed.
base::result<decoded_head> decode_head(std::string_view text);

/// Decodes a segment; fails with `invalid_input` if it is malformed.
base::result<std::vector<record_entry>> decode_segment(std::string_view text);

} // namespace rattanbay::ledger::internal
