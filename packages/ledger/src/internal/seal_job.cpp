#include "internal/seal_job.hpp"

#include <cassert>
#include <utility>

namespace rattanbay::ledger::internal {

namespace {

/// A head with more segments is malformed; 1,000 bookings per second fill 20,000 segments in an hour.
constexpr std::size_t max_segments = 100'000;

} // namespace

seal_job::seal_job(base::incarnation ledger, std::uint64_t window, std::size_t max_concurrent_reads)
    : ledger_(ledger)
    , window_(window)
    , max_concurrent_reads_(max_concurrent_reads) {}

std::optional<object_api::call> seal_job::next_call() {
    if (phase_ == phase::reading_segments) {
        if (pending_segments_.empty() || in_flight_ >= max_concurrent_reads_) {
            return std::nullopt;
        }
        ++in_flight_;
        const object_api::object_key key = pending_segments_.front();
        pending_segments_.pop_front();
        return object_api::read_object{key};
    }
    if (in_flight_ > 0) {
        return std::nullopt;
    }
    ++in_flight_;
    if (phase_ == phase::reading_head) {
        return object_api::read_object{head_key(ledger_)};
    }
    return object_api::write_object{head_key(ledger_), head_version_, sealed_head_text_};
}

seal_progress seal_job::handle_answer(const object_api::call& call, const object_api::answer& answer) {
    assert(in_flight_ > 0);
    --in_flight_;
    switch (phase_) {
    case phase::reading_head:
        return handle_head_answer(answer);
    case phase::sealing:
        return handle_seal_answer(answer);
    case phase::reading_segments:
        break;
    }
    return handle_segment_answer(call, answer);
}

seal_progress seal_job::handle_head_answer(const object_api::answer& answer) {
    if (std::holds_alternative<object_api::not_found>(answer)) {
        return seal_progress::unusable;
    }
    const object_api::object* head = std::get_if<object_api::object>(&answer);
    if (head == nullptr) {
        return seal_progress::retry_needed;
    }
    const base::result<decoded_head> decoded = decode_head(head->value);
    if (!decoded) {
        return seal_progress::unusable;
    }
    if (decoded->head.sealed) {
        return load_sealed_head(*decoded);
    }
    // A stale head is harmless, as the seal is conditional on its version.
    head_version_ = head->version;
    sealed_head_text_ = encode_sealed_head(head->value);
    phase_ = phase::sealing;
    return seal_progress::in_progress;
}

seal_progress seal_job::handle_seal_answer(const object_api::answer& answer) {
    if (std::holds_alternative<object_api::written>(answer)) {
        const base::result<decoded_head> decoded = decode_head(sealed_head_text_);
        return decoded ? load_sealed_head(*decoded) : seal_progress::unusable;
    }
    // Either the owner committed in between or the seal may have taken effect; read the head to find out.
    phase_ = phase::reading_head;
    return seal_progress::retry_needed;
}

seal_progress seal_job::load_sealed_head(const decoded_head& decoded) {
    phase_ = phase::reading_segments;
    sealed_head_text_.clear();
    record_.emplace(decoded.head.first_window);
    record_->add_entries(decoded.entries);
    for (const segment_range& range : decoded.head.segments) {
        // Prevents a malformed head from exhausting the memory.
        if (range.last < range.first || range.last - range.first >= max_segments - pending_segments_.size()) {
            return seal_progress::unusable;
        }
        const bool overlaps_window = range.oldest_window <= window_ && window_ <= range.newest_window;
        for (std::uint64_t n = range.first; overlaps_window && n <= range.last; ++n) {
            pending_segments_.push_back(segment_key(ledger_, n));
        }
    }
    return pending_segments_.empty() ? seal_progress::sealed : seal_progress::in_progress;
}

seal_progress seal_job::handle_segment_answer(const object_api::call& call,
                                              const object_api::answer& answer) {
    const object_api::object_key& key = std::get<object_api::read_object>(call).key;
    if (std::holds_alternative<object_api::not_found>(answer)) {
        return seal_progress::unusable;
    }
    const object_api::object* segment = std::get_if<object_api::object>(&answer);
    if (segment == nullptr) {
        pending_segments_.push_back(key);
        return seal_progress::retry_needed;
    }
    const base::result<std::vector<record_entry>> entries = decode_segment(segment->value);
    if (!entries) {
        return seal_progress::unusable;
    }
    record_->add_entries(*entries);
    return pending_segments_.empty() && in_flight_ == 0 ? seal_progress::sealed : seal_progress::in_progress;
}

sealed_record seal_job::take_record() {
    return std::move(*record_);
}

} // namespace rattanbay::ledger::internal
