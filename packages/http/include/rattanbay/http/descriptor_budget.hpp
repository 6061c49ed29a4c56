#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/shared_budget.hpp>
#include <rattanbay/http/memory_budget.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace rattanbay::http {

/// Whose connections descriptors are used for.
enum class descriptor_use { clients, endpoints, peers, store };

} // namespace rattanbay::http

template <> struct rattanbay::base::enum_names<rattanbay::http::descriptor_use> {
    static constexpr std::array<enum_name<rattanbay::http::descriptor_use>, 4> table{{
        {rattanbay::http::descriptor_use::clients, "clients"},
        {rattanbay::http::descriptor_use::endpoints, "endpoints"},
        {rattanbay::http::descriptor_use::peers, "peers"},
        {rattanbay::http::descriptor_use::store, "store"},
    }};
};

namespace rattanbay::http {

/// Descriptors that the connections of a process may use. Each one also counts in the memory budget. Safe for
/// use from several threads, after the functions of `on_shortage` are set.
class descriptor_budget {
public:
    /// Memory that a connection takes with its buffers and coroutines, besides bodies.
    static constexpr std::size_t connection_bytes = 20 * 1024;

    using amounts = base::shared_budget<descriptor_use>::amounts;

    /// `memory` may be null.
    descriptor_budget(std::size_t max_descriptors, const amounts& guaranteed, memory_budget* memory)
        : budget_(max_descriptors, guaranteed)
        , memory_(memory) {}

    descriptor_budget(const descriptor_budget&) = delete;
    descriptor_budget& operator=(const descriptor_budget&) = delete;

    /// One descriptor, which is given back at the end of this object. It must not outlive the budget.
    class lease {
    public:
        /// Holds no descriptor.
        lease() = default;

        lease(lease&& other) noexcept
            : budget_(std::exchange(other.budget_, nullptr))
            , use_(other.use_) {}

        lease& operator=(lease&& other) noexcept {
            std::swap(budget_, other.budget_);
            std::swap(use_, other.use_);
            return *this;
        }

        lease(const lease&) = delete;
        lease& operator=(const lease&) = delete;

        ~lease() {
            if (budget_ != nullptr) {
                budget_->give_back(use_);
            }
        }

    private:
        friend class descriptor_budget;

        lease(descriptor_budget& budget, descriptor_use use)
            : budget_(&budget)
            , use_(use) {}

        descriptor_budget* budget_ = nullptr;
        descriptor_use use_ = descriptor_use::clients;
    };

    /// Takes a descriptor. If none is left for this use, idle connections are closed first; empty if that
    /// does not suffice.
    std::optional<lease> try_acquire(descriptor_use use);

    /// Takes a descriptor in any case, for a connection that has to be served.
    lease acquire(descriptor_use use);

    /// Closes idle connections, as no descriptor is left. Returns the number of those that were closed.
    std::size_t close_idle_connections();

    /// Registers a function that closes up to a number of idle connections and returns how many it closed.
    void on_shortage(std::function<std::size_t(std::size_t)> close_idle);

    std::size_t used(descriptor_use use) const { return budget_.used(use); }

    std::size_t max_descriptors() const { return budget_.max_amount(); }

private:
    void give_back(descriptor_use use);

    base::shared_budget<descriptor_use> budget_;
    memory_budget* memory_;
    std::vector<std::function<std::size_t(std::size_t)>> close_idle_;
};

} // namespace rattanbay::http
