#include "internal/attempt_book.hpp"

#include <algorithm>
#include <cassert>

namespace rattanbay::pipeline::internal {

void attempt_book::clear() {
    sessions_.clear();
    tried_endpoints_.clear();
    attempt_count_ = 0;
}

endpoint_session& attempt_book::add_session() {
    endpoint_session& session = sessions_.emplace_back();
    session.attempt = attempt_id{++last_attempt_id_};
    return session;
}

void attempt_book::assign_endpoint(endpoint_session& session, const route_chosen& route) {
    assert(!session.started);
    session.endpoint = route.endpoint;
    session.address = route.address;
    session.estimate = route.estimate;
    tried_endpoints_.push_back(route.endpoint);
}

void attempt_book::record_start(endpoint_session& session, base::time_point now) {
    session.first_started_at = session.started ? session.first_started_at : now;
    session.attempt_started_at = now;
    session.started = true;
    ++attempt_count_;
}

void attempt_book::assign_new_attempt_id(endpoint_session& session) {
    session.attempt = attempt_id{++last_attempt_id_};
}

endpoint_session* attempt_book::find(attempt_id attempt) {
    const auto same = [attempt](const endpoint_session& session) { return session.attempt == attempt; };
    const auto it = std::find_if(sessions_.begin(), sessions_.end(), same);
    return it == sessions_.end() ? nullptr : &*it;
}

void attempt_book::remove(attempt_id attempt) {
    std::erase_if(sessions_,
                  [attempt](const endpoint_session& session) { return session.attempt == attempt; });
}

} // namespace rattanbay::pipeline::internal
