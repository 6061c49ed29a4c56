#include <rattanbay/relay/attempt_rules.hpp>

namespace rattanbay::relay {

base::outcome outcome_after(attempt_result result) {
    switch (result) {
    case attempt_result::declined:
    case attempt_result::not_sent:
        return base::outcome::not_run;
    case attempt_result::answered:
    case attempt_result::answered_with_failure:
        return base::outcome::ran;
    case attempt_result::broken:
    case attempt_result::timed_out:
    case attempt_result::abandoned:
        break;
    }
    return base::outcome::unknown;
}

bool may_resend(attempt_result result, config::retry_mode rule) {
    switch (result) {
    case attempt_result::declined:
    case attempt_result::not_sent:
        return true;
    case attempt_result::broken:
    case attempt_result::timed_out:
    case attempt_result::answered_with_failure:
        return rule != config::retry_mode::at_most_once;
    case attempt_result::answered:
    case attempt_result::abandoned:
        break;
    }
    return false;
}

bool counts_as_attempt(attempt_result result, const endpoint_response_header& header) {
    return result != attempt_result::declined || !header.is_misdirected;
}

bool is_refusal_of(const endpoint_response_header& header, const base::request_id& id,
                   bool is_first_on_connection) {
    return header.not_run && (header.request_id ? header.request_id == id : is_first_on_connection);
}

bool is_unproven_refusal(const endpoint_response_header& header, config::retry_mode rule) {
    return rule == config::retry_mode::at_most_once && header.has_refusal_status && !header.not_run;
}

bool is_response_to(const endpoint_response_header& header, const base::request_id& id) {
    constexpr int first_success_status = 200;
    constexpr int first_redirect_status = 300;
    const bool success = header.status >= first_success_status && header.status < first_redirect_status;
    return header.request_id == id && !header.has_content_encoding && (header.is_signed || !success);
}

} // namespace rattanbay::relay
