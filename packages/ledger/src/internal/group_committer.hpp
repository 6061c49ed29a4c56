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

/// Condition of a record in the platform.
enum class record_condition {
    /// It takes commits, or did not exist yet.
    open,
    /// It was sealed by a commit of this process.
    closed,
    /// It was sealed by another VM, or it is damaged; it takes no more commits.
    lost,
};

/// Writes the record of one ledger: appends entries by group commits, at most one call in flight.
///
/// Entries have positions, and each commit carries all entries up to some position. A commit whose
/// answer was lost stays in `attempts_` until a later one is known to be in force, as it may still
/// take effect; whichever does, its commit number tells how far the record reaches.
class group_committer {
public:
    group_committer(base::incarnation ledger, base::duration interval, std::size_t segment_bytes,
                    std::uint64_t first_window, base::time_point now);

    const base::incarnation& ledger() const { return ledger_; }

    record_condition condition() const { return condition_; }

    /// Whether recent writes succeeded, so that keys of class recorded have a prospect.
    bool writable() const;

    /// Position up to which entries are in the record.
    std::uint64_t confirmed() const { return confirmed_; }

    /// When `next_call` is due; the last time point while a call is in flight.
    base::time_point due() const;

    /// Adds the entry that a key needs before it runs; returns its position.
    std::uint64_t append(const record_entry& entry);

    /// Adds the entry with a key's reply, unless it is too large or too many are waiting; a
    /// successor then answers `unknown`.
    void append_reply(const record_entry& entry);

    /// Drops the entries of windows below `window` with the next commit.
    void drop_below(std::uint64_t window);

    /// Seals the record with the next commit.
    void seal();

    /// The call to make now, if one is due.
    std::optional<object_api::call> next_call(base::time_point now, base::random_source& random);

    /// Takes the answer to the call in flight.
    void answered(const object_api::answer& given, base::time_point now, base::random_source& random);

private:
    enum class phase { idle, committing, settling, moving, deleting };

    struct row {
        std::uint64_t position = 0;
        std::uint64_t window = 0;
        std::string text;
    };

    /// A head that was sent and may be in force.
    struct attempt {
        std::uint64_t commit = 0;
        std::uint64_t position = 0;
        bool sealed = false;
        /// Removed segments that this head no longer refers to.
        std::size_t unreferenced = 0;
    };

    bool commit_wanted() const;
    bool move_wanted() const;
    object_api::call commit_call(base::time_point now, base::random_source& random);
    object_api::call move_call();
    object_api::call delete_call();
    void commit_answered(const object_api::answer& given, base::time_point now, base::random_source& random);
    void settle_answered(const object_api::answer& given, base::time_point now, base::random_source& random);
    void head_read(const object_api::object& head, base::time_point now, base::random_source& random);
    void move_answered(const object_api::answer& given, base::time_point now, base::random_source& random);
    void delete_answered(const object_api::answer& given, base::time_point now, base::random_source& random);
    void confirm(const attempt& in_force, std::uint64_t version);
    void call_failed(base::time_point now, base::random_source& random);
    void finish_move(std::uint64_t version);
    std::uint64_t batch_end() const;

    base::incarnation ledger_;
    base::duration interval_;
    std::size_t segment_bytes_;
    record_condition condition_ = record_condition::open;
    phase phase_ = phase::idle;

    /// Entries of the head, and those that wait for a commit.
    std::deque<row> rows_;
    std::uint64_t next_position_ = 1;
    std::uint64_t confirmed_ = 0;
    std::size_t waiting_bytes_ = 0;
    std::size_t confirmed_bytes_ = 0;

    std::uint64_t first_window_;
    std::vector<segment_range> segments_;
    std::map<std::uint64_t, std::uint64_t> segment_versions_;
    std::uint64_t next_segment_ = 1;
    /// Segments that the next commit no longer refers to, oldest first.
    std::vector<std::uint64_t> unreferenced_;
    /// Segments that no head refers to any more.
    std::deque<std::uint64_t> deletable_;

    /// Version of the head that is known to be in force; none before it was created.
    std::optional<std::uint64_t> version_;
    std::uint64_t commit_in_force_ = 0;
    std::vector<attempt> attempts_;
    bool settle_ = false;
    bool dirty_ = false;
    bool seal_asked_ = false;

    backoff backoff_;
    base::time_point next_commit_;
    base::time_point next_try_;
};

} // namespace rattanbay::ledger::internal
