#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/relay/version_record.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanbay::relay {

/// Time for which a version stays active after it was last listed: no client waits longer for a stream.
constexpr std::chrono::seconds version_retention{60};

/// Remembers per service which software versions may have begun a stream that is still alive: those that are
/// listed and those that were listed not long ago. Safe for use from several threads.
class service_versions {
public:
    /// Maximum number of versions of a service. If there are more, the one that ends first is dropped, and
    /// the service counts as mixed for as long as that version would have been active.
    static constexpr std::size_t max_versions = 16;

    explicit service_versions(base::duration retention = version_retention)
        : retention_(retention) {}

    /// Takes over which versions the VM list has of a service. They stay active until a later call leaves
    /// them out and the retention time has passed since; an empty set is to be passed for a service that has
    /// no endpoints any more. Returns whether the active versions differ from those after the last call for
    /// the service.
    bool observe(const base::service_name& service, const std::set<std::string>& listed,
                 base::time_point now);

    /// Takes over an active version from the store's record or from another daemon. Without a time left, it
    /// is active for the retention time. What another daemon tells has to come with the time left there:
    /// otherwise daemons that ask each other would keep a version active for ever.
    void restore(const base::service_name& service, const std::string& version, base::time_point now,
                 std::optional<base::duration> time_left = std::nullopt);

    std::set<std::string> active(const base::service_name& service, base::time_point now) const;

    /// Whether more than one version is active.
    bool is_mixed(const base::service_name& service, base::time_point now) const;

    /// Active versions of all services that have any.
    std::map<base::service_name, std::set<std::string>> snapshot(base::time_point now) const;

    /// Active versions with the times for which they stay active, for passing on.
    std::vector<version_record> records(base::time_point now) const;
    std::vector<version_record> records(const base::service_name& service, base::time_point now) const;

private:
    struct version_state {
        bool is_listed = false;
        /// End of the activity of a version that is not listed.
        base::time_point expires;
    };

    struct service_state {
        std::map<std::string, version_state> versions;
        /// Active versions after the last call of `observe`.
        std::set<std::string> observed;
        /// End of the activity of versions that were dropped.
        std::optional<base::time_point> dropped_until;
    };

    base::duration time_left(const version_state& state, base::time_point now) const;
    std::set<std::string> active(const service_state& state, base::time_point now) const;
    bool is_dropped_active(const service_state& state, base::time_point now) const;
    void remove_expired(service_state& state, base::time_point now) const;
    void drop_excess(service_state& state, base::time_point now) const;
    void append_records(const base::service_name& service, const service_state& state, base::time_point now,
                        std::vector<version_record>& out) const;

    const base::duration retention_;
    mutable std::mutex mutex_;
    std::map<base::service_name, service_state> services_;
};

} // namespace rattanbay::relay
