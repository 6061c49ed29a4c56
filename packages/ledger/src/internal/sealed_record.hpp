#pragma once

#include "internal/record.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/ledger/reply.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanbay::ledger::internal {

/// Entries of one window of a sealed record, indexed by key. A sealed record never changes.
class sealed_record {
public:
    explicit sealed_record(std::uint64_t first_window)
        : first_window_(first_window) {}

    /// Adds the entries of the head or of a segment.
    void add_entries(const std::vector<record_entry>& entries);

    /// Reply to a request according to section 4.4 of the design page.
    ledger::reply reply_to(const keyed_request& request) const;

    /// Approximate memory usage in bytes.
    std::size_t memory_bytes() const { return memory_bytes_; }

private:
    struct recorded_key {
        base::hash128 body_hash;
        std::optional<ledger::reply> reply;
    };

    struct hasher {
        std::size_t operator()(const base::hash128& value) const noexcept { return value.low; }
    };

    std::uint64_t first_window_;
    std::unordered_map<base::hash128, recorded_key, hasher> keys_;
    std::size_t memory_bytes_ = sizeof(sealed_record);
};

} // namespace rattanbay::ledger::internal
