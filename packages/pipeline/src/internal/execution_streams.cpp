// Token streams: validation and resumption.

#include "internal/execution_state.hpp"

namespace rattanbay::pipeline {

namespace {

/// Maximum number of times one stream is resumed.
constexpr std::uint32_t max_resume_count = 2;

} // namespace

void execution::state::on(const token_received& ev, base::time_point now) {
    endpoint_session* session = attempt_book_.find(ev.attempt);
    if (session == nullptr || !session->started) {
        return;
    }
    if (ev.echo && *ev.echo != session->attempt_header) {
        abort_connection(*session, "the stream belongs to another attempt", now);
        return;
    }
    if (!internal::is_valid_stream_id(ev.stream) || ev.stream != session->stream.value_or(ev.stream)) {
        abort_connection(*session, "the token belongs to another stream", now);
        return;
    }
    session->stream = ev.stream;
    switch (session->assembler.add(ev.index, ev.text)) {
    case internal::token_status::duplicate:
        return;
    case internal::token_status::gap:
        abort_connection(*session, "the stream skipped a token", now);
        return;
    case internal::token_status::mismatch:
        // It is unknown which text is right, so the generation is not resumed.
        fail_session(*session, attempt_result::failed,
                     "the stream repeated a token index with different text", now);
        return;
    case internal::token_status::appended:
        break;
    }
    if (emits_tokens()) {
        // Tokens of two generations must not be mixed, so the first session to emit a token is kept.
        token_emitted_ = true;
        cancel_others(ev.attempt, now);
        actions_.emplace_back(emit_token{ev.index, ev.text});
    }
}

void execution::state::abort_connection(endpoint_session& session, const std::string& reason,
                                        base::time_point now) {
    // The stream is not cancelled at its engine, so that it can be resumed.
    actions_.emplace_back(cancel_attempt{session.attempt, session.address, std::nullopt});
    resume_or_fail(session, attempt_result::failed, reason, now);
}

void execution::state::resume_or_fail(endpoint_session& session, attempt_result result,
                                      const std::string& reason, base::time_point now) {
    const bool resumable = progress_.stage().idempotent && session.stream && session.assembler.has_tokens();
    if (!resumable || session.resume_count >= max_resume_count || now >= stage_deadline()) {
        fail_session(session, result, reason, now);
        return;
    }
    ++session.resume_count;
    session.resuming = true;
    attempt_book_.assign_new_attempt_id(session);
    send_attempt(session, internal::make_resume_call(*session.stream, session.assembler.token_count() - 1),
                 now);
}

} // namespace rattanbay::pipeline
