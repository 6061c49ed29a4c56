#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/vm_list.hpp>
#include <rattanbay/relay/endpoint_pace.hpp>
#include <rattanbay/relay/request_allowance.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattanbay::relay {

/// What the deployment allows beyond the rate that a cold endpoint tolerates: in any one second, all daemons
/// together may send it the rate times `excess`, plus `slack` requests.
struct cold_bounds {
    double excess = 0;
    double slack = 0;
};

/// How the endpoints of a service start.
struct cold_rule {
    /// Time for which an endpoint is cold after its start.
    base::duration cold_time{};
    /// Requests per second that a cold endpoint tolerates.
    double requests_per_second = 0;
};

/// The daemons that may send to a cold endpoint, and the rate of each of them.
struct cold_plan {
    std::size_t senders = 0;
    double requests_per_second = 0;
};

/// Plans the requests to a cold endpoint. The daemons of one plan use half of the ceiling, so that two groups
/// of daemons that know nothing of each other keep it together.
cold_plan plan_cold_requests(const cold_rule& rule, const cold_bounds& bounds);

/// Time that may pass between taking a share and sending the request.
constexpr std::chrono::milliseconds max_cold_send_delay{300};

/// An endpoint that is or is presumed to be cold, for the other daemons.
struct cold_endpoint {
    base::endpoint_id id;
    base::duration time_left{};
};

/// Decides which requests of this daemon a cold endpoint may get, so that all daemons together keep its
/// ceiling. A few daemons share the rate; a daemon sends nothing to a cold endpoint until it has been made
/// one of its senders. Not thread-safe.
///
/// An endpoint is cold as long as it reports to be. It is presumed to be cold when it is listed for the first
/// time, again or with another start, and after a failed connection or another daemon's report, because the
/// VM list lags behind. When several endpoints of a failure domain fail at once, all of the domain are
/// presumed to be.
class cold_ceiling {
public:
    explicit cold_ceiling(const cold_bounds& bounds);

    /// Replaces the services whose endpoints may be cold. Rules without a rate are ignored.
    void set_rules(const std::map<base::service_name, cold_rule>& rules);

    /// Takes over the VM list. Endpoints of the first list are cold only if they report to be.
    void update(const object_api::vm_list& vms, base::time_point now);

    /// Records the remaining time that the endpoint named in an answer.
    void record_report(const base::endpoint_id& endpoint, base::duration time_left, base::time_point now);

    /// Records that the endpoint could not be reached or broke a connection, so that it may start again.
    void record_failure(const base::endpoint_id& endpoint, base::time_point now);

    /// Records that the failure domain gets work again after an evacuation, in which its endpoints may have
    /// turned cold without a sign.
    void record_return(const base::failure_domain& domain, base::time_point now);

    /// Records what another daemon has found.
    void record_announcement(const cold_endpoint& found, base::time_point now);

    /// Returns what the other daemons should be told now, and forgets it.
    std::vector<cold_endpoint> take_announcements(base::time_point now);

    /// Endpoints that are or are presumed to be cold, and the number of daemons that may send to each.
    std::map<base::endpoint_id, std::size_t> list(base::time_point now) const;

    /// Sets whether this daemon is one of the senders to the endpoint.
    void set_sender(const base::endpoint_id& endpoint, bool is_sender, base::time_point now);

    /// Sets the number of daemons that take requests, of which the senders are a part.
    void set_member_count(std::size_t count) { member_count_ = count; }

    /// Records the end of a call to the endpoint. `relative_time` compares its answer with those of its
    /// peers; nothing if the call failed.
    void record_result(const base::endpoint_id& endpoint, std::optional<double> relative_time);

    /// Weight with which this daemon prefers the endpoint to others: 1 for a warm one. The few senders to a
    /// cold endpoint stand for all daemons, so that it gets its usual share of requests from them, as far as
    /// its pace and the ceiling allow.
    double sender_weight(const base::endpoint_id& endpoint, base::time_point now) const;

    bool is_cold(const base::endpoint_id& endpoint, base::time_point now) const;

    /// Whether the endpoint may get a request of this daemon now.
    bool allows(const base::endpoint_id& endpoint, base::time_point now) const;

    /// Takes the share of one request if the endpoint is cold.
    void take(const base::endpoint_id& endpoint, base::time_point now);

    /// Whether a request for which the share was taken at `taken` may still be sent. If the endpoint has
    /// turned cold since, this takes a share.
    bool may_send(const base::endpoint_id& endpoint, base::time_point taken, base::time_point now);

    /// Time until the endpoint may get a request of this daemon; 0 if it may now, nothing if this daemon is
    /// no sender to it.
    std::optional<base::duration> time_to_next(const base::endpoint_id& endpoint, base::time_point now) const;

    /// Time between two requests of all senders to the endpoint; nothing unless it is cold.
    std::optional<base::duration> time_per_request(const base::endpoint_id& endpoint,
                                                   base::time_point now) const;

private:
    struct endpoint_state {
        base::service_name service;
        base::failure_domain failure_domain;
        base::address address;
        std::uint64_t started_ms = 0;
        std::uint64_t listed_left_ms = 0;
        base::time_point cold_since;
        base::time_point cold_until;
        base::time_point failed_at;
        base::time_point announced_at;
        bool has_news = false;
        bool is_sender = false;
        std::optional<request_allowance> allowance;
        endpoint_pace pace;
    };

    const cold_rule* rule_of(const endpoint_state& state) const;
    endpoint_state* find(const base::endpoint_id& endpoint);
    const endpoint_state* find_cold(const base::endpoint_id& endpoint, base::time_point now) const;
    void update_one(const object_api::vm& listed, endpoint_state& state, bool is_new, base::time_point now);
    static void extend(endpoint_state& state, base::time_point until, base::time_point now);
    void presume(endpoint_state& state, base::time_point now);
    void presume_domain(const endpoint_state& failed, base::time_point now);

    const cold_bounds bounds_;
    std::map<base::service_name, cold_rule> rules_;
    std::map<base::endpoint_id, endpoint_state> endpoints_;
    bool has_list_ = false;
    std::size_t member_count_ = 1;
};

} // namespace rattanbay::relay
