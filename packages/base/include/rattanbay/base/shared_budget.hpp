#pragma once

#include <rattanbay/base/enum_names.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <mutex>

namespace rattanbay::base {

/// An amount of a resource that several uses share. Each use has a guaranteed part, which the others cannot
/// take; the rest goes to whoever asks first. `Use` is an enumeration with names whose values count from 0.
/// Safe for use from several threads.
template <class Use> class shared_budget {
public:
    static constexpr std::size_t use_count = enum_names<Use>::table.size();

    /// Amount for each use, in the order of its values.
    using amounts = std::array<std::size_t, use_count>;

    /// The guaranteed parts must not exceed `max_amount` together.
    shared_budget(std::size_t max_amount, const amounts& guaranteed)
        : max_amount_(max_amount)
        , guaranteed_(guaranteed) {}

    /// Takes an amount unless that leaves too little for the guaranteed parts of the other uses.
    bool try_take(Use use, std::size_t amount) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t& used = used_[index(use)];
        const std::size_t before = used;
        used += amount;
        if (used <= guaranteed_[index(use)] || committed() <= max_amount_) {
            return true;
        }
        used = before;
        return false;
    }

    /// Takes an amount in any case, for what cannot be refused.
    void take(Use use, std::size_t amount) {
        const std::lock_guard<std::mutex> lock(mutex_);
        used_[index(use)] += amount;
    }

    void give_back(Use use, std::size_t amount) {
        const std::lock_guard<std::mutex> lock(mutex_);
        assert(used_[index(use)] >= amount);
        used_[index(use)] -= amount;
    }

    std::size_t used(Use use) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return used_[index(use)];
    }

    std::size_t max_amount() const { return max_amount_; }

private:
    static std::size_t index(Use use) { return static_cast<std::size_t>(use); }

    /// What is used, and the unused rest of the guaranteed parts.
    std::size_t committed() const {
        std::size_t sum = 0;
        for (std::size_t n = 0; n < use_count; ++n) {
            sum += std::max(used_[n], guaranteed_[n]);
        }
        return sum;
    }

    const std::size_t max_amount_;
    const amounts guaranteed_;
    mutable std::mutex mutex_;
    amounts used_{};
};

} // namespace rattanbay::base
