#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace rattanbay::ledger::test {

/// Checks a property with a fixed seed, so that every test run checks the same cases.
template <class Property> void check_with_seed(std::uint64_t seed, int case_count, Property property) {
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = case_count;
    const rc::detail::TestMetadata metadata{"property", "property"};
    const rc::detail::TestResult result = rc::detail::checkTestable(std::move(property), metadata, params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), message.str());
}

} // namespace rattanbay::ledger::test
