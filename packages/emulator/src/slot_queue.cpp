#include <rattanbay/emulator/slot_queue.hpp>

#include <cassert>

namespace rattanbay::emulator {

slot_queue::slot_queue(std::size_t slots)
    : slots_(slots) {
    assert(slots > 0);
}

slot_queue::ticket slot_queue::enqueue(int priority) {
    const ticket call = next_++;
    waiting_.emplace(-priority, call);
    priorities_.emplace(call, priority);
    assign_free_slots();
    return call;
}

void slot_queue::release(ticket call) {
    const auto it = priorities_.find(call);
    if (it == priorities_.end()) {
        return;
    }
    waiting_.erase({-it->second, call});
    running_.erase(call);
    priorities_.erase(it);
    assign_free_slots();
}

void slot_queue::assign_free_slots() {
    while (running_.size() < slots_ && !waiting_.empty()) {
        running_.insert(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
    }
}

} // namespace rattanbay::emulator
