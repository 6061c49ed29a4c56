#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/outcome.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/relay/messages.hpp>

namespace rattanbay::relay {

/// Result of an attempt at an endpoint.
enum class attempt_result {
    /// The endpoint's response was received completely, including the end of a stream.
    answered,
    /// The endpoint's response was received completely and reports a failure.
    answered_with_failure,
    /// The endpoint reported that it did not run the request.
    declined,
    /// Nothing was sent, because no connection could be opened.
    not_sent,
    /// The connection broke or went silent, or the received data was not a response to this request.
    broken,
    /// No response arrived before the timeout.
    timed_out,
    /// The client closed its connection.
    abandoned,
};

/// Returns what is known about whether the request's work ran after an attempt with this result.
base::outcome outcome_after(attempt_result result);

/// Whether the request may be sent again after an attempt with this result, given that nothing of the
/// response was passed on to the client.
bool may_resend(attempt_result result, config::retry_mode rule);

/// Whether a sent attempt with this result counts toward the route's maximum number of endpoints that may run
/// the request. A misdirected one does not: the endpoint that it was meant for never got it, and the one that
/// did says that it was not run.
bool counts_as_attempt(attempt_result result, const endpoint_response_header& header);

/// Whether the header belongs to a refusal of request `id`, which was not and will not be run. A refusal that
/// names no request counts only as the first response on its connection, because a faulty endpoint may repeat
/// an earlier one.
bool is_refusal_of(const endpoint_response_header& header, const base::request_id& id,
                   bool is_first_on_connection);

/// Whether clients would take the response for a refusal of a request that may run once, though the endpoint
/// does not say that it was not run. Such a response must not be passed on.
bool is_unproven_refusal(const endpoint_response_header& header, config::retry_mode rule);

/// Whether the header belongs to a response to request `id` whose status, fields and body may be passed on to
/// the client.
bool is_response_to(const endpoint_response_header& header, const base::request_id& id);

} // namespace rattanbay::relay

template <> struct rattanbay::base::enum_names<rattanbay::relay::attempt_result> {
    static constexpr std::array<enum_name<relay::attempt_result>, 7> table{{
        {relay::attempt_result::answered, "answered"},
        {relay::attempt_result::answered_with_failure, "answered_with_failure"},
        {relay::attempt_result::declined, "declined"},
        {relay::attempt_result::not_sent, "not_sent"},
        {relay::attempt_result::broken, "broken"},
        {relay::attempt_result::timed_out, "timed_out"},
        {relay::attempt_result::abandoned, "abandoned"},
    }};
};
