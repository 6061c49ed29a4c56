#include "internal/compression.hpp"

#include <rattanbay/base/random_source.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace internal = rattanbay::daemon::internal;

BOOST_AUTO_TEST_SUITE(compression)

BOOST_AUTO_TEST_CASE(data_is_the_same_after_a_round_trip) {
    base::random_source random(1);
    for (const std::size_t size : {0U, 1U, 100U, 65'535U, 65'536U, 1'000'000U}) {
        std::string data;
        while (data.size() < size) {
            data += std::to_string(random.below(1000)) + ",";
        }
        data.resize(size);
        const base::result<std::string> copy = internal::decompress(internal::compress(data), size);
        BOOST_REQUIRE(copy.has_value());
        BOOST_TEST((*copy == data));
    }
}

// Guards against a short message that takes all memory.
BOOST_AUTO_TEST_CASE(large_malformed_and_truncated_data_is_rejected) {
    std::string spaces;
    spaces.resize(10'000'000, ' ');
    const std::string bomb = internal::compress(spaces);
    BOOST_TEST(bomb.size() < 100'000U);
    BOOST_CHECK(internal::decompress(bomb, 1'000'000).error().code == base::error_code::protocol_violation);
    BOOST_TEST(!internal::decompress(bomb.substr(0, bomb.size() / 2), 20'000'000).has_value());
    BOOST_TEST(!internal::decompress("no deflate stream", 1000).has_value());
    BOOST_TEST(!internal::decompress("", 1000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
