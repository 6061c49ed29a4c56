#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/telemetry/log.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace rattanbay::telemetry {

/// Kinds of timeline events.
enum class timeline_event {
    request_accepted,
    request_forwarded,
    request_joined,
    attempt_started,
    attempt_ended,
    attempt_cancelled,
    stage_completed,
    request_completed,
    request_ended_with_problem,
    key_recorded,
    owner_sealed,
    document_adopted,
    member_changed,
    drain_started,
};

/// One recorded event.
struct timeline_entry {
    /// Wall clock time in microseconds since the Unix epoch; the clocks of VMs differ by their
    /// synchronisation error.
    std::int64_t wall_us = 0;
    /// Empty for events of the daemon itself.
    base::request_id request;
    timeline_event event = timeline_event::request_accepted;
    event_fields fields;
};

/// Bounded buffer of the most recent events of one daemon. Safe for use from several threads.
class timeline {
public:
    explicit timeline(std::size_t capacity);

    /// Adds an entry; when the buffer is full, the oldest entry is dropped.
    void record(timeline_entry entry);

    /// Entries of one request, oldest first.
    std::vector<timeline_entry> find_by_request(const base::request_id& request) const;

    /// Entries with a wall clock time in [since_us, until_us), oldest first.
    std::vector<timeline_entry> find_by_time(std::int64_t since_us, std::int64_t until_us) const;

private:
    template <class Predicate> std::vector<timeline_entry> filter(Predicate matches) const;

    mutable std::mutex mutex_;
    std::size_t capacity_;
    std::deque<timeline_entry> entries_;
};

/// Current wall clock time in microseconds since the Unix epoch.
std::int64_t wall_clock_us();

} // namespace rattanbay::telemetry

template <> struct rattanbay::base::enum_names<rattanbay::telemetry::timeline_event> {
    static constexpr std::array<enum_name<telemetry::timeline_event>, 14> table{{
        {telemetry::timeline_event::request_accepted, "request_accepted"},
        {telemetry::timeline_event::request_forwarded, "request_forwarded"},
        {telemetry::timeline_event::request_joined, "request_joined"},
        {telemetry::timeline_event::attempt_started, "attempt_started"},
        {telemetry::timeline_event::attempt_ended, "attempt_ended"},
        {telemetry::timeline_event::attempt_cancelled, "attempt_cancelled"},
        {telemetry::timeline_event::stage_completed, "stage_completed"},
        {telemetry::timeline_event::request_completed, "request_completed"},
        {telemetry::timeline_event::request_ended_with_problem, "request_ended_with_problem"},
        {telemetry::timeline_event::key_recorded, "key_recorded"},
        {telemetry::timeline_event::owner_sealed, "owner_sealed"},
        {telemetry::timeline_event::document_adopted, "document_adopted"},
        {telemetry::timeline_event::member_changed, "member_changed"},
        {telemetry::timeline_event::drain_started, "drain_started"},
    }};
};
