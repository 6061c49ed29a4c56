#pragma once

#include <cassert>
#include <memory>

namespace rattanbay::base {

/// Value with read-copy-update access: one writer publishes new immutable values, any number of threads
/// read the current one. Readers share ownership of the value they read and never wait for the writer to
/// build a new one.
///
/// Uses the free atomic functions for std::shared_ptr, as the load of std::atomic<std::shared_ptr> in
/// libstdc++ 12 unlocks with relaxed order, and ThreadSanitizer reports a race between a load and a later
/// store.
template <class T> class snapshot {
public:
    explicit snapshot(std::shared_ptr<const T> initial)
        : value_(std::move(initial)) {
        assert(value_);
    }

    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;

    /// The most recently published value.
    std::shared_ptr<const T> read() const {
        return std::atomic_load_explicit(&value_, std::memory_order_acquire);
    }

    /// Replaces the value; `value` must not be null.
    void publish(std::shared_ptr<const T> value) {
        assert(value);
        std::atomic_store_explicit(&value_, std::move(value), std::memory_order_release);
    }

private:
    std::shared_ptr<const T> value_;
};

} // namespace rattanbay::base
