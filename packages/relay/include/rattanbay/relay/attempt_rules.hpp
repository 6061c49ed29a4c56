#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/outcome.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/relay/call.hpp>

namespace rattanbay::relay {

/// How an attempt at an endpoint ended.
enum class attempt_end {
    /// The endpoint's own answer came whole, or a stream of it to its end.
    answered,
    /// The endpoint's own answer came whole and reports a failure.
    answered_with_failure,
    /// The endpoint said that it did not run the request.
    declined,
    /// Nothing was sent: no connection could be opened.
    not_sent,
    /// The connection broke or fell silent, or the bytes were no answer to this request.
    broken,
    /// The time for the answer passed.
    timed_out,
    /// The client closed its connection.
    abandoned,
};

/// What is known about the request's work after an attempt that ended so.
base::outcome outcome_after(attempt_end end);

/// Whether the request may be sent once more after an attempt that ended so and of which nothing was
/// passed on to the client.
bool may_resend(attempt_end end, config::retry_mode rule);

/// Whether the head is an answer to the request of which the status, the fields and the body may be
/// passed on.
bool is_answer_to(const answer_head& head, const base::request_id& id);

} // namespace rattanbay::relay

template <> struct rattanbay::base::enum_names<rattanbay::relay::attempt_end> {
    static constexpr std::array<enum_name<relay::attempt_end>, 7> table{{
        {relay::attempt_end::answered, "answered"},
        {relay::attempt_end::answered_with_failure, "answered_with_failure"},
        {relay::attempt_end::declined, "declined"},
        {relay::attempt_end::not_sent, "not_sent"},
        {relay::attempt_end::broken, "broken"},
        {relay::attempt_end::timed_out, "timed_out"},
        {relay::attempt_end::abandoned, "abandoned"},
    }};
};
