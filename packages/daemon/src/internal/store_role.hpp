#pragma once

#include "shared_state.hpp"

#include <functional>

namespace rattanbay::daemon::internal {

/// Whether this daemon reads the platform's store without delay, or leaves that to others of its failure
/// domain, which tell it of changes. Runs on the control strand.
class store_role {
public:
    store_role(shared_state& shared, base::time_point start);

    /// Sets the function that is called when the daemon begins to read the store without delay.
    void on_reading(std::function<void()> handler) { on_reading_ = std::move(handler); }

    /// Decides by the current members. A starting daemon follows until it can know them, so that a fleet that
    /// starts at once does not read as a whole.
    void refresh(base::time_point now);

    bool is_reader() const { return is_reader_; }

private:
    shared_state& shared_;
    std::shared_ptr<const member_view> view_;
    std::function<void()> on_reading_;
    const base::time_point start_;
    bool is_reader_ = false;
};

} // namespace rattanbay::daemon::internal
