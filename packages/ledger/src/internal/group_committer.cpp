#include "internal/group_committer.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace rattanbay::ledger::internal {

namespace {

/// Bounds a commit so that the head stays well below the platform's 1 MB together with the
/// entries that wait for their move to a segment.
constexpr std::size_t max_batch_bytes = 256 * 1024;
/// Replies wait in memory during an outage. With this bound the backlog takes a few commits
/// afterwards, so that new keys behind it are still confirmed within their limit of 250 ms.
constexpr std::size_t max_waiting_bytes = 1024 * 1024;
/// Consecutive failed calls after which prefixes are of class unrecorded.
constexpr unsigned failures_until_unwritable = 2;

} // namespace

group_committer::group_committer(base::incarnation ledger, base::duration interval, std::size_t segment_bytes,
                                 std::uint64_t first_window, base::time_point now)
    : ledger_(ledger)
    , interval_(interval)
    , segment_bytes_(segment_bytes)
    , first_window_(first_window)
    , next_commit_(now)
    , next_try_(now) {}

bool group_committer::writable() const {
    return condition_ == record_condition::open && version_.has_value() &&
           backoff_.failures() < failures_until_unwritable;
}

bool group_committer::commit_wanted() const {
    const bool waiting = !rows_.empty() && rows_.back().position > confirmed_;
    // After failures a commit is also the probe that finds out whether the platform is back.
    return !version_ || waiting || dirty_ || seal_asked_ || backoff_.failures() > 0;
}

bool group_committer::move_wanted() const {
    return confirmed_bytes_ > segment_bytes_;
}

base::time_point group_committer::due() const {
    if (phase_ != phase::idle || condition_ != record_condition::open) {
        return base::time_point::max();
    }
    if (settle_ || move_wanted() || !deletable_.empty()) {
        return next_try_;
    }
    return commit_wanted() ? std::max(next_try_, next_commit_) : base::time_point::max();
}

std::uint64_t group_committer::append(const record_entry& entry) {
    const std::optional<std::string> text = encode_entry(entry);
    assert(text.has_value());
    waiting_bytes_ += text->size();
    rows_.push_back({next_position_, entry.window, *text});
    return next_position_++;
}

void group_committer::append_reply(const record_entry& entry) {
    const std::optional<std::string> text = encode_entry(entry);
    if (!text || text->size() > max_batch_bytes || waiting_bytes_ + text->size() > max_waiting_bytes) {
        return;
    }
    waiting_bytes_ += text->size();
    rows_.push_back({next_position_, entry.window, *text});
    ++next_position_;
}

void group_committer::drop_below(std::uint64_t window) {
    if (window <= first_window_) {
        return;
    }
    first_window_ = window;
    dirty_ = true;
    for (const row& it : rows_) {
        if (it.window < window) {
            (it.position > confirmed_ ? waiting_bytes_ : confirmed_bytes_) -= it.text.size();
        }
    }
    std::erase_if(rows_, [window](const row& it) { return it.window < window; });
    for (const segment_range& range : segments_) {
        for (std::uint64_t n = range.first; range.newest < window && n <= range.last; ++n) {
            unreferenced_.push_back(n);
        }
    }
    std::erase_if(segments_, [window](const segment_range& it) { return it.newest < window; });
}

void group_committer::seal() {
    seal_asked_ = true;
}

std::optional<object_api::call> group_committer::next_call(base::time_point now,
                                                           base::random_source& random) {
    if (now < due()) {
        return std::nullopt;
    }
    if (settle_) {
        phase_ = phase::settling;
        return object_api::read_object{head_key(ledger_)};
    }
    if (move_wanted()) {
        phase_ = phase::moving;
        return move_call();
    }
    if (commit_wanted() && now >= next_commit_) {
        phase_ = phase::committing;
        return commit_call(now, random);
    }
    if (!deletable_.empty()) {
        phase_ = phase::deleting;
        return delete_call();
    }
    return std::nullopt;
}

std::uint64_t group_committer::batch_end() const {
    std::uint64_t end = confirmed_;
    std::size_t bytes = 0;
    for (const row& it : rows_) {
        if (it.position <= confirmed_) {
            continue;
        }
        bytes += it.text.size();
        if (bytes > max_batch_bytes && end != confirmed_) {
            break;
        }
        end = it.position;
    }
    // An earlier attempt may have carried more than fits now; the record never shrinks.
    for (const attempt& it : attempts_) {
        end = std::max(end, it.position);
    }
    return end;
}

object_api::call group_committer::commit_call(base::time_point now, base::random_source& random) {
    const std::uint64_t end = batch_end();
    // The seal comes with the last batch, as nothing can be added after it.
    const bool sealed = seal_asked_ && (rows_.empty() || rows_.back().position <= end);
    attempts_.push_back({random.bits(), end, sealed, unreferenced_.size()});
    std::string joined;
    for (const row& it : rows_) {
        if (it.position > end) {
            break;
        }
        joined += joined.empty() ? "" : ",";
        joined += it.text;
    }
    const record_head head{attempts_.back().commit, sealed, first_window_, segments_};
    next_commit_ = now + interval_;
    dirty_ = false;
    return object_api::write_object{head_key(ledger_), version_, encode_head(head, joined)};
}

object_api::call group_committer::move_call() {
    std::string joined;
    for (const row& it : rows_) {
        if (it.position > confirmed_) {
            break;
        }
        joined += joined.empty() ? "" : ",";
        joined += it.text;
    }
    return object_api::write_object{segment_key(ledger_, next_segment_), std::nullopt,
                                    encode_segment(joined)};
}

object_api::call group_committer::delete_call() {
    return object_api::delete_object{segment_key(ledger_, deletable_.front()),
                                     segment_versions_[deletable_.front()]};
}

void group_committer::answered(const object_api::answer& given, base::time_point now,
                               base::random_source& random) {
    const phase ended = phase_;
    phase_ = phase::idle;
    switch (ended) {
    case phase::idle:
        break;
    case phase::committing:
        commit_answered(given, now, random);
        break;
    case phase::settling:
        settle_answered(given, now, random);
        break;
    case phase::moving:
        move_answered(given, now, random);
        break;
    case phase::deleting:
        delete_answered(given, now, random);
        break;
    }
}

void group_committer::commit_answered(const object_api::answer& given, base::time_point now,
                                      base::random_source& random) {
    if (const object_api::written* done = std::get_if<object_api::written>(&given)) {
        confirm(attempt(attempts_.back()), done->version);
        return;
    }
    settle_ = true;
    if (std::holds_alternative<object_api::failed>(given)) {
        call_failed(now, random);
        // The first failure may be a lost answer, and keys wait for its outcome.
        next_try_ = backoff_.failures() == 1 ? now : next_try_;
    }
}

void group_committer::settle_answered(const object_api::answer& given, base::time_point now,
                                      base::random_source& random) {
    if (const object_api::object* head = std::get_if<object_api::object>(&given)) {
        head_read(*head, now, random);
    } else if (std::holds_alternative<object_api::not_found>(given)) {
        settle_ = false;
        condition_ = version_ ? record_condition::lost : condition_;
    } else {
        call_failed(now, random);
    }
}

void group_committer::head_read(const object_api::object& head, base::time_point now,
                                base::random_source& random) {
    if (version_ && head.version < *version_) {
        // An old copy; the next read may give the real one.
        call_failed(now, random);
        return;
    }
    settle_ = false;
    const base::result<record> read = decode_head(head.value);
    if (!read) {
        condition_ = record_condition::lost;
        return;
    }
    const auto it = std::find_if(attempts_.begin(), attempts_.end(),
                                 [&read](const attempt& sent) { return sent.commit == read->head.commit; });
    const bool own = it != attempts_.end();
    if (read->head.sealed && !(own && it->sealed)) {
        condition_ = record_condition::lost;
        return;
    }
    // What the last attempt carried beyond the head in force has to be sent again.
    dirty_ = dirty_ || !own || std::next(it) != attempts_.end();
    if (own) {
        confirm(attempt(*it), head.version);
        return;
    }
    if (!version_ || read->head.commit != commit_in_force_) {
        condition_ = record_condition::lost;
    }
}

void group_committer::confirm(const attempt& in_force, std::uint64_t version) {
    version_ = version;
    commit_in_force_ = in_force.commit;
    settle_ = false;
    for (const row& it : rows_) {
        if (it.position > confirmed_ && it.position <= in_force.position) {
            waiting_bytes_ -= it.text.size();
            confirmed_bytes_ += it.text.size();
        }
    }
    confirmed_ = std::max(confirmed_, in_force.position);
    const auto end = unreferenced_.begin() + static_cast<std::ptrdiff_t>(in_force.unreferenced);
    deletable_.insert(deletable_.end(), unreferenced_.begin(), end);
    unreferenced_.erase(unreferenced_.begin(), end);
    // Others were conditional on a version that is no longer in force.
    attempts_.clear();
    backoff_.succeed();
    if (in_force.sealed) {
        condition_ = record_condition::closed;
    }
}

void group_committer::call_failed(base::time_point now, base::random_source& random) {
    next_try_ = now + backoff_.fail(random);
}

void group_committer::move_answered(const object_api::answer& given, base::time_point now,
                                    base::random_source& random) {
    if (const object_api::written* done = std::get_if<object_api::written>(&given)) {
        finish_move(done->version);
    } else if (const object_api::conflict* exists = std::get_if<object_api::conflict>(&given)) {
        // Only this process writes the name, and it repeats the same rows until one write succeeds.
        finish_move(exists->version);
    } else {
        call_failed(now, random);
    }
}

void group_committer::finish_move(std::uint64_t version) {
    segment_range moved{next_segment_, next_segment_, first_window_, first_window_};
    if (!rows_.empty() && rows_.front().position <= confirmed_) {
        moved.oldest = rows_.front().window;
        moved.newest = rows_.front().window;
    }
    while (!rows_.empty() && rows_.front().position <= confirmed_) {
        moved.oldest = std::min(moved.oldest, rows_.front().window);
        moved.newest = std::max(moved.newest, rows_.front().window);
        rows_.pop_front();
    }
    confirmed_bytes_ = 0;
    segment_versions_[next_segment_] = version;
    if (!segments_.empty() && segments_.back().oldest == moved.oldest &&
        segments_.back().newest == moved.newest) {
        segments_.back().last = next_segment_;
    } else {
        segments_.push_back(moved);
    }
    ++next_segment_;
    dirty_ = true;
    backoff_.succeed();
}

void group_committer::delete_answered(const object_api::answer& given, base::time_point now,
                                      base::random_source& random) {
    if (const object_api::conflict* other = std::get_if<object_api::conflict>(&given)) {
        segment_versions_[deletable_.front()] = other->version;
    } else if (std::holds_alternative<object_api::failed>(given)) {
        call_failed(now, random);
    } else {
        segment_versions_.erase(deletable_.front());
        deletable_.pop_front();
    }
}

} // namespace rattanbay::ledger::internal
