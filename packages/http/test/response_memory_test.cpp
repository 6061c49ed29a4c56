#include <rattanbay/http/response_memory.hpp>

#include <boost/test/unit_test.hpp>

#include <utility>

namespace base = rattanbay::base;
namespace http = rattanbay::http;

namespace {

constexpr std::size_t max_total = 100'000;
constexpr std::size_t max_response = 60'000;

} // namespace

BOOST_AUTO_TEST_SUITE(response_memory)

// Guards against one response that takes the memory of all.
BOOST_AUTO_TEST_CASE(one_response_is_bounded) {
    http::response_memory memory(max_total, max_response);
    http::response_memory::share share(memory);
    BOOST_TEST(share.resize(max_response).has_value());
    const base::result<void> too_large = share.resize(max_response + 1);
    BOOST_REQUIRE(!too_large.has_value());
    BOOST_CHECK(too_large.error().code == base::error_code::exhausted);
    BOOST_TEST(share.bytes() == max_response);
    BOOST_TEST(memory.used_bytes() == max_response);
}

// Guards against responses that are small enough one by one and too large together.
BOOST_AUTO_TEST_CASE(all_responses_together_are_bounded) {
    http::response_memory memory(max_total, max_response);
    http::response_memory::share first(memory);
    http::response_memory::share second(memory);
    BOOST_TEST(first.resize(max_response).has_value());
    BOOST_TEST(!second.resize(max_response).has_value());
    BOOST_TEST(second.resize(max_total - max_response).has_value());
    first.clear();
    BOOST_TEST(second.resize(max_response).has_value());
    BOOST_TEST(memory.used_bytes() == max_response);
}

// Guards against small responses of sound servers that fail because a faulty one has used up the memory.
BOOST_AUTO_TEST_CASE(small_responses_fit_when_the_memory_is_used_up) {
    http::response_memory memory(max_total, max_response);
    http::response_memory::share first(memory);
    http::response_memory::share second(memory);
    BOOST_TEST(first.resize(max_response).has_value());
    BOOST_TEST(second.resize(max_total - max_response).has_value());
    http::response_memory::share small(memory);
    BOOST_TEST(small.resize(http::response_memory::small_response_bytes).has_value());
    BOOST_TEST(!small.resize(http::response_memory::small_response_bytes + 1).has_value());
}

// Guards against memory that is never given back, or twice, when a share moves or ends.
BOOST_AUTO_TEST_CASE(memory_is_given_back_once) {
    http::response_memory memory(max_total, max_response);
    {
        http::response_memory::share first(memory);
        BOOST_TEST(first.resize(1000).has_value());
        http::response_memory::share second(std::move(first));
        BOOST_TEST(second.bytes() == 1000U);
        http::response_memory::share third(memory);
        BOOST_TEST(third.resize(500).has_value());
        third = std::move(second);
        BOOST_TEST(memory.used_bytes() == 1000U);
        BOOST_TEST(third.resize(10).has_value());
        BOOST_TEST(memory.used_bytes() == 10U);
    }
    BOOST_TEST(memory.used_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
