#pragma once

#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/ledger/owner.hpp>
#include <rattanbay/ledger/reply.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanbay::ledger::internal {

/// A request that waits for the reply to its key.
struct waiting_request {
    waiter_id waiter = 0;
    base::time_point deadline;
};

/// State of a key that has no reply yet. Freed when the reply is known, as replies are kept much longer.
struct pending_key {
    /// The first request that arrived with the key.
    keyed_request request;
    std::vector<waiting_request> waiting;
    /// Position in the record that must be committed before the run; set for keys of class `recorded`.
    std::optional<std::uint64_t> position;
    /// The key is refused if it is not committed by this time.
    base::time_point commit_deadline;
    bool running = false;
};

/// State of one idempotency key of one account.
struct key_entry {
    base::hash128 body_hash;
    /// Set until the reply is known.
    std::unique_ptr<pending_key> pending;
    std::optional<ledger::reply> reply;
};

/// Key hashes are truncated SHA-256 values, so any 64 bits of them are uniformly distributed.
struct key_hash_hasher {
    std::size_t operator()(const base::hash128& value) const noexcept { return value.low; }
};

/// The keys of one window by their hash.
using key_entries = std::unordered_map<base::hash128, key_entry, key_hash_hasher>;

/// Identifies an entry in the table.
struct entry_id {
    std::uint64_t window = 0;
    base::hash128 key_hash;

    friend bool operator==(const entry_id&, const entry_id&) = default;
    friend auto operator<=>(const entry_id&, const entry_id&) = default;
};

/// The windows of one process with the keys that arrived in each.
class window_table {
public:
    window_table(base::duration window_length, base::duration retention, base::time_point now);

    /// Number of the window for new prefixes.
    std::uint64_t current_window() const { return current_window_; }

    /// Number of the oldest retained window.
    std::uint64_t first_window() const { return first_window_; }

    /// Whether the window accepts keys that were not seen before: the current and the previous window do.
    bool accepts_new_keys(std::uint64_t window) const {
        return window <= current_window_ && window + 1 >= current_window_;
    }

    /// Start time of the next window.
    base::time_point next_window_start() const;

    /// Updates the current and the oldest retained window. Expired windows stay until `take_expired`.
    void advance(base::time_point now);

    /// Removes one expired window and returns its entries; empty if there is none.
    std::optional<key_entries> take_expired();

    /// Returns the entry, or null if it does not exist.
    key_entry* find(const entry_id& id);

    /// Inserts an entry that is not in the table yet.
    key_entry& insert(const entry_id& id, const base::hash128& body_hash);

private:
    base::duration window_length_;
    base::duration retention_;
    base::time_point start_time_;
    std::uint64_t current_window_ = 0;
    std::uint64_t first_window_ = 0;
    std::map<std::uint64_t, key_entries> windows_;
};

} // namespace rattanbay::ledger::internal
