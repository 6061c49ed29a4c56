#pragma once

#include "internal/sealed_record.hpp"

#include <rattanbay/base/incarnation.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <utility>

namespace rattanbay::ledger::internal {

/// Identifies one window of one ledger.
struct window_id {
    base::incarnation ledger;
    std::uint64_t window = 0;

    friend bool operator==(const window_id&, const window_id&) = default;
    friend auto operator<=>(const window_id&, const window_id&) = default;
};

/// LRU cache of sealed records by window, limited by their memory usage.
class sealed_record_cache {
public:
    explicit sealed_record_cache(std::size_t max_bytes)
        : max_bytes_(max_bytes) {}

    /// Returns the record and marks it as most recently used, or returns null.
    const sealed_record* find(const window_id& id);

    /// Inserts a record and evicts the least recently used ones above the limit. A record that exceeds the
    /// limit by itself is not inserted.
    void insert(const window_id& id, sealed_record record);

private:
    using entry = std::pair<window_id, sealed_record>;

    std::size_t max_bytes_;
    std::size_t total_bytes_ = 0;
    /// Most recently used first.
    std::list<entry> entries_;
    std::map<window_id, std::list<entry>::iterator> index_;
};

} // namespace rattanbay::ledger::internal
