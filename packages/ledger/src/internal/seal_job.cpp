#include "internal/seal_job.hpp"

#include <cassert>
#include <utility>

namespace rattanbay::ledger::internal {

namespace {

/// A head that names more segments is damaged; an hour at 1,000 bookings per second fills 20,000.
constexpr std::size_t max_segments = 100'000;

} // namespace

seal_job::seal_job(base::incarnation ledger, std::uint64_t window, std::size_t parallel_reads)
    : ledger_(ledger)
    , window_(window)
    , parallel_reads_(parallel_reads) {}

std::optional<object_api::call> seal_job::next_call() {
    if (phase_ == phase::collecting) {
        if (segments_.empty() || in_flight_ >= parallel_reads_) {
            return std::nullopt;
        }
        ++in_flight_;
        const object_api::object_key key = segments_.front();
        segments_.pop_front();
        return object_api::read_object{key};
    }
    if (in_flight_ > 0) {
        return std::nullopt;
    }
    ++in_flight_;
    if (phase_ == phase::reading) {
        return object_api::read_object{head_key(ledger_)};
    }
    return object_api::write_object{head_key(ledger_), version_, sealed_text_};
}

seal_progress seal_job::answered(const object_api::call& asked, const object_api::answer& given) {
    assert(in_flight_ > 0);
    --in_flight_;
    switch (phase_) {
    case phase::reading:
        return head_answered(given);
    case phase::sealing:
        return seal_answered(given);
    case phase::collecting:
        break;
    }
    return segment_answered(asked, given);
}

seal_progress seal_job::head_answered(const object_api::answer& given) {
    if (std::holds_alternative<object_api::not_found>(given)) {
        return seal_progress::unusable;
    }
    const object_api::object* head = std::get_if<object_api::object>(&given);
    if (head == nullptr) {
        return seal_progress::held_up;
    }
    const base::result<record> read = decode_head(head->value);
    if (!read) {
        return seal_progress::unusable;
    }
    if (read->head.sealed) {
        return head_sealed(*read);
    }
    // A copy that is older than the record is harmless: the seal is conditional on its version.
    version_ = head->version;
    sealed_text_ = encode_sealed(head->value);
    phase_ = phase::sealing;
    return seal_progress::going_on;
}

seal_progress seal_job::seal_answered(const object_api::answer& given) {
    if (std::holds_alternative<object_api::written>(given)) {
        const base::result<record> written = decode_head(sealed_text_);
        return written ? head_sealed(*written) : seal_progress::unusable;
    }
    // The owner committed in between, or the seal may have taken effect: the head tells.
    phase_ = phase::reading;
    return seal_progress::held_up;
}

seal_progress seal_job::head_sealed(const record& head) {
    phase_ = phase::collecting;
    sealed_text_.clear();
    record_.emplace(head.head.first_window);
    record_->add(head.entries);
    for (const segment_range& range : head.head.segments) {
        // Checked so that a damaged head cannot fill the memory.
        if (range.last < range.first || range.last - range.first >= max_segments - segments_.size()) {
            return seal_progress::unusable;
        }
        const bool concerned = range.oldest <= window_ && window_ <= range.newest;
        for (std::uint64_t n = range.first; concerned && n <= range.last; ++n) {
            segments_.push_back(segment_key(ledger_, n));
        }
    }
    return segments_.empty() ? seal_progress::sealed : seal_progress::going_on;
}

seal_progress seal_job::segment_answered(const object_api::call& asked, const object_api::answer& given) {
    const object_api::object_key& key = std::get<object_api::read_object>(asked).key;
    if (std::holds_alternative<object_api::not_found>(given)) {
        return seal_progress::unusable;
    }
    const object_api::object* segment = std::get_if<object_api::object>(&given);
    if (segment == nullptr) {
        segments_.push_back(key);
        return seal_progress::held_up;
    }
    const base::result<std::vector<record_entry>> entries = decode_segment(segment->value);
    if (!entries) {
        return seal_progress::unusable;
    }
    record_->add(*entries);
    return segments_.empty() && in_flight_ == 0 ? seal_progress::sealed : seal_progress::going_on;
}

sealed_record seal_job::take_record() {
    return std::move(*record_);
}

} // namespace rattanbay::ledger::internal
