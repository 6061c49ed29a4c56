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

/// One entry of a record. A key has one without a reply from before its run, and a later one with
/// the reply.
struct record_entry {
    base::hash128 key_hash;
    base::hash128 body_hash;
    std::uint64_t window = 0;
    std::optional<ledger::reply> reply;
};

/// Segments `first` to `last`, whose entries are of the windows `oldest` to `newest`. Ranges keep
/// the head small: at 100 bookings per second an hour fills about 2,300 segments.
struct segment_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t oldest = 0;
    std::uint64_t newest = 0;

    friend bool operator==(const segment_range&, const segment_range&) = default;
};

/// Head of a record without its entries.
struct record_head {
    /// Random number of the commit that wrote this head; settles commits whose answer was lost.
    std::uint64_t commit = 0;
    bool sealed = false;
    /// Entries of windows below this one were dropped.
    std::uint64_t first_window = 0;
    std::vector<segment_range> segments;
};

/// Head of a record as read from the platform.
struct record {
    record_head head;
    std::vector<record_entry> entries;
};

/// Name of the head object.
object_api::object_key head_key(const base::incarnation& ledger);

/// Name of a segment object.
object_api::object_key segment_key(const base::incarnation& ledger, std::uint64_t number);

/// Identity of (account, key) in a record.
base::hash128 key_hash(const keyed_request& request);

/// JSON text of an entry, or nothing when the reply is not UTF-8 and so has no JSON form.
std::optional<std::string> encode_entry(const record_entry& entry);

/// JSON text of a segment, from encoded entries joined by commas.
std::string encode_segment(std::string_view joined_entries);

/// JSON text of a head, from encoded entries joined by commas.
std::string encode_head(const record_head& head, std::string_view joined_entries);

/// JSON text of a head that was read, with `sealed` set and all else as it was.
std::string encode_sealed(std::string_view head_text);

/// Parses a head; `invalid_input` when it is damaged.
base::result<record> decode_head(std::string_view text);

/// Parses a segment; `invalid_input` when it is damaged.
base::result<std::vector<record_entry>> decode_segment(std::string_view text);

} // namespace rattanbay::ledger::internal
