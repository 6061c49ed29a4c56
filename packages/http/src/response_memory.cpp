#include <rattanbay/http/response_memory.hpp>

#include <cassert>
#include <string>
#include <utility>

namespace rattanbay::http {

response_memory::response_memory(std::size_t max_total_bytes, std::size_t max_response_bytes,
                                 memory_budget* budget)
    : max_total_bytes_(max_total_bytes)
    , max_response_bytes_(max_response_bytes)
    , budget_(budget) {
    assert(max_response_bytes <= max_total_bytes);
}

void response_memory::give_back(std::size_t bytes) {
    used_bytes_ -= bytes;
    if (budget_ != nullptr) {
        budget_->give_back(memory_use::responses, bytes * growth_factor);
    }
}

response_memory::share::share(share&& other) noexcept
    : memory_(other.memory_)
    , bytes_(std::exchange(other.bytes_, 0)) {}

response_memory::share& response_memory::share::operator=(share&& other) noexcept {
    if (this != &other) {
        clear();
        memory_ = other.memory_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

base::result<void> response_memory::share::resize(std::size_t bytes) {
    if (bytes > memory_->max_response_bytes_) {
        return base::fail(base::error_code::exhausted, "the response has " + std::to_string(bytes) +
                                                           " bytes or more, over the limit of " +
                                                           std::to_string(memory_->max_response_bytes_));
    }
    if (bytes <= bytes_) {
        memory_->give_back(bytes_ - bytes);
        bytes_ = bytes;
        return {};
    }
    const std::size_t added = bytes - bytes_;
    const std::size_t total = memory_->used_bytes_.fetch_add(added) + added;
    if (total > memory_->max_total_bytes_ && bytes > small_response_bytes) {
        memory_->used_bytes_ -= added;
        return base::fail(base::error_code::exhausted, "the response has " + std::to_string(bytes) +
                                                           " bytes or more, and all responses " +
                                                           std::to_string(total) + ", over the limit of " +
                                                           std::to_string(memory_->max_total_bytes_));
    }
    if (memory_->budget_ != nullptr) {
        memory_->budget_->take(memory_use::responses, added * growth_factor);
    }
    bytes_ = bytes;
    return {};
}

void response_memory::share::clear() {
    memory_->give_back(bytes_);
    bytes_ = 0;
}

} // namespace rattanbay::http
