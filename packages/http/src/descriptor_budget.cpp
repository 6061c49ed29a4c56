#include <rattanbay/http/descriptor_budget.hpp>

namespace rattanbay::http {

namespace {

/// Idle connections that are closed at once, so that the next connections find descriptors, too.
constexpr std::size_t closed_at_once = 16;

} // namespace

std::optional<descriptor_budget::lease> descriptor_budget::try_acquire(descriptor_use use) {
    if (!budget_.try_take(use, 1) && (close_idle_connections() == 0 || !budget_.try_take(use, 1))) {
        return std::nullopt;
    }
    if (memory_ != nullptr) {
        memory_->take(memory_use::connections, connection_bytes);
    }
    return lease(*this, use);
}

descriptor_budget::lease descriptor_budget::acquire(descriptor_use use) {
    budget_.take(use, 1);
    if (memory_ != nullptr) {
        memory_->take(memory_use::connections, connection_bytes);
    }
    return lease(*this, use);
}

std::size_t descriptor_budget::close_idle_connections() {
    std::size_t closed = 0;
    for (const std::function<std::size_t(std::size_t)>& close_idle : close_idle_) {
        if (closed < closed_at_once) {
            closed += close_idle(closed_at_once - closed);
        }
    }
    return closed;
}

void descriptor_budget::on_shortage(std::function<std::size_t(std::size_t)> close_idle) {
    close_idle_.push_back(std::move(close_idle));
}

void descriptor_budget::give_back(descriptor_use use) {
    budget_.give_back(use, 1);
    if (memory_ != nullptr) {
        memory_->give_back(memory_use::connections, connection_bytes);
    }
}

} // namespace rattanbay::http
