#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/incarnation.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::ledger {

/// Whether a key must be committed to its incarnation's record before its request runs.
enum class record_class { recorded, unrecorded };

/// Prefix of idempotency keys. Identifies the only incarnation that may run their requests.
struct key_prefix {
    record_class recording = record_class::recorded;
    /// Ledger identifier of the daemon that issued the prefix.
    base::incarnation incarnation;
    /// Number of the time window in which the prefix was issued.
    std::uint64_t window = 0;
    /// Address at which that daemon accepts connections from other daemons.
    base::address peer_address;

    /// Text form without the authentication code; equal prefixes have equal texts.
    std::string unsigned_text() const;

    /// Text form followed by its message authentication code.
    std::string signed_text(std::string_view cluster_secret) const;

    /// Parses the signed text. Fails with `invalid_input` if it is malformed and with `permission_denied` if
    /// its authentication code is wrong.
    static base::result<key_prefix> parse(std::string_view text, std::string_view cluster_secret);

    friend bool operator==(const key_prefix&, const key_prefix&) = default;
};

/// An idempotency key: a prefix issued by a daemon and a suffix chosen by the caller.
struct key {
    key_prefix prefix;
    /// 8 to 64 characters of [A-Za-z0-9_-].
    std::string suffix;

    /// Parses "<prefix>.<suffix>"; fails like `key_prefix::parse`.
    static base::result<key> parse(std::string_view text, std::string_view cluster_secret);
};

} // namespace rattanbay::ledger

template <> struct rattanbay::base::enum_names<rattanbay::ledger::record_class> {
    static constexpr std::array<enum_name<ledger::record_class>, 2> table{{
        {ledger::record_class::recorded, "r"},
        {ledger::record_class::unrecorded, "u"},
    }};
};
