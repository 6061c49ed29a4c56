#include <rattanbay/base/hash.hpp>
#include <rattanbay/membership/eligibility.hpp>
#include <rattanbay/membership/scheduler_selection.hpp>

#include <algorithm>
#include <utility>

namespace rattanbay::membership {

std::vector<peer::member_record> select_schedulers(const std::vector<peer::member_record>& members,
                                                   const base::service_name& service, std::size_t max_count) {
    // Rendezvous hashing: the loss of a daemon reassigns only the services that it scheduled.
    std::vector<std::pair<base::hash128, const peer::member_record*>> ranked_members;
    for (const peer::member_record& member : members) {
        if (is_eligible(member)) {
            ranked_members.emplace_back(base::fast_hash(service.text() + "/" + member.peer_address.text()),
                                        &member);
        }
    }
    const std::size_t count = std::min(max_count, ranked_members.size());
    std::partial_sort(ranked_members.begin(), ranked_members.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked_members.end(),
                      [](const auto& one, const auto& other) { return other.first < one.first; });
    std::vector<peer::member_record> out;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back(*ranked_members[n].second);
    }
    return out;
}

} // namespace rattanbay::membership
