#pragma once

#include "shared_state.hpp"

#include <functional>

namespace rattanbay::daemon::internal {

/// Whether this daemon reads the platform's store without delay, or leaves that to others of its failure
/// domain, which tell it of changes. Runs on the control strand.
class store_role {
public:
    explicit store_role(shared_state& shared);

    /// Sets the function that is called when the daemon begins to read the store without delay.
    void on_reading(std::function<void()> handler) { on_reading_ = std::move(handler); }

    /// Decides by the current members.
    void refresh();

    bool is_reader() const { return is_reader_; }

private:
    shared_state& shared_;
    std::shared_ptr<const member_view> view_;
    std::function<void()> on_reading_;
    bool is_reader_ = true;
};

} // namespace rattanbay::daemon::internal
