#pragma once

#include "internal/backoff.hpp"
#include "internal/record.hpp"

#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::ledger::internal {

/// State of a record in the platform.
enum class record_state {
    /// Accepts commits, or does not exist yet.
    open,
    /// Sealed by a commit of this process.
    sealed_by_owner,
    /// Sealed or replaced by another process, missing or malformed; accepts no more commits.
    lost,
};

/// Writes the record of one ledger by group commit, with at most one platform call in flight.
///
/// Entries have consecutive positions, and each commit contains all entries up to some position. A commit
/// whose answer was lost may still take effect, so it stays in `attempts_` until some commit is known to be
/// in effect. The commit identifier in the head then shows which one it is and up to which position the
/// record is complete.
class group_committer {
public:
    group_committer(base::incarnation ledger, base::duration commit_interval,
                    std::size_t segment_threshold_bytes, std::uint64_t first_window, base::time_point now);

    const base::incarnation& ledger() const { return ledger_; }

    record_state state() const { return state_; }

    /// Whether recent calls succeeded, so that keys of class `recorded` can be expected to commit in time.
    bool is_writable() const;

    /// Position up to which all entries are committed.
    std::uint64_t committed_position() const { return committed_position_; }

    /// Time at which `next_call` is due; `time_point::max()` while a call is in flight or none is needed.
    base::time_point next_call_time() const;

    /// Adds the entry that must be committed before a key runs; returns its position.
    std::uint64_t append(const record_entry& entry);

    /// Adds the entry with the reply of a key. Omits it if it is too large, cannot be encoded or would exceed
    /// the limit on uncommitted bytes; a successor then replies with outcome `unknown`.
    void append_reply(const record_entry& entry);

    /// Removes the entries of windows before `window` with the next commit.
    void drop_windows_before(std::uint64_t window);

    /// Seals the record with the commit that contains the last uncommitted entry.
    void request_seal();

    /// Starts and returns the next platform call, if one is due.
    std::optional<object_api::call> next_call(base::time_point now, base::random_source& random);

    /// Processes the answer to the call in flight.
    void handle_answer(const object_api::answer& answer, base::time_point now, base::random_source& random);

private:
    enum class phase { idle, committing, resolving, flushing, deleting };

    /// An entry of the head as JSON text.
    struct encoded_entry {
        std::uint64_t position = 0;
        std::uint64_t window = 0;
        std::string text;
    };

    /// A commit that was sent and may have taken effect.
    struct commit_attempt {
        std::uint64_t commit_id = 0;
        std::uint64_t end_position = 0;
        bool sealed = false;
        /// Number of leading `unreferenced_segments_` that this head no longer refers to.
        std::size_t unreferenced_count = 0;
    };

    bool needs_commit() const;
    bool needs_flush() const;
    object_api::call make_commit_call(base::time_point now, base::random_source& random);
    object_api::call make_flush_call();
    object_api::call make_delete_call();
    void handle_commit_answer(const object_api::answer& answer, base::time_point now,
                              base::random_source& random);
    void handle_resolve_answer(const object_api::answer& answer, base::time_point now,
                               base::random_source& random);
    void resolve_from_head(const object_api::object& head, base::time_point now, base::random_source& random);
    void handle_flush_answer(const object_api::answer& answer, base::time_point now,
                             base::random_source& random);
    void handle_delete_answer(const object_api::answer& answer, base::time_point now,
                              base::random_source& random);
    void apply_commit(const commit_attempt& committed, std::uint64_t version);
    void schedule_retry(base::time_point now, base::random_source& random);
    void finish_flush(std::uint64_t version);
    std::uint64_t batch_end_position() const;

    base::incarnation ledger_;
    base::duration commit_interval_;
    std::size_t segment_threshold_bytes_;
    record_state state_ = record_state::open;
    phase phase_ = phase::idle;

    /// Committed entries in the head, followed by uncommitted ones.
    std::deque<encoded_entry> entries_;
    std::uint64_t next_position_ = 1;
    std::uint64_t committed_position_ = 0;
    std::size_t uncommitted_bytes_ = 0;
    std::size_t committed_bytes_ = 0;

    std::uint64_t first_window_;
    std::vector<segment_range> segments_;
    std::map<std::uint64_t, std::uint64_t> segment_versions_;
    std::uint64_t next_segment_ = 1;
    /// Segments that the next commit no longer refers to, in the order in which they were removed.
    std::vector<std::uint64_t> unreferenced_segments_;
    /// Segments that the committed head no longer refers to.
    std::deque<std::uint64_t> deletable_segments_;

    /// Version of the last head known to be committed; empty until the head object was created.
    std::optional<std::uint64_t> head_version_;
    std::uint64_t current_commit_id_ = 0;
    std::vector<commit_attempt> attempts_;
    bool resolve_pending_ = false;
    bool head_dirty_ = false;
    bool seal_requested_ = false;

    backoff backoff_;
    base::time_point next_commit_time_;
    base::time_point retry_time_;
};

} // namespace rattanbay::ledger::internal
