#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rattanbay::ctl {

/// Event recorded by a daemon.
struct timeline_event {
    /// Wall-clock time of the daemon in microseconds since 1970. The clocks of VMs differ by some
    /// milliseconds.
    std::int64_t wall_us = 0;
    std::string vm;
    std::string incarnation;
    /// Request identifier; empty for events that belong to no request.
    std::string request;
    std::string event;
    nlohmann::json fields;
};

/// Merged events of several daemons.
struct timeline {
    /// Sorted by wall-clock time; events with equal times keep their order of insertion.
    std::vector<timeline_event> events;

    /// Daemon whose events could not be read.
    struct unavailable_daemon {
        base::address address;
        base::error reason;
    };

    std::vector<unavailable_daemon> unavailable_daemons;
};

/// Parses the events of one daemon; returns `protocol_violation` if one lacks a required member.
base::result<std::vector<timeline_event>> parse_events(const nlohmann::json& events);

/// Adds the events of one daemon, or records the daemon and the error if they could not be read.
void merge(timeline& merged, const base::address& address, base::result<std::vector<timeline_event>> events);

/// Formats a time as UTC with microseconds, for example "2026-12-04T08:10:00.123456Z".
std::string format_wall_time(std::int64_t wall_us);

} // namespace rattanbay::ctl
