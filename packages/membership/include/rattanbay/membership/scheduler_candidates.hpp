#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rattanbay::membership {

/// Time after its start in which a daemon schedules no worker pool, as it may not know the members yet.
constexpr std::chrono::seconds scheduler_settling_time{1};

/// How an attempt to give a stage to another daemon ended.
enum class scheduler_contact {
    /// It took the stage.
    accepted,
    /// No process listens at its address.
    refused,
    /// It gave no answer in time, or the connection broke.
    silent,
    /// It does not schedule the pool: it has just started, is stopping, or another daemon does.
    handed_back,
};

/// What the plan of a pool is for.
enum class plan_purpose {
    /// To find the daemon to which a stage is given.
    routing,
    /// To find the endpoints that this daemon calls.
    ownership,
};

/// Selects the members among which a daemon divides a worker pool: the eligible members without those that
/// the daemon has found not to schedule it. Without this, the daemons whose scheduler was lost together with
/// its fallbacks schedule the pool each for themselves until the failure detector has found the losses.
///
/// A daemon that is silent towards this one may still be heard by others and call its endpoints, so that
/// silence changes only where stages are given. Each finding is this daemon's own and ends by itself. Not
/// thread-safe.
class scheduler_candidates {
public:
    /// A daemon that knows no seeds has nobody to learn the members from and is settled at once.
    scheduler_candidates(base::incarnation self, base::time_point start, bool has_seeds);

    /// Records the end of an attempt to give a stage of a service to a member. Returns the time for which
    /// the member is left out because of it; nothing if it already was, or is not.
    std::optional<base::duration> record(const base::incarnation& member, const base::service_name& service,
                                         scheduler_contact contact, base::time_point now);

    /// Records the members that this daemon knows, whatever their state. A process that is seen for the first
    /// time is no candidate for the settling time, as it gives stages back in it. Those that this daemon
    /// learns of within two settling times after its own start may have been there before.
    void observe(const std::vector<peer::member_record>& members, base::time_point now);

    /// Whether this daemon has been there for long enough to know the members.
    bool is_settled(base::time_point now) const { return now >= settled_at_; }

    /// Members among which the pool of a service is divided.
    std::vector<peer::member_record> select(const std::vector<peer::member_record>& members,
                                            const base::service_name& service, plan_purpose purpose,
                                            base::time_point now) const;

    /// Removes findings that have ended. Returns the number of changes of `select` so far.
    std::uint64_t refresh(base::time_point now);

private:
    struct finding {
        scheduler_contact contact = scheduler_contact::silent;
        base::time_point end;
    };

    /// Member and service; the service is empty for findings that hold for all services.
    using finding_key = std::pair<base::incarnation, base::service_name>;

    bool is_left_out(const finding_key& key, plan_purpose purpose, base::time_point now) const;

    const base::incarnation self_;
    const base::time_point settled_at_;
    std::map<finding_key, finding> findings_;
    std::set<base::incarnation> known_;
    /// End of the settling time of members that have just started.
    std::map<base::incarnation, base::time_point> settling_;
    std::uint64_t changes_ = 0;
    bool was_settled_ = false;
};

} // namespace rattanbay::membership

template <> struct rattanbay::base::enum_names<rattanbay::membership::scheduler_contact> {
    static constexpr std::array<enum_name<membership::scheduler_contact>, 4> table{{
        {membership::scheduler_contact::accepted, "accepted"},
        {membership::scheduler_contact::refused, "refused"},
        {membership::scheduler_contact::silent, "silent"},
        {membership::scheduler_contact::handed_back, "handed_back"},
    }};
};
