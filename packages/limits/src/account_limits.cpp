#include <rattanbay/limits/account_limits.hpp>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <cmath>
#include <optional>

namespace rattanbay::limits {

namespace {

/// Fraction of an even share that each VM may admit beyond its own share, because gossip reports traffic
/// shifts with a delay. All VMs together admit at most 1.25 times the rate for any distribution of callers.
constexpr double share_margin = 0.25;
/// A slot can become free at any time; the delay only prevents callers from polling.
constexpr base::duration concurrency_retry_after = std::chrono::milliseconds(100);
/// Retry delay for refusals that last until a new document is applied.
constexpr base::duration document_retry_after = std::chrono::seconds(10);
/// In requests per second. Lower rates are treated as 0, so that the wait for a token fits a duration.
constexpr double min_rate = 1e-6;
constexpr double microseconds_per_second = 1e6;
constexpr double milliseconds_per_second = 1e3;

/// Layout of a token bucket packed into 64 bits: time of the last admission in milliseconds (36 bits, two
/// years) and the tokens left at that time in units of 1/256 (28 bits, a million tokens).
constexpr unsigned token_bits = 28;
constexpr std::uint64_t max_token_units = (std::uint64_t{1} << token_bits) - 1;
constexpr double units_per_token = 256;

struct bucket {
    std::int64_t updated_ms = 0;
    double tokens = 0;
};

bucket unpack(std::uint64_t packed) {
    return {static_cast<std::int64_t>(packed >> token_bits),
            static_cast<double>(packed & max_token_units) / units_per_token};
}

/// Rounds tokens down, so that rounding never admits more than the limit.
std::uint64_t pack(const bucket& value) {
    const auto units = static_cast<std::uint64_t>(value.tokens * units_per_token);
    return (static_cast<std::uint64_t>(value.updated_ms) << token_bits) | std::min(units, max_token_units);
}

} // namespace

namespace internal {

/// Limits and counters of one account. One thread updates the limits, and readers load them individually,
/// so a reader may see the rate of one document with the burst of the next.
struct account_state {
    /// Tokens per second; 0 admits nothing.
    std::atomic<double> rate{0};
    std::atomic<double> burst{0};
    std::atomic<std::size_t> concurrency{0};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<std::uint64_t> request_count{0};
    /// Packed token bucket; 0 stands for a full bucket before the first request. It stores tokens rather
    /// than a refill time, because the rate changes with the observed share and a token is always one
    /// request.
    std::atomic<std::uint64_t> tokens{0};

    /// Accessed only by the thread that configures the limits.
    config::account limits;
    std::optional<double> observed_share;

    void update_limits(std::size_t live_vms) {
        const double even_share = 1 / static_cast<double>(live_vms);
        const double share = observed_share.value_or(even_share) + share_margin * even_share;
        const double local_rate = limits.requests_per_second * std::min(share, 1.0);
        rate.store(local_rate >= min_rate ? local_rate : 0);
        burst.store(limits.burst);
        const double local_concurrency =
            std::ceil(static_cast<double>(limits.max_concurrency) * std::min(share, 1.0));
        concurrency.store(static_cast<std::size_t>(local_concurrency));
    }

    bool try_acquire_slot() {
        std::size_t n = in_progress.load(std::memory_order_relaxed);
        do {
            if (n >= concurrency.load(std::memory_order_relaxed)) {
                return false;
            }
        } while (!in_progress.compare_exchange_weak(n, n + 1, std::memory_order_relaxed));
        return true;
    }

    /// Takes one token; returns the wait until one is available if the bucket holds less.
    std::optional<base::duration> try_take_token(base::time_point now) {
        const double tokens_per_second = rate.load(std::memory_order_relaxed);
        const double capacity = burst.load(std::memory_order_relaxed);
        if (tokens_per_second == 0 || capacity < 1) {
            return document_retry_after;
        }
        const std::int64_t now_ms =
            std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count();
        std::uint64_t packed = tokens.load(std::memory_order_relaxed);
        std::uint64_t next = 0;
        do {
            bucket current = packed == 0 ? bucket{now_ms, capacity} : unpack(packed);
            const auto elapsed = static_cast<double>(std::max<std::int64_t>(0, now_ms - current.updated_ms));
            current.tokens =
                std::min(capacity, current.tokens + elapsed * tokens_per_second / milliseconds_per_second);
            if (current.tokens < 1) {
                const double wait = (1 - current.tokens) / tokens_per_second * microseconds_per_second;
                return base::duration(static_cast<std::int64_t>(std::ceil(wait))) +
                       std::chrono::milliseconds(1);
            }
            next = pack({std::max(current.updated_ms, now_ms), current.tokens - 1});
        } while (!tokens.compare_exchange_weak(packed, next, std::memory_order_relaxed));
        return std::nullopt;
    }
};

struct account_table {
    std::size_t live_vms = 1;
    std::map<base::account_id, std::shared_ptr<account_state>> accounts;

    account_state* find(const base::account_id& account) const {
        const auto it = accounts.find(account);
        return it == accounts.end() ? nullptr : it->second.get();
    }
};

} // namespace internal

permit::permit(std::shared_ptr<internal::account_state> state)
    : state_(std::move(state)) {}

permit& permit::operator=(permit&& other) noexcept {
    if (this != &other) {
        release();
        state_ = std::move(other.state_);
    }
    return *this;
}

permit::~permit() {
    release();
}

void permit::release() {
    if (state_) {
        state_->in_progress.fetch_sub(1, std::memory_order_relaxed);
        state_.reset();
    }
}

account_limits::account_limits()
    : table_(std::make_shared<const internal::account_table>()) {}

void account_limits::configure(const config::environment_document& document, std::size_t live_vms) {
    assert(live_vms > 0);
    const std::shared_ptr<const internal::account_table> old = table_.read();
    auto next = std::make_shared<internal::account_table>();
    next->live_vms = live_vms;
    for (const auto& [name, limits] : document.accounts) {
        const auto it = old->accounts.find(name);
        const bool existing = it != old->accounts.end();
        std::shared_ptr<internal::account_state> state =
            existing ? it->second : std::make_shared<internal::account_state>();
        state->limits = limits;
        state->update_limits(live_vms);
        next->accounts.emplace(name, std::move(state));
    }
    table_.publish(std::move(next));
}

void account_limits::set_observed_share(const base::account_id& account, double share) {
    assert(share >= 0 && share <= 1);
    const std::shared_ptr<const internal::account_table> table = table_.read();
    if (internal::account_state* state = table->find(account)) {
        state->observed_share = share;
        state->update_limits(table->live_vms);
    }
}

tl::expected<permit, refusal> account_limits::admit(const base::account_id& account, base::time_point now) {
    const std::shared_ptr<const internal::account_table> table = table_.read();
    const auto it = table->accounts.find(account);
    if (it == table->accounts.end()) {
        return tl::unexpected(refusal{refusal_reason::unknown_account, document_retry_after});
    }
    internal::account_state& state = *it->second;
    state.request_count.fetch_add(1, std::memory_order_relaxed);
    // Acquire the slot first: a request refused for concurrency must not consume a token.
    if (!state.try_acquire_slot()) {
        return tl::unexpected(refusal{refusal_reason::concurrency, concurrency_retry_after});
    }
    permit admitted(it->second);
    if (const std::optional<base::duration> wait = state.try_take_token(now)) {
        return tl::unexpected(refusal{refusal_reason::rate, *wait});
    }
    return admitted;
}

std::map<base::account_id, std::uint64_t> account_limits::request_counts() const {
    const std::shared_ptr<const internal::account_table> table = table_.read();
    std::map<base::account_id, std::uint64_t> counts;
    for (const auto& [name, state] : table->accounts) {
        counts.emplace(name, state->request_count.load(std::memory_order_relaxed));
    }
    return counts;
}

std::size_t account_limits::in_progress(const base::account_id& account) const {
    const std::shared_ptr<const internal::account_table> table = table_.read();
    const internal::account_state* state = table->find(account);
    return state ? state->in_progress.load(std::memory_order_relaxed) : 0;
}

} // namespace rattanbay::limits
