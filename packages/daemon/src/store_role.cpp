#include "internal/store_role.hpp"

#include <rattanbay/membership.hpp>

namespace rattanbay::daemon::internal {

namespace {

/// Time in which a starting daemon gets the members from its seeds.
constexpr std::chrono::seconds settling_time{1};

} // namespace

store_role::store_role(shared_state& shared, base::time_point start)
    : shared_(shared)
    , start_(start) {}

void store_role::refresh(base::time_point now) {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    if (view == view_ || now - start_ < settling_time) {
        return;
    }
    view_ = view;
    const bool was_reader = is_reader_;
    is_reader_ = membership::is_store_reader(view->members, shared_.id);
    if (is_reader_ == was_reader) {
        return;
    }
    telemetry::log(
        telemetry::log_event::store_role_changed,
        {{"role", is_reader_ ? "reader" : "follower"}, {"members", std::to_string(view->members.size())}});
    if (is_reader_ && on_reading_) {
        on_reading_();
    }
}

} // namespace rattanbay::daemon::internal
