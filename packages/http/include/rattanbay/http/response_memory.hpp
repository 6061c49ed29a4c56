#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/http/memory_budget.hpp>

#include <atomic>
#include <cstddef>

namespace rattanbay::http {

/// Accounts for the memory of the responses that a process holds, from their first byte until they were
/// passed on. A faulty server may send without end, so that both one response and all of them together need a
/// bound. Safe for use from several threads.
class response_memory {
public:
    /// A response of up to this size is held even when the memory is used up, so that a few large responses
    /// do not fail the small ones of other requests.
    static constexpr std::size_t small_response_bytes = 16 * 1024;

    /// `max_response_bytes` bounds one response and must not exceed `max_total_bytes`, which bounds all of
    /// them. What is held counts twice toward `budget`, if there is one, as the strings that hold it may have
    /// twice the size while they grow.
    response_memory(std::size_t max_total_bytes, std::size_t max_response_bytes,
                    memory_budget* budget = nullptr);

    response_memory(const response_memory&) = delete;
    response_memory& operator=(const response_memory&) = delete;

    /// Bytes of all responses held.
    std::size_t used_bytes() const { return used_bytes_.load(); }

    /// The part that one response takes. It is given back at the end of the object, which must not outlive
    /// the memory.
    class share {
    public:
        explicit share(response_memory& memory)
            : memory_(&memory) {}

        share(share&& other) noexcept;
        share& operator=(share&& other) noexcept;
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        ~share() { clear(); }

        /// Sets the size of what is held of the response. Error: `exhausted` if it is too large for one
        /// response or for what other responses leave; the former size remains.
        base::result<void> resize(std::size_t bytes);

        std::size_t bytes() const { return bytes_; }

        /// Gives the memory back.
        void clear();

    private:
        response_memory* memory_;
        std::size_t bytes_ = 0;
    };

private:
    static constexpr std::size_t growth_factor = 2;

    void give_back(std::size_t bytes);

    const std::size_t max_total_bytes_;
    const std::size_t max_response_bytes_;
    memory_budget* const budget_;
    std::atomic<std::size_t> used_bytes_{0};
};

} // namespace rattanbay::http
