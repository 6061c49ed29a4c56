#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/environment_document.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace rattanbay::limits {

namespace internal {
struct account_state;
struct account_table;
} // namespace internal

/// Why a request of an account was refused.
enum class refusal_reason { unknown_account, rate, concurrency };

/// Describes a request that was not admitted.
struct refusal {
    refusal_reason reason = refusal_reason::rate;
    /// Delay after which a retry can succeed.
    base::duration retry_after{};
};

/// Concurrency slot of an admitted request; the destructor releases it.
class permit {
public:
    permit(permit&& other) noexcept = default;
    permit& operator=(permit&& other) noexcept;
    permit(const permit&) = delete;
    permit& operator=(const permit&) = delete;
    ~permit();

private:
    friend class account_limits;
    explicit permit(std::shared_ptr<internal::account_state> state);

    void release();

    std::shared_ptr<internal::account_state> state_;
};

/// Enforces the rate and concurrency limits of client accounts on this VM.
///
/// Thread safety: `admit`, `request_counts` and `in_progress` may be called concurrently; `configure` and
/// `set_observed_share` must be called by one thread at a time.
class account_limits {
public:
    account_limits();

    /// Applies the account limits of `document`, which `live_vms` VMs share (at least 1). This VM gets its
    /// observed share of each account's rate and concurrency (an even share until one is set) plus a
    /// quarter of an even share. Accounts that remain keep their counters and token buckets.
    void configure(const config::environment_document& document, std::size_t live_vms);

    /// Sets the fraction (0 to 1) of the account's total traffic that this VM receives, as reported by
    /// gossip. Unknown accounts are ignored.
    void set_observed_share(const base::account_id& account, double share);

    /// Returns a permit for one request of `account`, or why the request is refused.
    tl::expected<permit, refusal> admit(const base::account_id& account, base::time_point now);

    /// Number of requests that each account has sent to this VM, including refused ones. Gossip
    /// distributes these counts to compute the observed shares.
    std::map<base::account_id, std::uint64_t> request_counts() const;

    /// Number of requests of the account that are in progress on this VM.
    std::size_t in_progress(const base::account_id& account) const;

private:
    base::snapshot<internal::account_table> table_;
};

} // namespace rattanbay::limits

template <> struct rattanbay::base::enum_names<rattanbay::limits::refusal_reason> {
    static constexpr std::array<enum_name<limits::refusal_reason>, 3> table{{
        {limits::refusal_reason::unknown_account, "unknown_account"},
        {limits::refusal_reason::rate, "rate"},
        {limits::refusal_reason::concurrency, "concurrency"},
    }};
};
