#include <rattanbay/membership/eligibility.hpp>
#include <rattanbay/membership/scheduler_candidates.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattanbay::membership {

namespace {

/// Time for which a member is left out at whose address no process listens. The failure detector finds the
/// loss within this time; a new process at the address has another identity.
constexpr std::chrono::seconds refused_time{5};
constexpr std::chrono::seconds silent_time{1};
/// Shorter than the settling time, so that daemons that start together are found to schedule soon after it.
constexpr std::chrono::milliseconds handed_back_time{200};

base::duration exclusion_time(scheduler_contact contact) {
    switch (contact) {
    case scheduler_contact::refused:
        return refused_time;
    case scheduler_contact::handed_back:
        return handed_back_time;
    case scheduler_contact::accepted:
    case scheduler_contact::silent:
        break;
    }
    return silent_time;
}

} // namespace

scheduler_candidates::scheduler_candidates(base::incarnation self, base::time_point start, bool has_seeds)
    : self_(self)
    , settled_at_(has_seeds ? start + scheduler_settling_time : start) {}

std::optional<base::duration> scheduler_candidates::record(const base::incarnation& member,
                                                           const base::service_name& service,
                                                           scheduler_contact contact, base::time_point now) {
    const bool is_for_service = contact == scheduler_contact::handed_back;
    if (contact == scheduler_contact::accepted) {
        const std::size_t removed =
            findings_.erase({member, base::service_name()}) + findings_.erase({member, service});
        changes_ += removed > 0 ? 1 : 0;
        return std::nullopt;
    }
    const base::duration length = exclusion_time(contact);
    finding& row = findings_[{member, is_for_service ? service : base::service_name()}];
    const bool is_known = row.end > now && row.contact == contact;
    // A refusal tells more than the silence of another connection.
    if (row.end > now && row.contact == scheduler_contact::refused) {
        return std::nullopt;
    }
    row = finding{contact, now + length};
    changes_ += is_known ? 0 : 1;
    return is_known ? std::nullopt : std::optional<base::duration>(length);
}

void scheduler_candidates::observe(const std::vector<peer::member_record>& members, base::time_point now) {
    // In the first second after it has settled, a daemon may still learn of members that were there before.
    const bool knows_members = now >= settled_at_ + scheduler_settling_time;
    std::set<base::incarnation> seen;
    for (const peer::member_record& member : members) {
        seen.insert(member.id);
        if (knows_members && !known_.contains(member.id) && member.id != self_) {
            settling_[member.id] = now + scheduler_settling_time;
            ++changes_;
        }
    }
    known_ = std::move(seen);
}

bool scheduler_candidates::is_left_out(const finding_key& key, plan_purpose purpose,
                                       base::time_point now) const {
    const auto it = findings_.find(key);
    const bool is_current = it != findings_.end() && it->second.end > now;
    return is_current &&
           (purpose == plan_purpose::routing || it->second.contact != scheduler_contact::silent);
}

std::vector<peer::member_record> scheduler_candidates::select(const std::vector<peer::member_record>& members,
                                                              const base::service_name& service,
                                                              plan_purpose purpose,
                                                              base::time_point now) const {
    std::vector<peer::member_record> out;
    std::copy_if(members.begin(), members.end(), std::back_inserter(out),
                 [this, &service, purpose, now](const peer::member_record& member) {
                     if (member.id == self_) {
                         return is_eligible(member) && is_settled(now);
                     }
                     const auto settling = settling_.find(member.id);
                     return is_eligible(member) && (settling == settling_.end() || settling->second <= now) &&
                            !is_left_out({member.id, base::service_name()}, purpose, now) &&
                            !is_left_out({member.id, service}, purpose, now);
                 });
    return out;
}

std::uint64_t scheduler_candidates::refresh(base::time_point now) {
    const bool settles = is_settled(now) && !was_settled_;
    // Daemons that started together settle together. What they handed back to each other before would make
    // each of them the scheduler by its own view.
    const std::size_t ended = std::erase_if(findings_, [now, settles](const auto& row) {
        return row.second.end <= now || (settles && row.second.contact == scheduler_contact::handed_back);
    });
    const std::size_t settled =
        std::erase_if(settling_, [now](const auto& row) { return row.second <= now; });
    changes_ += ended > 0 || settled > 0 || settles ? 1 : 0;
    was_settled_ = was_settled_ || settles;
    return changes_;
}

} // namespace rattanbay::membership
