#include <rattanbay/limits/account_limits.hpp>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <cmath>
#include <optional>

namespace rattanbay::limits {

namespace {

/// Part of an even share that each VM may admit above its own, for traffic that gossip has not told yet.
/// All VMs together admit at most 1.25 times the rate, however the account's callers spread.
constexpr double share_allowance = 0.25;
/// A place can become free at any moment, so the hint only keeps callers from polling.
constexpr base::duration concurrency_retry_after = std::chrono::milliseconds(100);
/// Hint for refusals that only a new document can lift.
constexpr base::duration document_retry_after = std::chrono::seconds(10);
/// Rates below this count as 0, so that the wait for a token fits a duration.
constexpr double smallest_rate = 1e-6;
constexpr double microseconds_per_second = 1e6;
constexpr double milliseconds_per_second = 1e3;

/// A token bucket in one word: the millisecond of the last admission (36 bits, two years) and the
/// tokens left then in units of 1/256 (28 bits, a million tokens).
constexpr unsigned token_bits = 28;
constexpr std::uint64_t token_limit = (std::uint64_t{1} << token_bits) - 1;
constexpr double token_units = 256;

struct bucket {
    std::int64_t at_ms = 0;
    double tokens = 0;
};

bucket unpack(std::uint64_t word) {
    return {static_cast<std::int64_t>(word >> token_bits),
            static_cast<double>(word & token_limit) / token_units};
}

/// Rounds down, so that rounding never admits more than the limit.
std::uint64_t pack(const bucket& value) {
    const auto units = static_cast<std::uint64_t>(value.tokens * token_units);
    return (static_cast<std::uint64_t>(value.at_ms) << token_bits) | std::min(units, token_limit);
}

} // namespace

namespace internal {

/// Limits and counts of one account. The limits are written by one thread and read by others one
/// by one; a reader may see the rate of one document with the burst of the next.
struct account_state {
    /// Tokens per second; 0 admits nothing.
    std::atomic<double> rate{0};
    std::atomic<double> burst{0};
    std::atomic<std::size_t> concurrency{0};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<std::uint64_t> offered{0};
    /// The token bucket; 0 before the first request, when it is full. It holds tokens and not times,
    /// because the rate changes with the observed share and tokens keep their worth.
    std::atomic<std::uint64_t> tokens{0};

    /// Written and read only by the writer.
    config::account limits;
    std::optional<double> observed_share;

    void apply(std::size_t live_vms) {
        const double even_share = 1 / static_cast<double>(live_vms);
        const double share = observed_share.value_or(even_share) + share_allowance * even_share;
        const double own_rate = limits.requests_per_second * std::min(share, 1.0);
        rate.store(own_rate >= smallest_rate ? own_rate : 0);
        burst.store(limits.burst);
        const double places = std::ceil(static_cast<double>(limits.max_concurrency) * std::min(share, 1.0));
        concurrency.store(static_cast<std::size_t>(places));
    }

    bool take_place() {
        std::size_t n = in_progress.load(std::memory_order_relaxed);
        do {
            if (n >= concurrency.load(std::memory_order_relaxed)) {
                return false;
            }
        } while (!in_progress.compare_exchange_weak(n, n + 1, std::memory_order_relaxed));
        return true;
    }

    /// Takes one token; otherwise the wait until the bucket holds one.
    std::optional<base::duration> take_token(base::time_point now) {
        const double per_second = rate.load(std::memory_order_relaxed);
        const double most = burst.load(std::memory_order_relaxed);
        if (per_second == 0 || most < 1) {
            return document_retry_after;
        }
        const std::int64_t now_ms =
            std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count();
        std::uint64_t word = tokens.load(std::memory_order_relaxed);
        std::uint64_t next = 0;
        do {
            bucket held = word == 0 ? bucket{now_ms, most} : unpack(word);
            const auto elapsed = static_cast<double>(std::max<std::int64_t>(0, now_ms - held.at_ms));
            held.tokens = std::min(most, held.tokens + elapsed * per_second / milliseconds_per_second);
            if (held.tokens < 1) {
                const double wait = (1 - held.tokens) / per_second * microseconds_per_second;
                return base::duration(static_cast<std::int64_t>(std::ceil(wait))) +
                       std::chrono::milliseconds(1);
            }
            next = pack({std::max(held.at_ms, now_ms), held.tokens - 1});
        } while (!tokens.compare_exchange_weak(word, next, std::memory_order_relaxed));
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
        const bool known = it != old->accounts.end();
        std::shared_ptr<internal::account_state> state =
            known ? it->second : std::make_shared<internal::account_state>();
        state->limits = limits;
        state->apply(live_vms);
        next->accounts.emplace(name, std::move(state));
    }
    table_.publish(std::move(next));
}

void account_limits::set_observed_share(const base::account_id& account, double share) {
    assert(share >= 0 && share <= 1);
    const std::shared_ptr<const internal::account_table> table = table_.read();
    if (internal::account_state* state = table->find(account)) {
        state->observed_share = share;
        state->apply(table->live_vms);
    }
}

tl::expected<permit, refusal> account_limits::admit(const base::account_id& account, base::time_point now) {
    const std::shared_ptr<const internal::account_table> table = table_.read();
    const auto it = table->accounts.find(account);
    if (it == table->accounts.end()) {
        return tl::unexpected(refusal{refusal_reason::unknown_account, document_retry_after});
    }
    internal::account_state& state = *it->second;
    state.offered.fetch_add(1, std::memory_order_relaxed);
    // The place comes first: a request refused for concurrency must not use up a token.
    if (!state.take_place()) {
        return tl::unexpected(refusal{refusal_reason::concurrency, concurrency_retry_after});
    }
    permit place(it->second);
    if (const std::optional<base::duration> wait = state.take_token(now)) {
        return tl::unexpected(refusal{refusal_reason::rate, *wait});
    }
    return place;
}

std::map<base::account_id, std::uint64_t> account_limits::offered() const {
    const std::shared_ptr<const internal::account_table> table = table_.read();
    std::map<base::account_id, std::uint64_t> counts;
    for (const auto& [name, state] : table->accounts) {
        counts.emplace(name, state->offered.load(std::memory_order_relaxed));
    }
    return counts;
}

std::size_t account_limits::in_progress(const base::account_id& account) const {
    const std::shared_ptr<const internal::account_table> table = table_.read();
    const internal::account_state* state = table->find(account);
    return state ? state->in_progress.load(std::memory_order_relaxed) : 0;
}

} // namespace rattanbay::limits
