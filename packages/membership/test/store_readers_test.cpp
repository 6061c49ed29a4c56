#include <rattanbay/membership.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace base = rattanbay::base;
namespace membership = rattanbay::membership;
namespace peer = rattanbay::peer;

namespace {

std::vector<peer::member_record> members_of(std::size_t domains, std::size_t per_domain) {
    base::random_source random(7);
    std::vector<peer::member_record> out;
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::size_t n = 0; n < per_domain; ++n) {
            peer::member_record row;
            row.id = base::incarnation::generate(random);
            row.failure_domain = base::failure_domain("domain-" + std::to_string(domain));
            row.peer_address = {{10, 0, static_cast<std::uint8_t>(domain), static_cast<std::uint8_t>(n)},
                                7000};
            row.revision = 1;
            out.push_back(row);
        }
    }
    return out;
}

/// Readers by failure domain, when all daemons have the same view.
std::map<base::failure_domain, std::vector<base::incarnation>>
readers_of(const std::vector<peer::member_record>& members) {
    std::map<base::failure_domain, std::vector<base::incarnation>> out;
    for (const peer::member_record& member : members) {
        if (member.status == peer::member_status::live && membership::is_store_reader(members, member.id)) {
            out[member.failure_domain].push_back(member.id);
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_readers)

// Guards against calls to the store that grow with the fleet, and against a domain without a reader.
BOOST_AUTO_TEST_CASE(each_domain_has_a_few_readers) {
    const auto readers = readers_of(members_of(6, 49));
    BOOST_TEST(readers.size() == 6U);
    for (const auto& row : readers) {
        BOOST_TEST(row.second.size() == membership::store_readers_per_domain);
    }
    // Small installations read as if there was no such role.
    std::size_t small_count = 0;
    for (const auto& row : readers_of(members_of(4, 2))) {
        small_count += row.second.size();
    }
    BOOST_TEST(small_count == 8U);
}

// Guards against a loss after which nobody reads for a domain, or after which all readers change.
BOOST_AUTO_TEST_CASE(a_lost_reader_is_replaced) {
    std::vector<peer::member_record> members = members_of(1, 20);
    const std::vector<base::incarnation> before = readers_of(members).begin()->second;
    const auto lost = std::ranges::find(members, before.front(), &peer::member_record::id);
    for (const auto& change :
         {std::pair(peer::member_status::suspect, false), std::pair(peer::member_status::gone, false),
          std::pair(peer::member_status::live, true)}) {
        lost->status = change.first;
        lost->draining = change.second;
        std::vector<base::incarnation> after = readers_of(members).begin()->second;
        // A draining daemon reads for itself, as long as it has requests.
        std::erase(after, lost->id);
        BOOST_TEST(after.size() == membership::store_readers_per_domain);
        const auto kept = std::ranges::count_if(
            after, [&before](const base::incarnation& id) { return std::ranges::count(before, id) > 0; });
        BOOST_TEST(kept == static_cast<std::ptrdiff_t>(membership::store_readers_per_domain) - 1);
    }
}

// Guards against a starting daemon that waits for others, and against one that is not in its own view.
BOOST_AUTO_TEST_CASE(a_daemon_without_a_document_reads_for_itself) {
    std::vector<peer::member_record> members = members_of(1, 20);
    const std::vector<base::incarnation> readers = readers_of(members).begin()->second;
    const auto other = std::ranges::find_if(members, [&readers](const peer::member_record& row) {
        return std::ranges::count(readers, row.id) == 0;
    });
    BOOST_TEST(!membership::is_store_reader(members, other->id));
    other->revision = 0;
    BOOST_TEST(membership::is_store_reader(members, other->id));
    BOOST_TEST(membership::is_store_reader(members, base::incarnation()));
    BOOST_TEST(membership::is_store_reader({}, base::incarnation()));
}

// Guards against updates for other domains, for the daemon itself or for daemons that have left.
BOOST_AUTO_TEST_CASE(neighbours_are_the_other_daemons_of_the_domain) {
    std::vector<peer::member_record> members = members_of(2, 4);
    members[1].status = peer::member_status::gone;
    members[2].status = peer::member_status::suspect;
    const std::vector<base::address> expected{members[2].peer_address, members[3].peer_address};
    BOOST_CHECK(membership::domain_neighbours(members, members[0].id) == expected);
}

BOOST_AUTO_TEST_SUITE_END()
