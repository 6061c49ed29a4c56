#include "internal/group_committer.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace rattanbay::ledger::internal {

namespace {

/// Limits a commit so that the head, including entries not yet flushed to a segment, stays well below the
/// platform's limit of 1 MB per object.
constexpr std::size_t max_batch_bytes = 256 * 1024;
/// Limits the replies queued in memory during an outage. A backlog of this size takes a few commits, so that
/// new keys behind it still commit within their timeout of 250 ms.
constexpr std::size_t max_uncommitted_bytes = 1024 * 1024;
/// Consecutive failed calls after which new prefixes are of class `unrecorded`.
constexpr unsigned unwritable_failure_threshold = 2;

} // namespace

group_committer::group_committer(base::incarnation ledger, base::duration commit_interval,
                                 std::size_t segment_threshold_bytes, std::uint64_t first_window,
                                 base::time_point now)
    : ledger_(ledger)
    , commit_interval_(commit_interval)
    , segment_threshold_bytes_(segment_threshold_bytes)
    , first_window_(first_window)
    , next_commit_time_(now)
    , retry_time_(now) {}

bool group_committer::is_writable() const {
    return state_ == record_state::open && head_version_.has_value() &&
           backoff_.failures() < unwritable_failure_threshold;
}

bool group_committer::needs_commit() const {
    const bool waiting = !entries_.empty() && entries_.back().position > committed_position_;
    // After failures, a commit also probes whether the platform is available again.
    return !head_version_ || waiting || head_dirty_ || seal_requested_ || backoff_.failures() > 0;
}

bool group_committer::needs_flush() const {
    return committed_bytes_ > segment_threshold_bytes_;
}

base::time_point group_committer::next_call_time() const {
    if (phase_ != phase::idle || state_ != record_state::open) {
        return base::time_point::max();
    }
    if (resolve_pending_ || needs_flush() || !deletable_segments_.empty()) {
        return retry_time_;
    }
    return needs_commit() ? std::max(retry_time_, next_commit_time_) : base::time_point::max();
}

std::uint64_t group_committer::append(const record_entry& entry) {
    const std::optional<std::string> text = encode_entry(entry);
    assert(text.has_value());
    uncommitted_bytes_ += text->size();
    entries_.push_back({next_position_, entry.window, *text});
    return next_position_++;
}

void group_committer::append_reply(const record_entry& entry) {
    const std::optional<std::string> text = encode_entry(entry);
    if (!text || text->size() > max_batch_bytes ||
        uncommitted_bytes_ + text->size() > max_uncommitted_bytes) {
        return;
    }
    uncommitted_bytes_ += text->size();
    entries_.push_back({next_position_, entry.window, *text});
    ++next_position_;
}

void group_committer::drop_windows_before(std::uint64_t window) {
    if (window <= first_window_) {
        return;
    }
    first_window_ = window;
    head_dirty_ = true;
    for (const encoded_entry& it : entries_) {
        if (it.window < window) {
            (it.position > committed_position_ ? uncommitted_bytes_ : committed_bytes_) -= it.text.size();
        }
    }
    std::erase_if(entries_, [window](const encoded_entry& it) { return it.window < window; });
    for (const segment_range& range : segments_) {
        for (std::uint64_t n = range.first; range.newest_window < window && n <= range.last; ++n) {
            unreferenced_segments_.push_back(n);
        }
    }
    std::erase_if(segments_, [window](const segment_range& it) { return it.newest_window < window; });
}

void group_committer::request_seal() {
    seal_requested_ = true;
}

std::optional<object_api::call> group_committer::next_call(base::time_point now,
                                                           base::random_source& random) {
    if (now < next_call_time()) {
        return std::nullopt;
    }
    if (resolve_pending_) {
        phase_ = phase::resolving;
        return object_api::read_object{head_key(ledger_)};
    }
    if (needs_flush()) {
        phase_ = phase::flushing;
        return make_flush_call();
    }
    if (needs_commit() && now >= next_commit_time_) {
        phase_ = phase::committing;
        return make_commit_call(now, random);
    }
    if (!deletable_segments_.empty()) {
        phase_ = phase::deleting;
        return make_delete_call();
    }
    return std::nullopt;
}

std::uint64_t group_committer::batch_end_position() const {
    std::uint64_t end = committed_position_;
    std::size_t bytes = 0;
    for (const encoded_entry& it : entries_) {
        if (it.position <= committed_position_) {
            continue;
        }
        bytes += it.text.size();
        if (bytes > max_batch_bytes && end != committed_position_) {
            break;
        }
        end = it.position;
    }
    // An earlier attempt that contained more entries may have taken effect, and the record must not shrink.
    for (const commit_attempt& it : attempts_) {
        end = std::max(end, it.end_position);
    }
    return end;
}

object_api::call group_committer::make_commit_call(base::time_point now, base::random_source& random) {
    const std::uint64_t end = batch_end_position();
    // Seal only with the last batch, as a sealed record accepts no more entries.
    const bool sealed = seal_requested_ && (entries_.empty() || entries_.back().position <= end);
    attempts_.push_back({random.bits(), end, sealed, unreferenced_segments_.size()});
    std::string joined;
    for (const encoded_entry& it : entries_) {
        if (it.position > end) {
            break;
        }
        joined += joined.empty() ? "" : ",";
        joined += it.text;
    }
    const record_head head{attempts_.back().commit_id, sealed, first_window_, segments_};
    next_commit_time_ = now + commit_interval_;
    head_dirty_ = false;
    return object_api::write_object{head_key(ledger_), head_version_, encode_head(head, joined)};
}

object_api::call group_committer::make_flush_call() {
    std::string joined;
    for (const encoded_entry& it : entries_) {
        if (it.position > committed_position_) {
            break;
        }
        joined += joined.empty() ? "" : ",";
        joined += it.text;
    }
    return object_api::write_object{segment_key(ledger_, next_segment_), std::nullopt,
                                    encode_segment(joined)};
}

object_api::call group_committer::make_delete_call() {
    return object_api::delete_object{segment_key(ledger_, deletable_segments_.front()),
                                     segment_versions_[deletable_segments_.front()]};
}

void group_committer::handle_answer(const object_api::answer& answer, base::time_point now,
                                    base::random_source& random) {
    const phase finished_phase = phase_;
    phase_ = phase::idle;
    switch (finished_phase) {
    case phase::idle:
        break;
    case phase::committing:
        handle_commit_answer(answer, now, random);
        break;
    case phase::resolving:
        handle_resolve_answer(answer, now, random);
        break;
    case phase::flushing:
        handle_flush_answer(answer, now, random);
        break;
    case phase::deleting:
        handle_delete_answer(answer, now, random);
        break;
    }
}

void group_committer::handle_commit_answer(const object_api::answer& answer, base::time_point now,
                                           base::random_source& random) {
    if (const object_api::written* written = std::get_if<object_api::written>(&answer)) {
        apply_commit(commit_attempt(attempts_.back()), written->version);
        return;
    }
    resolve_pending_ = true;
    if (std::holds_alternative<object_api::failed>(answer)) {
        schedule_retry(now, random);
        // The first failure may be a lost answer. Read the head at once, as keys wait for the outcome.
        retry_time_ = backoff_.failures() == 1 ? now : retry_time_;
    }
}

void group_committer::handle_resolve_answer(const object_api::answer& answer, base::time_point now,
                                            base::random_source& random) {
    if (const object_api::object* head = std::get_if<object_api::object>(&answer)) {
        resolve_from_head(*head, now, random);
    } else if (std::holds_alternative<object_api::not_found>(answer)) {
        resolve_pending_ = false;
        state_ = head_version_ ? record_state::lost : state_;
    } else {
        schedule_retry(now, random);
    }
}

void group_committer::resolve_from_head(const object_api::object& head, base::time_point now,
                                        base::random_source& random) {
    if (head_version_ && head.version < *head_version_) {
        // A stale read; a later read may return the current head.
        schedule_retry(now, random);
        return;
    }
    resolve_pending_ = false;
    const base::result<decoded_head> decoded = decode_head(head.value);
    if (!decoded) {
        state_ = record_state::lost;
        return;
    }
    const auto it =
        std::find_if(attempts_.begin(), attempts_.end(), [&decoded](const commit_attempt& attempt) {
            return attempt.commit_id == decoded->head.commit_id;
        });
    const bool is_own = it != attempts_.end();
    if (decoded->head.sealed && !(is_own && it->sealed)) {
        state_ = record_state::lost;
        return;
    }
    // Changes of later attempts that did not take effect must be sent again.
    head_dirty_ = head_dirty_ || !is_own || std::next(it) != attempts_.end();
    if (is_own) {
        apply_commit(commit_attempt(*it), head.version);
        return;
    }
    if (!head_version_ || decoded->head.commit_id != current_commit_id_) {
        state_ = record_state::lost;
    }
}

void group_committer::apply_commit(const commit_attempt& committed, std::uint64_t version) {
    head_version_ = version;
    current_commit_id_ = committed.commit_id;
    resolve_pending_ = false;
    for (const encoded_entry& it : entries_) {
        if (it.position > committed_position_ && it.position <= committed.end_position) {
            uncommitted_bytes_ -= it.text.size();
            committed_bytes_ += it.text.size();
        }
    }
    committed_position_ = std::max(committed_position_, committed.end_position);
    const auto end =
        unreferenced_segments_.begin() + static_cast<std::ptrdiff_t>(committed.unreferenced_count);
    deletable_segments_.insert(deletable_segments_.end(), unreferenced_segments_.begin(), end);
    unreferenced_segments_.erase(unreferenced_segments_.begin(), end);
    // The other attempts expect a version that has been replaced, so they can no longer take effect.
    attempts_.clear();
    backoff_.reset();
    if (committed.sealed) {
        state_ = record_state::sealed_by_owner;
    }
}

void group_committer::schedule_retry(base::time_point now, base::random_source& random) {
    retry_time_ = now + backoff_.next_delay(random);
}

void group_committer::handle_flush_answer(const object_api::answer& answer, base::time_point now,
                                          base::random_source& random) {
    if (const object_api::written* written = std::get_if<object_api::written>(&answer)) {
        finish_flush(written->version);
    } else if (const object_api::conflict* existing = std::get_if<object_api::conflict>(&answer)) {
        // Only this process writes this segment, and it retries the same entries until a write succeeds, so
        // the existing object is the result of an earlier attempt.
        finish_flush(existing->version);
    } else {
        schedule_retry(now, random);
    }
}

void group_committer::finish_flush(std::uint64_t version) {
    segment_range segment{next_segment_, next_segment_, first_window_, first_window_};
    if (!entries_.empty() && entries_.front().position <= committed_position_) {
        segment.oldest_window = entries_.front().window;
        segment.newest_window = entries_.front().window;
    }
    while (!entries_.empty() && entries_.front().position <= committed_position_) {
        segment.oldest_window = std::min(segment.oldest_window, entries_.front().window);
        segment.newest_window = std::max(segment.newest_window, entries_.front().window);
        entries_.pop_front();
    }
    committed_bytes_ = 0;
    segment_versions_[next_segment_] = version;
    if (!segments_.empty() && segments_.back().oldest_window == segment.oldest_window &&
        segments_.back().newest_window == segment.newest_window) {
        segments_.back().last = next_segment_;
    } else {
        segments_.push_back(segment);
    }
    ++next_segment_;
    head_dirty_ = true;
    backoff_.reset();
}

void group_committer::handle_delete_answer(const object_api::answer& answer, base::time_point now,
                                           base::random_source& random) {
    if (const object_api::conflict* conflict = std::get_if<object_api::conflict>(&answer)) {
        segment_versions_[deletable_segments_.front()] = conflict->version;
    } else if (std::holds_alternative<object_api::failed>(answer)) {
        schedule_retry(now, random);
    } else {
        segment_versions_.erase(deletable_segments_.front());
        deletable_segments_.pop_front();
    }
}

} // namespace rattanbay::ledger::internal
