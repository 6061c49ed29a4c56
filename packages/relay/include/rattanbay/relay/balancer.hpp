#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/object_api/vm_list.hpp>
#include <rattanbay/relay/attempt_rules.hpp>
#include <rattanbay/relay/call.hpp>
#include <rattanbay/relay/piece_scheduler.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::relay {

/// An endpoint that was chosen.
struct chosen_endpoint {
    base::endpoint_id id;
    base::address address;
    base::failure_domain failure_domain;
    /// Why it was chosen, for the log.
    std::uint32_t own_running = 0;
    std::uint32_t candidates = 0;
};

/// What an endpoint is chosen for.
struct endpoint_question {
    base::service_name service;
    /// Endpoints not to use again for the request.
    std::vector<base::endpoint_id> excluded;
    /// Requests with the same text should meet at one endpoint.
    std::optional<std::string> affinity;
    /// Failure domain to prefer; this daemon's own when empty.
    base::failure_domain near;
    /// Calls that this daemon may have in progress at one endpoint; 0 for no bound.
    std::uint32_t most_running = 0;
};

/// Chooses endpoints by this daemon's own calls in progress, by what endpoints report of their load
/// and by how calls there ended. Any number of threads may use it.
class balancer {
public:
    /// `local` is the failure domain of this VM.
    balancer(base::failure_domain local, std::uint64_t seed);

    /// Replaces the list of endpoints. What is known of endpoints that stay is kept.
    void publish(const object_api::vm_list& vms);

    /// Chooses an endpoint, or nothing when the service has none that may get work. Endpoints that
    /// fail are left out as long as others are there.
    std::optional<chosen_endpoint> choose(const endpoint_question& question, base::time_point now);

    /// A call is being sent to the endpoint.
    void started(const base::endpoint_id& endpoint);

    /// A call at the endpoint ended. `took` is the time to its answer or first event, and `size` the
    /// call's size against a usual one.
    void ended(const base::endpoint_id& endpoint, attempt_end end, base::duration took, double size,
               base::time_point now);

    /// The endpoint reported its load.
    void reported(const base::endpoint_id& endpoint, const endpoint_load& load, base::time_point now);

    /// Whether the endpoint is listed and takes work.
    bool is_usable(const base::endpoint_id& endpoint) const;

    /// Failure domain of the endpoint at an address; empty when none is listed there.
    base::failure_domain domain_at(const base::address& address) const;

    /// Endpoints of the service that take work.
    std::vector<pool_endpoint> usable_endpoints(const base::service_name& service) const;

    /// Number of lists that were published.
    std::uint64_t generation() const;

    /// Time to the answer or first event of a usual call of the service at its endpoints, or nothing
    /// until some were measured.
    std::optional<base::duration> usual_time(const base::service_name& service, double size) const;

private:
    struct endpoint_state {
        object_api::vm listed;
        std::uint32_t running = 0;
        std::optional<endpoint_load> load;
        base::time_point load_time;
        /// Share of recent calls that failed.
        double failure_share = 0;
        /// Milliseconds of a usual call, 0 until one was measured.
        double call_ms = 0;
        std::uint32_t failures_in_row = 0;
        base::time_point ejected_until;
    };

    struct candidate {
        const endpoint_state* state = nullptr;
        double cost = 0;
    };

    std::vector<candidate> candidates(const endpoint_question& question, base::time_point now,
                                      bool with_ejected) const;
    double usual_call_ms(const std::vector<base::endpoint_id>& ids) const;
    double cost(const endpoint_state& state, const base::failure_domain& near, double usual_ms,
                base::time_point now) const;
    chosen_endpoint take(const std::vector<candidate>& from, const endpoint_question& question);

    const base::failure_domain local_;
    mutable std::mutex mutex_;
    base::random_source random_;
    std::map<base::endpoint_id, endpoint_state> endpoints_;
    std::map<base::service_name, std::vector<base::endpoint_id>> by_service_;
    std::map<base::address, base::failure_domain> domains_;
    std::uint64_t generation_ = 0;
};

} // namespace rattanbay::relay
