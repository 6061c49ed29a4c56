#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::emulator {

/// One entry VM.
struct entry {
    base::address address;
    base::failure_domain failure_domain;
    /// Prefix of the idempotency keys that this VM may execute.
    std::string key_prefix;
};

/// Answer of `GET /v1/entries`, best entry first.
struct entry_list {
    std::vector<entry> entries;
    /// How long a caller may use the list.
    base::duration max_age{};

    /// Parses a response body. Errors: `invalid_input`, also for an empty list.
    static base::result<entry_list> parse(std::string_view text);
};

} // namespace rattanbay::emulator
