#include <rattanbay/relay/attempt_rules.hpp>

namespace rattanbay::relay {

base::outcome outcome_after(attempt_end end) {
    switch (end) {
    case attempt_end::declined:
    case attempt_end::not_sent:
        return base::outcome::not_run;
    case attempt_end::answered:
    case attempt_end::answered_with_failure:
        return base::outcome::ran;
    case attempt_end::broken:
    case attempt_end::timed_out:
    case attempt_end::abandoned:
        break;
    }
    return base::outcome::unknown;
}

bool may_resend(attempt_end end, config::retry_mode rule) {
    switch (end) {
    case attempt_end::declined:
    case attempt_end::not_sent:
        return true;
    case attempt_end::broken:
    case attempt_end::timed_out:
    case attempt_end::answered_with_failure:
        return rule != config::retry_mode::at_most_once;
    case attempt_end::answered:
    case attempt_end::abandoned:
        break;
    }
    return false;
}

bool is_answer_to(const answer_head& head, const base::request_id& id) {
    constexpr int first_success = 200;
    constexpr int first_redirection = 300;
    const bool success = head.status >= first_success && head.status < first_redirection;
    return head.answers == id && !head.is_coded && (head.is_signed || !success);
}

} // namespace rattanbay::relay
