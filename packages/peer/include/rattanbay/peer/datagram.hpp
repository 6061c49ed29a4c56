#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/object_api/evacuated_domains.hpp>
#include <rattanbay/object_api/vm_list_update.hpp>
#include <rattanbay/peer/member_record.hpp>
#include <rattanbay/relay/part_record.hpp>
#include <rattanbay/relay/stream_record.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace rattanbay::peer {

/// Requests an `ack` with the same nonce.
struct ping {
    std::uint64_t nonce = 0;
    member_record sender;
    std::vector<member_record> updates;
};

/// Reply to a `ping`.
struct ack {
    std::uint64_t nonce = 0;
    member_record sender;
    std::vector<member_record> updates;
};

/// Asks a member to ping `target` and to forward its `ack`; sent if a direct ping gets no reply.
struct indirect_ping {
    std::uint64_t nonce = 0;
    base::address target;
    member_record sender;
    std::vector<member_record> updates;
};

/// Reports that an endpoint crashed before it had begun to answer a request with these prompt parts.
struct crash_report {
    base::endpoint_id endpoint;
    std::vector<std::uint64_t> parts;
    /// Differs between crashes, so that the repetition of a report is recognised. 0 if the sender is of a
    /// version that sends none.
    std::uint64_t id = 0;
};

/// Reports that an endpoint has begun to answer a request with these prompt parts, which were suspects.
struct part_clearance {
    std::vector<std::uint64_t> parts;
};

/// Reports how many requests per second an endpoint takes from all daemons together, or that it has no limit
/// any more.
struct limit_report {
    base::endpoint_id endpoint;
    std::optional<double> requests_per_second;
};

/// Tells the other daemons of a failure domain of changes of the VM list.
struct vm_list_notice {
    object_api::vm_list_update update;
};

/// Tells the other daemons which failure domains are evacuated.
struct evacuation_notice {
    object_api::evacuation_state state;
};

/// Tells what the sender knows of suspected and quarantined prompt parts.
struct part_notice {
    std::vector<relay::part_record> records;
};

/// Reports endpoints that were found to be cold, or could not be reached and may start again, and the time
/// for which each is presumed to be cold, in milliseconds.
struct cold_report {
    std::vector<base::endpoint_id> endpoints;
    std::vector<std::uint64_t> left_ms;
};

/// Tells the daemon that collects the speed of some engines how slow streams there were. The elements have
/// the form of `relay::engine_slowness::packed`.
struct speed_samples {
    std::vector<std::uint32_t> samples;
};

/// Announces the speeds of engines, in the same form.
struct speed_announcement {
    /// Whether the receiver passes it on to other daemons.
    bool pass_on = false;
    std::vector<std::uint32_t> engines;
};

/// Tells a daemon that is asked for the origins of streams where some began.
struct stream_notice {
    std::vector<relay::stream_record> records;
};

using datagram = std::variant<ping, ack, indirect_ping, crash_report, part_clearance, limit_report,
                              vm_list_notice, evacuation_notice, part_notice, cold_report, speed_samples,
                              speed_announcement, stream_notice>;

} // namespace rattanbay::peer
