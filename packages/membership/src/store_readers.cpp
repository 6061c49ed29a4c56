#include <rattanbay/membership/eligibility.hpp>
#include <rattanbay/membership/scheduler_selection.hpp>
#include <rattanbay/membership/store_readers.hpp>

#include <algorithm>
#include <iterator>

namespace rattanbay::membership {

namespace {

/// Name of the role for the rendezvous hashing.
const base::service_name reader_role("store-reader");

std::vector<peer::member_record> domain_members(const std::vector<peer::member_record>& members,
                                                const base::incarnation& self) {
    std::vector<peer::member_record> out;
    const auto own = std::ranges::find(members, self, &peer::member_record::id);
    if (own != members.end()) {
        std::ranges::copy_if(members, std::back_inserter(out), [&own](const peer::member_record& member) {
            return member.failure_domain == own->failure_domain;
        });
    }
    return out;
}

} // namespace

bool is_store_reader(const std::vector<peer::member_record>& members, const base::incarnation& self) {
    const std::vector<peer::member_record> candidates = domain_members(members, self);
    const auto own = std::ranges::find(candidates, self, &peer::member_record::id);
    if (own == candidates.end() || !is_eligible(*own)) {
        return true;
    }
    const std::vector<peer::member_record> readers =
        select_schedulers(candidates, reader_role, store_readers_per_domain);
    return std::ranges::any_of(readers, [&self](const peer::member_record& row) { return row.id == self; });
}

std::vector<base::address> domain_neighbours(const std::vector<peer::member_record>& members,
                                             const base::incarnation& self) {
    std::vector<base::address> out;
    for (const peer::member_record& member : domain_members(members, self)) {
        if (member.id != self && member.status != peer::member_status::gone) {
            out.push_back(member.peer_address);
        }
    }
    return out;
}

} // namespace rattanbay::membership
