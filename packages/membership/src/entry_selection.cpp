#include <rattanbay/membership/eligibility.hpp>
#include <rattanbay/membership/entry_selection.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::membership {

namespace {

struct candidate {
    const peer::member_record* member = nullptr;
    double rank = 0;
};

/// Exponentially distributed random rank with the weight as its rate. Sorting by rank is weighted sampling
/// without replacement.
double random_rank(const peer::member_record& member, base::random_source& random) {
    constexpr double load_at_half_weight = 16;
    const double weight = 1 / (1 + member.load / load_at_half_weight);
    return -std::log(1 - random.unit()) / weight;
}

/// Returns up to `max_count` eligible members, best first.
std::vector<peer::member_record> select(const std::vector<peer::member_record>& members,
                                        std::size_t max_count, base::random_source& random) {
    std::vector<candidate> candidates;
    std::uint64_t newest = 0;
    for (const peer::member_record& member : members) {
        if (is_eligible(member)) {
            candidates.push_back(candidate{&member, random_rank(member, random)});
            newest = std::max(newest, member.revision);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [newest](const candidate& one, const candidate& other) {
        const bool one_old = one.member->revision < newest;
        const bool other_old = other.member->revision < newest;
        return one_old != other_old ? other_old : one.rank < other.rank;
    });
    std::vector<peer::member_record> chosen;
    for (const candidate& next : candidates) {
        if (chosen.size() < max_count) {
            chosen.push_back(*next.member);
        }
    }
    return chosen;
}

} // namespace

std::vector<peer::member_record> select_entries(const std::vector<peer::member_record>& members,
                                                base::random_source& random) {
    return select(members, max_entries, random);
}

std::vector<peer::member_record> select_entries_near(const std::vector<peer::member_record>& members,
                                                     const base::failure_domain& domain,
                                                     base::random_source& random) {
    constexpr std::size_t min_local_entries = 2;
    const std::vector<peer::member_record> all = select(members, max_spread_entries, random);
    std::vector<peer::member_record> local_entries;
    for (const peer::member_record& member : all) {
        if (member.failure_domain == domain) {
            local_entries.push_back(member);
        }
    }
    return local_entries.size() >= min_local_entries ? local_entries : all;
}

} // namespace rattanbay::membership
