#include "internal/caller_handler.hpp"

#include "internal/clock.hpp"
#include "internal/entry_list.hpp"

#include <rattanbay/base/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::daemon::internal {

namespace {

constexpr int status_ok = 200;

base::problem not_run(base::problem_kind kind, std::string detail) {
    return base::problem{kind, base::outcome::not_run, std::move(detail), std::nullopt};
}

/// A refusal before the ledger was asked: nothing is known about other copies of a request with a
/// key, which may have run elsewhere.
base::problem refused_here(const caller::run_request& parsed, base::problem_kind kind, std::string detail) {
    const base::outcome known = parsed.idempotency_key ? base::outcome::unknown : base::outcome::not_run;
    return base::problem{kind, known, std::move(detail), std::nullopt};
}

http::response_header stream_head(const base::request_id& id) {
    http::response_header head;
    head.status = status_ok;
    head.fields.add("Content-Type", "text/event-stream");
    head.fields.add("Cache-Control", "no-store");
    head.fields.add("X-Request-Id", id.text());
    return head;
}

caller::run_response parts_of(const caller::run_request& parsed, const pipeline::complete& complete) {
    caller::run_response parts{parsed.id, parsed.pipeline, complete.output, {}, complete.tokens};
    for (const pipeline::stage_report& stage : complete.stages) {
        parts.stages.push_back(caller::stage_usage{stage.name, stage.attempts, stage.took});
    }
    return parts;
}

http::response whole_answer(std::string body, const base::request_id& id) {
    http::response answer = http::json_response(status_ok, std::move(body));
    answer.fields.add("X-Request-Id", id.text());
    return answer;
}

/// Counts a request as in progress while it exists.
class progress_count {
public:
    explicit progress_count(shared_state& shared)
        : shared_(shared) {
        shared_.requests_in_progress.fetch_add(1);
    }

    progress_count(const progress_count&) = delete;
    progress_count& operator=(const progress_count&) = delete;

    ~progress_count() { shared_.requests_in_progress.fetch_sub(1); }

private:
    shared_state& shared_;
};

} // namespace

caller_handler::caller_handler(shared_state& shared, admission_gate& gate, std::shared_ptr<control> control)
    : shared_(shared)
    , gate_(gate)
    , control_(std::move(control)) {}

asio::awaitable<void> caller_handler::handle(const http::request& message, http::responder& out) {
    const std::string path(http::target_path(message.target));
    if (caller::is_run_request(message.target)) {
        co_await run(message, out);
        co_return;
    }
    http::response answer;
    if (path == "/v1/entries") {
        answer = entry_list(shared_, *control_);
    } else if (path == "/healthz") {
        answer = http::json_response(status_ok, R"({"status":"live"})");
    } else if (path == "/readyz") {
        const std::optional<std::string> reason = shared_.refusal_reason();
        answer = reason ? caller::problem_response(not_run(base::problem_kind::not_ready, *reason), {})
                        : http::json_response(status_ok, R"({"status":"ready"})");
    } else {
        answer = caller::problem_response(
            not_run(base::problem_kind::unknown_pipeline, "there is no '" + path + "'"), {});
    }
    co_await out.send(std::move(answer));
}

asio::awaitable<void> caller_handler::run(const http::request& message, http::responder& out) {
    accepted work;
    work.arrival = now();
    tl::expected<caller::run_request, base::problem> head = caller::parse_run_header(message);
    if (!head) {
        const base::request_id id(message.fields.find("X-Request-Id").value_or(std::string()));
        co_await reject(id, head.error(), out);
        co_return;
    }
    work.parsed = std::move(*head);
    if (work.parsed.id.empty()) {
        work.parsed.id = base::request_id("r-" + shared_.unique_suffix());
    }
    work.serving = shared_.serving.read();
    const std::optional<std::string> reason = shared_.refusal_reason();
    if (reason) {
        base::problem problem = refused_here(work.parsed, base::problem_kind::not_ready, *reason);
        co_await refuse(work, std::move(problem), out);
        co_return;
    }
    work.account = work.serving->document->account_of_token(base::sha256_hex(work.parsed.token));
    if (work.account == nullptr) {
        base::problem problem = refused_here(work.parsed, base::problem_kind::unauthenticated,
                                             "send 'Authorization: Bearer <token>' of a client account");
        co_await refuse(work, std::move(problem), out);
        co_return;
    }
    // The body of an unknown caller is not worth the time to parse it.
    tl::expected<caller::run_request, base::problem> whole =
        caller::parse_run_body(work.parsed, message.body);
    if (!whole) {
        co_await reject(work.parsed.id, whole.error(), out);
        co_return;
    }
    work.parsed = std::move(*whole);
    const progress_count counted(shared_);
    shared_.record(work.parsed.id, telemetry::timeline_event::request_accepted,
                   {{"account", work.account->name.text()}, {"pipeline", work.parsed.pipeline.text()}});
    co_await run_accepted(work, message, out);
}

asio::awaitable<void> caller_handler::reject(base::request_id id, base::problem problem,
                                             http::responder& out) {
    telemetry::log(telemetry::log_event::request_rejected,
                   {{"request", id.text()}, {"detail", problem.detail}});
    http::response answer = caller::problem_response(problem, id);
    co_await out.send(std::move(answer));
}

asio::awaitable<void> caller_handler::run_accepted(const accepted& work, const http::request& message,
                                                   http::responder& out) {
    if (work.parsed.idempotency_key) {
        const base::result<ledger::key> key =
            ledger::key::parse(*work.parsed.idempotency_key, shared_.settings.cluster_secret);
        if (key) {
            co_await run_keyed(work, *key, message, out);
            co_return;
        }
    }
    const auto it = work.serving->document->pipelines.find(work.parsed.pipeline);
    if (it == work.serving->document->pipelines.end()) {
        base::problem problem = refused_here(work.parsed, base::problem_kind::unknown_pipeline,
                                             "there is no pipeline '" + work.parsed.pipeline.text() + "'");
        co_await refuse(work, std::move(problem), out);
        co_return;
    }
    if (!it->second.idempotent()) {
        const bool given = work.parsed.idempotency_key.has_value();
        // No VM runs a non-idempotent pipeline without a valid key, so `not_run` holds for all copies.
        base::problem problem =
            not_run(given ? base::problem_kind::invalid_idempotency_key
                          : base::problem_kind::idempotency_key_required,
                    "use '<key_prefix>.<your own id>' with a key_prefix from GET /v1/entries");
        co_await refuse(work, std::move(problem), out);
        co_return;
    }
    co_await run_plain(work, it->second, out);
}

asio::awaitable<void> caller_handler::run_keyed(const accepted& work, ledger::key key,
                                                const http::request& message, http::responder& out) {
    keyed_run run = make_keyed_run(shared_, key, work.account->name, work.parsed, message.target,
                                   message.body, work.arrival);
    const tl::expected<limits::permit, limits::refusal> permit =
        shared_.account_limits.admit(work.account->name, work.arrival);
    if (!permit && !run.refusal) {
        run.refusal = not_run(base::problem_kind::limit_exceeded, "the client account is over its limit");
    }
    const std::shared_ptr<control> control = control_;
    ledger::reply reply = co_await asio::co_spawn(
        control->strand(), control->ledger().reply_to(std::move(run)), asio::use_awaitable);
    if (const base::problem* problem = std::get_if<base::problem>(&reply)) {
        co_await refuse(work, *problem, out);
        co_return;
    }
    const ledger::answer& answered = std::get<ledger::answer>(reply);
    shared_.metrics.record_request(work.parsed.pipeline, "answered", now() - work.arrival);
    shared_.record(work.parsed.id, telemetry::timeline_event::request_completed, {});
    http::response answer = whole_answer(answered.body, work.parsed.id);
    answer.status = answered.status;
    co_await out.send(std::move(answer));
}

asio::awaitable<void> caller_handler::run_plain(const accepted& work, const config::pipeline& plan,
                                                http::responder& out) {
    const base::duration left = std::min(work.parsed.deadline.value_or(plan.deadline), plan.deadline);
    const base::time_point deadline = work.arrival + left;
    if (left <= base::duration::zero()) {
        base::problem problem =
            not_run(base::problem_kind::deadline_exceeded, "the deadline has passed on arrival");
        co_await refuse(work, std::move(problem), out);
        co_return;
    }
    const tl::expected<limits::permit, limits::refusal> permit =
        shared_.account_limits.admit(work.account->name, work.arrival);
    if (!permit) {
        base::problem problem =
            not_run(base::problem_kind::limit_exceeded, "the client account is over its limit");
        co_await refuse(work, std::move(problem), out);
        co_return;
    }
    const base::request_id place("q-" + shared_.unique_suffix());
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const bool entered =
        co_await gate_.enter(executor, place, work.account->name, deadline, base::duration::zero());
    if (!entered) {
        base::problem problem =
            not_run(base::problem_kind::overloaded, "no place became free before the deadline");
        co_await refuse(work, std::move(problem), out);
        co_return;
    }
    run_result result = co_await drive(work, plan, deadline, out);
    gate_.leave(place);
    co_await answer(work, std::move(result), out);
}

asio::awaitable<run_result> caller_handler::drive(const accepted& work, const config::pipeline& plan,
                                                  base::time_point deadline, http::responder& out) {
    run_input input;
    input.visible_id = work.parsed.id;
    input.work.id = base::request_id(work.parsed.id.text() + "~" + shared_.unique_suffix());
    input.work.input = work.parsed.input;
    input.work.streamed = work.parsed.streamed;
    input.work.max_tokens = work.parsed.max_tokens;
    input.work.seed = work.parsed.seed;
    input.work.priority = work.account->priority;
    input.work.deadline = deadline;
    input.plan = plan;
    input.serving = work.serving;
    token_sink sink;
    if (work.parsed.streamed) {
        sink = [&work, &out](std::uint64_t index, std::string text) -> asio::awaitable<bool> {
            if (!out.started()) {
                http::response_header head = stream_head(work.parsed.id);
                const base::result<void> begun = co_await out.begin_stream(std::move(head));
                if (!begun) {
                    co_return false;
                }
            }
            std::string data =
                caller::stream_chunk(work.parsed.format, work.parsed.id, work.parsed.pipeline, index, text);
            const caller::server_sent_event chunk{"", std::move(data)};
            std::string piece = caller::format_event(chunk);
            const base::result<void> written = co_await out.write(std::move(piece));
            co_return written.has_value();
        };
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<run_driver> driver = std::make_shared<run_driver>(shared_, executor, input);
    co_return co_await driver->run(sink);
}

asio::awaitable<void> caller_handler::answer(const accepted& work, run_result result, http::responder& out) {
    if (const base::problem* problem = std::get_if<base::problem>(&result)) {
        co_await refuse(work, *problem, out);
        co_return;
    }
    const pipeline::complete& complete = std::get<pipeline::complete>(result);
    const caller::run_response parts = parts_of(work.parsed, complete);
    shared_.metrics.record_request(work.parsed.pipeline, "answered", now() - work.arrival);
    shared_.metrics.add_tokens(work.parsed.pipeline, complete.tokens);
    shared_.record(work.parsed.id, telemetry::timeline_event::request_completed,
                   {{"tokens", std::to_string(complete.tokens)}});
    if (!work.parsed.streamed) {
        http::response answer =
            whole_answer(caller::response_body(work.parsed.format, parts), work.parsed.id);
        co_await out.send(std::move(answer));
        co_return;
    }
    std::string tail;
    if (!out.started()) {
        http::response_header head = stream_head(work.parsed.id);
        co_await out.begin_stream(std::move(head));
        // A pipeline whose last stage is no model engine has its output as the only chunk.
        const caller::server_sent_event only{"",
                                             caller::stream_chunk(work.parsed.format, work.parsed.id,
                                                                  work.parsed.pipeline, 0, complete.output)};
        tail = caller::format_event(only);
    }
    const caller::server_sent_event last{"", caller::final_stream_chunk(work.parsed.format, parts)};
    const caller::server_sent_event end{"", std::string(caller::end_of_stream)};
    tail += caller::format_event(last) + caller::format_event(end);
    co_await out.write(std::move(tail));
    co_await out.end_stream();
}

asio::awaitable<void> caller_handler::refuse(const accepted& work, base::problem problem,
                                             http::responder& out) {
    const std::string kind(base::to_name(problem.kind));
    shared_.metrics.record_request(work.parsed.pipeline, kind, now() - work.arrival);
    const telemetry::event_fields fields{{"request", work.parsed.id.text()},
                                         {"kind", kind},
                                         {"outcome", std::string(base::to_name(problem.outcome))},
                                         {"detail", problem.detail}};
    const bool before_work = problem.outcome == base::outcome::not_run;
    telemetry::log(before_work ? telemetry::log_event::request_refused : telemetry::log_event::request_failed,
                   fields);
    shared_.record(work.parsed.id, telemetry::timeline_event::request_ended_with_problem, fields);
    if (!out.started()) {
        http::response answer = caller::problem_response(problem, work.parsed.id);
        co_await out.send(std::move(answer));
        co_return;
    }
    const caller::server_sent_event failed{"error", caller::problem_body(problem, work.parsed.id)};
    std::string piece = caller::format_event(failed);
    co_await out.write(std::move(piece));
    co_await out.end_stream();
}

} // namespace rattanbay::daemon::internal
