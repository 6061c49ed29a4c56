#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/object_api/vm_list.hpp>
#include <rattanbay/relay/attempt_rules.hpp>
#include <rattanbay/relay/cold_ceiling.hpp>
#include <rattanbay/relay/engine_speeds.hpp>
#include <rattanbay/relay/messages.hpp>
#include <rattanbay/relay/piece_scheduler.hpp>
#include <rattanbay/relay/request_allowance.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanbay::relay {

/// Endpoint chosen for a request.
struct chosen_endpoint {
    base::endpoint_id id;
    base::address address;
    base::failure_domain failure_domain;
    /// Start of its process in Unix milliseconds; 0 if it is not known.
    std::uint64_t started_ms = 0;
    /// Calls of this daemon in progress at the endpoint, and endpoints that could be chosen; for the log.
    std::uint32_t running = 0;
    std::uint32_t candidates = 0;
    /// Version of its software; empty if it is not known.
    std::string software_version{};
};

/// Limit on requests to an endpoint, in requests per second.
struct request_limit {
    double all_daemons = 0;
    /// With 0 the endpoint gets no requests of this daemon.
    double own_share = 0;
};

/// Requirements and preferences for choosing an endpoint.
struct endpoint_query {
    base::service_name service;
    /// Endpoints that must not be used again for the request.
    std::vector<base::endpoint_id> excluded;
    /// Requests with the same affinity text go to the same endpoint where possible.
    std::optional<std::string> affinity;
    /// Failure domain to prefer; the daemon's own if empty.
    base::failure_domain preferred_domain;
    /// Maximum number of calls of this daemon in progress at one endpoint; 0 for no limit.
    std::uint32_t max_running = 0;
    /// Power of the speed of an endpoint by which requests are shared out.
    double speed_exponent = engine_speeds::usual_exponent;
    /// Only endpoints of this software version are chosen; nothing for any. An empty text stands for the
    /// endpoints whose version is not known, which need not be the same.
    std::optional<std::string> software_version = std::nullopt;
};

/// Load balancer that chooses endpoints by this daemon's calls in progress, the load that endpoints report
/// and the results of recent calls. Thread-safe.
class balancer {
public:
    /// `local_domain` is the failure domain of this VM; `seed` initializes the random tie-breaking.
    balancer(base::failure_domain local_domain, std::uint64_t seed);

    /// Replaces the list of endpoints. Endpoints that keep their address keep their statistics, unless their
    /// process has started again. Returns the addresses of endpoints that were not listed there before.
    std::vector<base::address> update(const object_api::vm_list& vms);

    /// Sets the failure domains whose endpoints accept no work, though they may be live. Endpoints of those
    /// that are taken back are presumed to be cold.
    void set_evacuated(std::set<base::failure_domain> domains, base::time_point now);

    /// Chooses an endpoint; empty if the service has none that accepts work. Ejected endpoints are only
    /// considered if there are no others.
    std::optional<chosen_endpoint> choose(const endpoint_query& query, base::time_point now);

    /// Records that a call is being sent to the endpoint.
    void begin_call(const base::endpoint_id& endpoint, base::time_point now);

    /// Records the result of a call. `response_time` is the time to the response or first event, and
    /// `relative_size` the size of the call relative to a typical one.
    void end_call(const base::endpoint_id& endpoint, attempt_result result, base::duration response_time,
                  double relative_size, base::time_point now);

    /// Records the load that the endpoint reported.
    void update_load(const base::endpoint_id& endpoint, const endpoint_load& load, base::time_point now);

    /// Records that the endpoint said in an answer that it is leaving; it gets no more requests. Returns
    /// whether this was not known.
    bool mark_leaving(const base::endpoint_id& endpoint);

    /// Records that the endpoint wants no requests until a time.
    void pause(const base::endpoint_id& endpoint, base::time_point until);

    /// Limits the requests to the endpoint.
    void limit_requests(const base::endpoint_id& endpoint, const request_limit& limit, base::time_point now);

    /// Ends the limit on requests to the endpoint.
    void unlimit_requests(const base::endpoint_id& endpoint);

    /// Keeps the ceiling of cold endpoints from now on; called before the first list.
    void enable_cold_ceiling(const cold_bounds& bounds);

    /// Calls `use` with the ceiling of cold endpoints while no other thread uses it; does nothing if it is
    /// not kept. `use` must not call the balancer.
    template <class Use> void use_cold_ceiling(Use use) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (cold_) {
            use(*cold_);
        }
    }

    /// Whether a request that was assigned to the endpoint at `assigned` may be sent now, as far as the
    /// ceiling of cold endpoints goes.
    bool may_send(const base::endpoint_id& endpoint, base::time_point assigned, base::time_point now);

    /// Time between two requests of all daemons to the endpoint; nothing if it has no limit.
    std::optional<base::duration> time_per_request(const base::endpoint_id& endpoint) const;

    /// Time between two requests of all daemons to the endpoint while it is cold; nothing if it is not, or
    /// its requests have no ceiling.
    std::optional<base::duration> time_per_cold_request(const base::endpoint_id& endpoint,
                                                        base::time_point now) const;

    /// Time until the first endpoint of the service wants requests of this daemon again; nothing if one does
    /// now, or if this is not known of any.
    std::optional<base::duration> time_to_resume(const base::service_name& service,
                                                 base::time_point now) const;

    /// Whether the endpoint is listed and accepts work.
    bool is_available(const base::endpoint_id& endpoint, base::time_point now) const;

    /// Whether the end of the endpoint is expected: it is not listed, or is leaving by the list or its
    /// answers.
    bool is_leaving(const base::endpoint_id& endpoint) const;

    /// Whether the list still shows the software version with which the endpoint was chosen.
    bool has_chosen_version(const chosen_endpoint& endpoint) const;

    /// Whether a live endpoint that started later is listed at the address of this one, which is not listed
    /// any more. A list that was restored from a copy may name the former endpoint of the address instead.
    bool is_replaced(const chosen_endpoint& endpoint) const;

    /// Failure domain of the endpoint at an address; empty if none is listed there.
    base::failure_domain failure_domain_at(const base::address& address) const;

    /// Endpoints of the service that accept work.
    std::vector<pool_endpoint> available_endpoints(const base::service_name& service) const;

    /// Services with listed endpoints, in the order of their names.
    std::vector<base::service_name> services() const;

    /// Software versions of all listed endpoints of the service, also of those that accept no work. Contains
    /// an empty text if the version of one is not known.
    std::set<std::string> software_versions(const base::service_name& service) const;

    /// Whether a listed endpoint of the service with this software version accepts work.
    bool has_version(const base::service_name& service, const std::string& version) const;

    /// Calls of this daemon in progress at the endpoint.
    std::uint32_t calls_in_progress(const base::endpoint_id& endpoint) const;

    /// The speeds of engines by which requests are shared out; see `engine_speeds`.
    void record_speed_sample(const engine_slowness& sample, base::time_point now);
    std::vector<engine_slowness> take_speed_announcements(std::size_t max_count, base::time_point now);
    bool record_speed_announcement(const engine_slowness& announced, base::time_point now);
    double speed_weight(engine_key engine, double exponent, base::time_point now) const;
    std::size_t distinct_engine_count(base::time_point now) const;

    /// Number of changes of the endpoints that accept work so far.
    std::uint64_t generation() const;

    /// Estimated time to the response or first event of a call to the service; empty until a call has been
    /// measured. `relative_size` is the size of the call relative to a typical one.
    std::optional<base::duration> estimate_response_time(const base::service_name& service,
                                                         double relative_size) const;

private:
    struct endpoint_state {
        object_api::vm vm;
        engine_key key = 0;
        std::uint32_t running = 0;
        std::optional<endpoint_load> load;
        base::time_point load_time;
        /// Moving average of the fraction of calls that failed.
        double failure_rate = 0;
        /// Moving average of the response time of a typical call, in milliseconds; 0 until one is measured.
        double call_ms = 0;
        std::uint32_t consecutive_failures = 0;
        base::time_point ejected_until;
        /// Whether the endpoint said in an answer that it is leaving.
        bool is_leaving = false;
        /// Whether its failure domain is evacuated.
        bool is_evacuated = false;
        base::time_point paused_until;
        /// Set while the endpoint limits its requests.
        std::optional<request_allowance> allowance;
        /// Requests per second of all daemons while it does.
        double request_limit = 0;
    };

    /// Pause of an endpoint that is not listed now.
    struct lapsed_pause {
        base::endpoint_id endpoint;
        base::address address;
        std::uint64_t started_ms = 0;
        base::time_point until;
    };

    struct candidate {
        const endpoint_state* state = nullptr;
        double cost = 0;
        /// Share of requests that it should get, relative to an endpoint of usual speed.
        double weight = 1;
    };

    std::vector<candidate> candidates(const endpoint_query& query, base::time_point now,
                                      bool include_ejected) const;
    /// Drops what an earlier process of the endpoint said and what was measured of it.
    static void forget_process(endpoint_state& state);
    void remember_pauses(const std::map<base::endpoint_id, endpoint_state>& next);
    /// Pause with which the process was last listed.
    base::time_point take_lapsed_pause(const object_api::vm& vm);
    static bool accepts_work(const endpoint_state& state);
    /// Whether the endpoint takes a request of this daemon now.
    static bool takes_request(const endpoint_state& state, base::time_point now);
    double median_call_ms(const std::vector<base::endpoint_id>& ids) const;
    double cost(const endpoint_state& state, const base::failure_domain& preferred_domain, double median_ms,
                base::time_point now) const;
    chosen_endpoint pick(const std::vector<candidate>& from, const endpoint_query& query);

    const base::failure_domain local_domain_;
    mutable std::mutex mutex_;
    base::random_source random_;
    std::map<base::endpoint_id, endpoint_state> endpoints_;
    std::map<base::service_name, std::vector<base::endpoint_id>> by_service_;
    std::map<base::address, base::endpoint_id> id_by_address_;
    std::set<base::failure_domain> evacuated_;
    engine_speeds speeds_;

    std::deque<lapsed_pause> lapsed_pauses_;
    std::uint64_t generation_ = 0;
    /// Nothing unless the deployment bounds the requests to cold endpoints.
    std::optional<cold_ceiling> cold_;
};

} // namespace rattanbay::relay
