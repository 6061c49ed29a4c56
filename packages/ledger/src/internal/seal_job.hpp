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

/// Progress of sealing and reading a record.
enum class seal_progress {
    /// More calls are needed.
    in_progress,
    /// A call failed or conflicted with another write; the next one should be delayed.
    retry_needed,
    /// The record is sealed and all needed parts of it are read.
    sealed,
    /// The record is missing or malformed, so nothing is known about any key.
    unusable,
};

/// Seals the record of an unreachable owner and reads the entries of one window. Only one window is read, as
/// the entries of an hour of a busy owner do not fit into a daemon's memory.
class seal_job {
public:
    seal_job(base::incarnation ledger, std::uint64_t window, std::size_t max_concurrent_reads);

    /// Whether the record is known to be sealed in the platform.
    bool is_sealed() const { return phase_ == phase::reading_segments; }

    /// Starts and returns the next call that can be made in addition to those in flight, if any.
    std::optional<object_api::call> next_call();

    /// Processes the answer to `call`, which `next_call` returned.
    seal_progress handle_answer(const object_api::call& call, const object_api::answer& answer);

    /// Moves out the sealed record; valid once `handle_answer` returned `sealed`.
    sealed_record take_record();

private:
    seal_progress handle_head_answer(const object_api::answer& answer);
    seal_progress handle_seal_answer(const object_api::answer& answer);
    seal_progress handle_segment_answer(const object_api::call& call, const object_api::answer& answer);
    seal_progress load_sealed_head(const decoded_head& decoded);

    enum class phase { reading_head, sealing, reading_segments };

    base::incarnation ledger_;
    std::uint64_t window_;
    std::size_t max_concurrent_reads_;
    phase phase_ = phase::reading_head;
    std::size_t in_flight_ = 0;
    /// The head that was read, with `sealed` set, and its version before the seal.
    std::string sealed_head_text_;
    std::uint64_t head_version_ = 0;
    std::deque<object_api::object_key> pending_segments_;
    std::optional<sealed_record> record_;
};

} // namespace rattanbay::ledger::internal
