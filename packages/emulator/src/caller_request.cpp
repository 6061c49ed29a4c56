#include <rattanbay/emulator/caller_request.hpp>

#include <algorithm>
#include <array>

namespace rattanbay::emulator {

namespace {

constexpr const char* no_answer = "no_answer";

/// Whether a problem concerns a single VM or endpoint, so that another VM may succeed. Limits,
/// overload and deadlines are not retried because retries would add load.
bool is_retryable(const std::string& type) {
    constexpr std::array<std::string_view, 6> types{"not_ready",         "no_endpoint",
                                                    "stage_failed",      "internal_error",
                                                    "owner_unreachable", "record_unavailable"};
    return std::find(types.begin(), types.end(), type) != types.end();
}

} // namespace

struct caller_request::visitor {
    caller_request& self;
    entry_directory& entries;
    base::time_point now;

    request_action operator()(const request_ready&) const { return self.start(entries, now); }

    request_action operator()(const request_succeeded&) const {
        return self.finish(base::outcome::ran, std::string());
    }

    request_action operator()(const request_refused& event) const {
        return self.handle_refusal(event.problem, entries, now);
    }

    request_action operator()(const connect_failed&) const {
        return self.handle_connect_failure(entries, now);
    }

    request_action operator()(const response_lost&) const { return self.handle_lost_response(entries, now); }
};

request_action caller_request::handle(const request_event& event, entry_directory& entries,
                                      base::time_point now) {
    return std::visit(visitor{*this, entries, now}, event);
}

request_action caller_request::start(entry_directory& entries, base::time_point now) {
    if (!entries.has_list()) {
        return now < parameters_.deadline ? request_action(fetch_entries{})
                                          : finish(base::outcome::not_run, no_answer);
    }
    return send_to_next_entry(entries, now, no_answer);
}

request_action caller_request::handle_refusal(const problem_details& problem, entry_directory& entries,
                                              base::time_point now) {
    if (problem.outcome != base::outcome::not_run) {
        const bool again = parameters_.idempotent && is_retryable(problem.type);
        return again ? send_to_next_entry(entries, now, problem.type) : finish(problem.outcome, problem.type);
    }
    // The key will never be executed, so a new key cannot cause a second execution.
    key_in_doubt_ = false;
    key_.clear();
    if (!parameters_.idempotent && problem.retry_key_prefix && can_send(now)) {
        use_new_key(*problem.retry_key_prefix);
        return send(current_);
    }
    if (is_retryable(problem.type)) {
        return send_to_next_entry(entries, now, problem.type);
    }
    return finish(base::outcome::not_run, problem.type);
}

request_action caller_request::handle_connect_failure(entry_directory& entries, base::time_point now) {
    entries.record_failure(current_, now);
    if (!key_in_doubt_) {
        // No VM has seen the key, so a key with another VM's prefix is safe.
        key_.clear();
    }
    return send_to_next_entry(entries, now, no_answer);
}

request_action caller_request::handle_lost_response(entry_directory& entries, base::time_point now) {
    entries.record_failure(current_, now);
    key_in_doubt_ = true;
    return send_to_next_entry(entries, now, no_answer);
}

request_action caller_request::send_to_next_entry(entry_directory& entries, base::time_point now,
                                                  std::string last_problem) {
    const std::optional<entry> next = entries.select_entry(tried_entries_, now);
    if (!can_send(now) || !next) {
        return finish(key_in_doubt_ ? base::outcome::unknown : base::outcome::not_run,
                      std::move(last_problem));
    }
    if (!parameters_.idempotent && key_.empty()) {
        use_new_key(next->key_prefix);
    }
    return send(next->address);
}

request_action caller_request::send(const base::address& address) {
    constexpr base::duration backoff_step = std::chrono::milliseconds(50);
    current_ = address;
    tried_entries_.push_back(address);
    const base::duration backoff = backoff_step * static_cast<base::duration::rep>(send_count_);
    ++send_count_;
    return send_request{address, key_, backoff};
}

request_action caller_request::finish(base::outcome outcome, std::string problem) const {
    return finish_request{outcome, std::move(problem)};
}

bool caller_request::can_send(base::time_point now) const {
    return send_count_ < parameters_.max_sends && now < parameters_.deadline;
}

void caller_request::use_new_key(const std::string& prefix) {
    key_ = prefix + "." + parameters_.key_suffix;
    keys_.push_back(key_);
}

} // namespace rattanbay::emulator
