#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace rattanbay::emulator {

/// Slots of an endpoint and the queue of calls that wait for one. Slots are assigned by priority,
/// highest first, and in FIFO order within a priority.
class slot_queue {
public:
    using ticket = std::uint64_t;

    /// `slots` must be positive.
    explicit slot_queue(std::size_t slots);

    /// Adds a call. It gets a slot immediately if one is free.
    ticket enqueue(int priority);

    /// Whether a call has a slot.
    bool is_running(ticket call) const { return running_.contains(call); }

    /// Removes a running or waiting call and assigns a freed slot to the next one.
    void release(ticket call);

    std::size_t running() const { return running_.size(); }

    std::size_t waiting() const { return waiting_.size(); }

private:
    void assign_free_slots();

    std::size_t slots_;
    ticket next_ = 1;
    std::set<ticket> running_;
    /// Negated priority and ticket; the first element is next.
    std::set<std::pair<int, ticket>> waiting_;
    std::map<ticket, int> priorities_;
};

} // namespace rattanbay::emulator
