#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/object_api/store_revision.hpp>

#include <cstdint>

namespace rattanbay::peer {

/// State of a member as seen by other daemons. For equal sequence numbers, the larger value takes precedence.
enum class member_status : std::uint8_t { live = 0, suspect = 1, gone = 2 };

/// Description of one daemon, as disseminated by the membership protocol.
struct member_record {
    base::incarnation id;
    base::vm_id vm;
    base::failure_domain failure_domain;
    base::address peer_address;
    base::address caller_address;
    /// Increased only by the member itself, when its record changes or to refute a suspicion.
    std::uint64_t sequence = 0;
    member_status status = member_status::live;
    bool draining = false;
    /// Revision of the document in force at the member; 0 if it has none.
    std::uint64_t revision = 0;
    /// Number of requests in progress at the member. A change does not increase `sequence`.
    std::uint32_t load = 0;
    /// Ledger identifier, window and record class of the key prefixes that the member issues.
    base::incarnation ledger;
    std::uint64_t ledger_window = 0;
    bool ledger_recorded = false;
    /// Revision of the newest change in the VM list in use at the member; unset if it has none. A change does
    /// not increase `sequence`.
    object_api::store_revision vm_list_change;
    /// Processor capacity of the member's VM in hundredths of a core; 0 if it is unknown.
    std::uint32_t processor_percent = 0;

    friend bool operator==(const member_record&, const member_record&) = default;
};

} // namespace rattanbay::peer

template <> struct rattanbay::base::enum_names<rattanbay::peer::member_status> {
    static constexpr std::array<enum_name<peer::member_status>, 3> table{{
        {peer::member_status::live, "live"},
        {peer::member_status::suspect, "suspect"},
        {peer::member_status::gone, "gone"},
    }};
};
