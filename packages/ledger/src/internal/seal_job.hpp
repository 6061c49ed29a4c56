#pragma once

#include "internal/sealed_record.hpp"

#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/ledger/reply.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::ledger::internal {

/// How far the seal of one lost owner's record is.
enum class seal_progress {
    /// More calls are to be made.
    going_on,
    /// A call failed or met a conflict; the next one should wait.
    held_up,
    /// The whole sealed record is known.
    sealed,
    /// The record is absent or damaged and says nothing about any key.
    unusable,
};

/// Seals the record of one lost owner and reads what it says about the keys of one window. A window
/// is read by itself, as an hour of a busy owner does not fit into a daemon's memory.
class seal_job {
public:
    seal_job(base::incarnation ledger, std::uint64_t window, std::size_t parallel_reads);

    /// Whether the record is known to be sealed.
    bool is_sealed() const { return phase_ == phase::collecting; }

    /// The next call that can be made besides those in flight, if any.
    std::optional<object_api::call> next_call();

    /// Takes the answer to `asked`, which `next_call` gave.
    seal_progress answered(const object_api::call& asked, const object_api::answer& given);

    /// The sealed record, once `answered` said that it is sealed.
    sealed_record take_record();

private:
    seal_progress head_answered(const object_api::answer& given);
    seal_progress seal_answered(const object_api::answer& given);
    seal_progress segment_answered(const object_api::call& asked, const object_api::answer& given);
    seal_progress head_sealed(const record& head);

    enum class phase { reading, sealing, collecting };

    base::incarnation ledger_;
    std::uint64_t window_;
    std::size_t parallel_reads_;
    phase phase_ = phase::reading;
    std::size_t in_flight_ = 0;
    /// The head that was read, as it will be with `sealed` set, and the version it had.
    std::string sealed_text_;
    std::uint64_t version_ = 0;
    std::deque<object_api::object_key> segments_;
    std::optional<sealed_record> record_;
};

} // namespace rattanbay::ledger::internal
