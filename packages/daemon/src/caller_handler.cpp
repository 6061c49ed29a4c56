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

base::problem not_run_problem(base::problem_kind kind, std::string detail) {
    return base::problem{kind, base::outcome::not_run, std::move(detail), std::nullopt};
}

/// Problem of a request that is refused before the ledger is consulted. If the request has a key, the outcome
/// is unknown because another copy may have run on another VM.
base::problem problem_before_ledger(const caller::run_request& run_request, base::problem_kind kind,
                                    std::string detail) {
    const base::outcome outcome =
        run_request.idempotency_key ? base::outcome::unknown : base::outcome::not_run;
    return base::problem{kind, outcome, std::move(detail), std::nullopt};
}

http::response_header stream_response_header(const base::request_id& id) {
    http::response_header header;
    header.status = status_ok;
    header.fields.add("Content-Type", "text/event-stream");
    header.fields.add("Cache-Control", "no-store");
    header.fields.add("X-Request-Id", id.text());
    return header;
}

caller::run_response run_response_of(const caller::run_request& run_request,
                                     const pipeline::complete& complete) {
    caller::run_response parts{run_request.id, run_request.pipeline, complete.output, {}, complete.tokens};
    for (const pipeline::stage_report& stage : complete.stages) {
        parts.stages.push_back(caller::stage_usage{stage.name, stage.attempts, stage.elapsed});
    }
    return parts;
}

http::response complete_response(std::string body, const base::request_id& id) {
    http::response response = http::json_response(status_ok, std::move(body));
    response.fields.add("X-Request-Id", id.text());
    return response;
}

/// Counts a request as in progress during its lifetime.
class in_progress_guard {
public:
    explicit in_progress_guard(shared_state& shared)
        : shared_(shared) {
        shared_.requests_in_progress.fetch_add(1);
    }

    in_progress_guard(const in_progress_guard&) = delete;
    in_progress_guard& operator=(const in_progress_guard&) = delete;

    ~in_progress_guard() { shared_.requests_in_progress.fetch_sub(1); }

private:
    shared_state& shared_;
};

} // namespace

caller_handler::caller_handler(shared_state& shared, admission_gate& gate,
                               std::shared_ptr<control_plane> control_plane)
    : shared_(shared)
    , admission_gate_(gate)
    , control_plane_(std::move(control_plane)) {}

asio::awaitable<void> caller_handler::handle(const http::request& message, http::responder& responder) {
    const std::string path(http::target_path(message.target));
    if (caller::is_run_request(message.target)) {
        co_await handle_run(message, responder);
        co_return;
    }
    http::response response;
    if (path == "/v1/entries") {
        response = entry_list_response(shared_, *control_plane_);
    } else if (path == "/healthz") {
        response = http::json_response(status_ok, R"({"status":"live"})");
    } else if (path == "/readyz") {
        const std::optional<std::string> reason = shared_.refusal_reason();
        response = reason
                       ? caller::problem_response(not_run_problem(base::problem_kind::not_ready, *reason), {})
                       : http::json_response(status_ok, R"({"status":"ready"})");
    } else {
        response = caller::problem_response(
            not_run_problem(base::problem_kind::unknown_pipeline, "the path '" + path + "' does not exist"),
            {});
    }
    co_await responder.send(std::move(response));
}

asio::awaitable<void> caller_handler::handle_run(const http::request& message, http::responder& responder) {
    run_context context;
    context.arrival = now();
    tl::expected<caller::run_request, base::problem> header = caller::parse_run_header(message);
    if (!header) {
        const base::request_id id(message.fields.find("X-Request-Id").value_or(std::string()));
        co_await send_rejection(id, header.error(), responder);
        co_return;
    }
    context.run_request = std::move(*header);
    if (context.run_request.id.empty()) {
        context.run_request.id = base::request_id("r-" + shared_.unique_suffix());
    }
    context.serving = shared_.serving.read();
    const std::optional<std::string> reason = shared_.refusal_reason();
    if (reason) {
        base::problem problem =
            problem_before_ledger(context.run_request, base::problem_kind::not_ready, *reason);
        co_await send_problem(context, std::move(problem), responder);
        co_return;
    }
    context.account =
        context.serving->document->find_account_by_token(base::sha256_hex(context.run_request.token));
    if (context.account == nullptr) {
        base::problem problem =
            problem_before_ledger(context.run_request, base::problem_kind::unauthenticated,
                                  "send 'Authorization: Bearer <token>' of a client account");
        co_await send_problem(context, std::move(problem), responder);
        co_return;
    }
    // The body is parsed only after authentication, so that no time is spent on unknown callers.
    tl::expected<caller::run_request, base::problem> complete_request =
        caller::parse_run_body(context.run_request, message.body);
    if (!complete_request) {
        co_await send_rejection(context.run_request.id, complete_request.error(), responder);
        co_return;
    }
    context.run_request = std::move(*complete_request);
    const in_progress_guard in_progress(shared_);
    shared_.record(
        context.run_request.id, telemetry::timeline_event::request_accepted,
        {{"account", context.account->name.text()}, {"pipeline", context.run_request.pipeline.text()}});
    co_await run_authenticated(context, message, responder);
}

asio::awaitable<void> caller_handler::send_rejection(base::request_id id, base::problem problem,
                                                     http::responder& responder) {
    telemetry::log(telemetry::log_event::request_rejected,
                   {{"request", id.text()}, {"detail", problem.detail}});
    http::response response = caller::problem_response(problem, id);
    co_await responder.send(std::move(response));
}

asio::awaitable<void> caller_handler::run_authenticated(const run_context& context,
                                                        const http::request& message,
                                                        http::responder& responder) {
    if (context.run_request.idempotency_key) {
        const base::result<ledger::key> key =
            ledger::key::parse(*context.run_request.idempotency_key, shared_.settings.cluster_secret);
        if (key) {
            co_await run_keyed(context, *key, message, responder);
            co_return;
        }
    }
    const auto it = context.serving->document->pipelines.find(context.run_request.pipeline);
    if (it == context.serving->document->pipelines.end()) {
        base::problem problem = problem_before_ledger(
            context.run_request, base::problem_kind::unknown_pipeline,
            "the pipeline '" + context.run_request.pipeline.text() + "' does not exist");
        co_await send_problem(context, std::move(problem), responder);
        co_return;
    }
    if (!it->second.idempotent()) {
        const bool has_key = context.run_request.idempotency_key.has_value();
        // No VM runs a non-idempotent pipeline without a valid key, so `not_run` is true for all copies.
        base::problem problem =
            not_run_problem(has_key ? base::problem_kind::invalid_idempotency_key
                                    : base::problem_kind::idempotency_key_required,
                            "use '<key_prefix>.<your own id>' with a key_prefix from GET /v1/entries");
        co_await send_problem(context, std::move(problem), responder);
        co_return;
    }
    co_await run_unkeyed(context, it->second, responder);
}

asio::awaitable<void> caller_handler::run_keyed(const run_context& context, ledger::key key,
                                                const http::request& message, http::responder& responder) {
    keyed_run run = make_keyed_run(shared_, key, context.account->name, context.run_request, message.target,
                                   message.body, context.arrival);
    const tl::expected<limits::permit, limits::refusal> permit =
        shared_.account_limits.admit(context.account->name, context.arrival);
    if (!permit && !run.refusal) {
        run.refusal =
            not_run_problem(base::problem_kind::limit_exceeded, "the client account is over its limit");
    }
    const std::shared_ptr<control_plane> control_plane = control_plane_;
    ledger::reply reply = co_await asio::co_spawn(
        control_plane->strand(), control_plane->ledger().reply_to(std::move(run)), asio::use_awaitable);
    if (const base::problem* problem = std::get_if<base::problem>(&reply)) {
        co_await send_problem(context, *problem, responder);
        co_return;
    }
    const ledger::response& ledger_response = std::get<ledger::response>(reply);
    shared_.metrics.record_request(context.run_request.pipeline, "answered", now() - context.arrival);
    shared_.record(context.run_request.id, telemetry::timeline_event::request_completed, {});
    http::response response = complete_response(ledger_response.body, context.run_request.id);
    response.status = ledger_response.status;
    co_await responder.send(std::move(response));
}

asio::awaitable<void> caller_handler::run_unkeyed(const run_context& context,
                                                  const config::pipeline& pipeline_config,
                                                  http::responder& responder) {
    const base::duration time_left =
        std::min(context.run_request.deadline.value_or(pipeline_config.deadline), pipeline_config.deadline);
    const base::time_point deadline = context.arrival + time_left;
    if (time_left <= base::duration::zero()) {
        base::problem problem = not_run_problem(base::problem_kind::deadline_exceeded,
                                                "the deadline had passed when the request arrived");
        co_await send_problem(context, std::move(problem), responder);
        co_return;
    }
    const tl::expected<limits::permit, limits::refusal> permit =
        shared_.account_limits.admit(context.account->name, context.arrival);
    if (!permit) {
        base::problem problem =
            not_run_problem(base::problem_kind::limit_exceeded, "the client account is over its limit");
        co_await send_problem(context, std::move(problem), responder);
        co_return;
    }
    const base::request_id slot_id("q-" + shared_.unique_suffix());
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const bool admitted = co_await admission_gate_.acquire(executor, slot_id, context.account->name, deadline,
                                                           base::duration::zero());
    if (!admitted) {
        base::problem problem = not_run_problem(base::problem_kind::overloaded,
                                                "the admission queue is full or the deadline cannot be met");
        co_await send_problem(context, std::move(problem), responder);
        co_return;
    }
    run_result result = co_await run_pipeline(context, pipeline_config, deadline, responder);
    admission_gate_.release(slot_id);
    co_await send_result(context, std::move(result), responder);
}

asio::awaitable<run_result> caller_handler::run_pipeline(const run_context& context,
                                                         const config::pipeline& pipeline_config,
                                                         base::time_point deadline,
                                                         http::responder& responder) {
    run_input input;
    input.caller_request_id = context.run_request.id;
    input.request.id = base::request_id(context.run_request.id.text() + "~" + shared_.unique_suffix());
    input.request.input = context.run_request.input;
    input.request.streamed = context.run_request.streamed;
    input.request.max_tokens = context.run_request.max_tokens;
    input.request.seed = context.run_request.seed;
    input.request.priority = context.account->priority;
    input.request.deadline = deadline;
    input.pipeline_config = pipeline_config;
    input.serving = context.serving;
    token_sink sink;
    if (context.run_request.streamed) {
        sink = [&context, &responder](std::uint64_t index, std::string text) -> asio::awaitable<bool> {
            if (!responder.started()) {
                http::response_header header = stream_response_header(context.run_request.id);
                const base::result<void> begin_result = co_await responder.begin_stream(std::move(header));
                if (!begin_result) {
                    co_return false;
                }
            }
            std::string data = caller::stream_chunk(context.run_request.format, context.run_request.id,
                                                    context.run_request.pipeline, index, text);
            const caller::server_sent_event chunk{"", std::move(data)};
            std::string event_text = caller::format_event(chunk);
            const base::result<void> write_result = co_await responder.write(std::move(event_text));
            co_return write_result.has_value();
        };
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<run_driver> driver = std::make_shared<run_driver>(shared_, executor, input);
    co_return co_await driver->run(sink);
}

asio::awaitable<void> caller_handler::send_result(const run_context& context, run_result result,
                                                  http::responder& responder) {
    if (const base::problem* problem = std::get_if<base::problem>(&result)) {
        co_await send_problem(context, *problem, responder);
        co_return;
    }
    const pipeline::complete& complete = std::get<pipeline::complete>(result);
    const caller::run_response parts = run_response_of(context.run_request, complete);
    shared_.metrics.record_request(context.run_request.pipeline, "answered", now() - context.arrival);
    shared_.metrics.add_tokens(context.run_request.pipeline, complete.tokens);
    shared_.record(context.run_request.id, telemetry::timeline_event::request_completed,
                   {{"tokens", std::to_string(complete.tokens)}});
    if (!context.run_request.streamed) {
        http::response response = complete_response(caller::response_body(context.run_request.format, parts),
                                                    context.run_request.id);
        co_await responder.send(std::move(response));
        co_return;
    }
    std::string tail;
    if (!responder.started()) {
        http::response_header header = stream_response_header(context.run_request.id);
        co_await responder.begin_stream(std::move(header));
        // If the last stage is not a model engine, the complete output is sent as a single chunk.
        const caller::server_sent_event only_chunk{
            "", caller::stream_chunk(context.run_request.format, context.run_request.id,
                                     context.run_request.pipeline, 0, complete.output)};
        tail = caller::format_event(only_chunk);
    }
    const caller::server_sent_event last_chunk{"",
                                               caller::final_stream_chunk(context.run_request.format, parts)};
    const caller::server_sent_event end_event{"", std::string(caller::end_of_stream)};
    tail += caller::format_event(last_chunk) + caller::format_event(end_event);
    co_await responder.write(std::move(tail));
    co_await responder.end_stream();
}

asio::awaitable<void> caller_handler::send_problem(const run_context& context, base::problem problem,
                                                   http::responder& responder) {
    const std::string kind(base::to_name(problem.kind));
    shared_.metrics.record_request(context.run_request.pipeline, kind, now() - context.arrival);
    const telemetry::event_fields fields{{"request", context.run_request.id.text()},
                                         {"kind", kind},
                                         {"outcome", std::string(base::to_name(problem.outcome))},
                                         {"detail", problem.detail}};
    const bool did_not_run = problem.outcome == base::outcome::not_run;
    telemetry::log(did_not_run ? telemetry::log_event::request_refused : telemetry::log_event::request_failed,
                   fields);
    shared_.record(context.run_request.id, telemetry::timeline_event::request_ended_with_problem, fields);
    if (!responder.started()) {
        http::response response = caller::problem_response(problem, context.run_request.id);
        co_await responder.send(std::move(response));
        co_return;
    }
    const caller::server_sent_event error_event{"error",
                                                caller::problem_body(problem, context.run_request.id)};
    std::string event_text = caller::format_event(error_event);
    co_await responder.write(std::move(event_text));
    co_await responder.end_stream();
}

} // namespace rattanbay::daemon::internal
