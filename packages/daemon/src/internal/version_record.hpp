#pragma once

#include "platform_session.hpp"
#include "shared_state.hpp"
#include "version_record_plan.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rattanbay::daemon::internal {

/// Records in the platform which software versions of a service may have begun streams that still go on, so
/// that daemons that have all restarted at once know of versions whose endpoints have ended. One daemon
/// writes. Runs on the control strand.
class version_record : public std::enable_shared_from_this<version_record> {
public:
    struct handlers {
        /// Versions of each service that may have begun a stream that still goes on, as this daemon knows;
        /// nothing while it does not know the services.
        std::function<std::optional<version_record_plan::version_sets>()> active_versions;
        /// Called with each version that the store names and that this daemon did not read there before. An
        /// object is removed only when its version is not active after this call.
        std::function<void(const base::service_name&, const std::string&)> on_recorded;
    };

    version_record(shared_state& shared, control_strand strand, platform_session& platform,
                   handlers version_handlers);

    void start();

private:
    asio::awaitable<void> run();
    /// Reads the recorded versions, until the store has answered.
    asio::awaitable<void> load();
    /// Makes the calls that bring the record up to date, until one of them fails.
    asio::awaitable<void> update();
    /// Returns the answer of the page that could not be read, or nothing if all were read.
    asio::awaitable<std::optional<object_api::answer>> list();
    /// Makes a write or a deletion and returns whether the record may be written further.
    asio::awaitable<bool> write(object_api::call request);
    /// Whether what this daemon knows of the versions may be out of date.
    bool is_cut_off() const;
    /// Whether this daemon writes the record, by its own view of the members.
    bool is_writer() const;
    /// Whether the objects are to be listed again, as another daemon may have changed them.
    bool is_list_due() const;

    shared_state& shared_;
    control_strand strand_;
    platform_session& platform_;
    handlers handlers_;
    version_record_plan plan_;
    base::time_point listed_at_;
    /// Number of consecutive failed calls.
    unsigned failures_ = 0;
};

} // namespace rattanbay::daemon::internal
