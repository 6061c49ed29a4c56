#include "findings.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config.hpp>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <set>

namespace base = rattanbay::base;
namespace config = rattanbay::config;

namespace {

std::string read_example(const std::string& name) {
    std::ifstream in(std::string(RATTANBAY_SOURCE_DIR) + "/examples/" + name);
    BOOST_REQUIRE(in.is_open());
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(examples)

// Guards against an example document that fails validation or whose documented tokens do not work.
BOOST_AUTO_TEST_CASE(the_example_document_is_valid) {
    const config::validation_result<config::environment_document> read =
        config::environment_document::parse(read_example("environment.jsonc"));
    BOOST_REQUIRE_MESSAGE(read.has_value(), format_findings(read));
    BOOST_TEST(read->pipelines.size() == 4U);
    BOOST_TEST(read->accounts.size() == 5U);
    BOOST_TEST(!read->pipelines.at(base::pipeline_name("book-meals")).idempotent());
    for (const auto& row : read->accounts) {
        const std::string token = base::sha256_hex("example-token-" + row.first.text());
        BOOST_CHECK(read->find_account_by_token(token) == &row.second);
    }
}

// Guards against example daemons with conflicting addresses or incomplete seed lists.
BOOST_AUTO_TEST_CASE(the_example_settings_are_valid_and_consistent) {
    std::vector<config::settings> all;
    std::set<base::address> own;
    std::set<base::address> peers;
    for (const std::string& domain : {std::string("a"), std::string("b"), std::string("c")}) {
        const config::validation_result<config::settings> read =
            config::settings::parse(read_example("settings-" + domain + ".jsonc"));
        BOOST_REQUIRE_MESSAGE(read.has_value(), format_findings(read));
        BOOST_TEST(read->failure_domain.text() == domain);
        own.insert({read->caller_address, read->peer_address, read->operator_address});
        peers.insert(read->peer_address);
        all.push_back(*read);
    }
    BOOST_TEST(own.size() == 9U);
    for (const config::settings& row : all) {
        BOOST_TEST(row.cluster_secret == all.front().cluster_secret);
        std::set<base::address> known(row.seed_peers.begin(), row.seed_peers.end());
        known.insert(row.peer_address);
        BOOST_CHECK(known == peers);
    }
}

BOOST_AUTO_TEST_SUITE_END()
