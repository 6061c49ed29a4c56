#include "internal/run_driver.hpp"

#include "internal/clock.hpp"
#include "internal/oversized_response.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/json.hpp>
#include <rattanbay/caller/event_stream.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

using json = nlohmann::json;

/// Maximum time between two reads of a stream. Engines send a comment line every 250 ms.
constexpr std::chrono::seconds stream_read_timeout{1};
/// Time for a whole response body that is not a stream.
constexpr std::chrono::seconds body_timeout{5};
constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::seconds write_timeout{2};
constexpr int status_ok = 200;

std::vector<config::service> services_of(const run_input& input) {
    std::vector<config::service> result;
    result.reserve(input.pipeline_config.stages.size());
    for (const config::stage& stage : input.pipeline_config.stages) {
        result.push_back(input.serving->document->services.at(stage.service));
    }
    return result;
}

std::vector<pipeline::service_times> latencies_of(const shared_state& shared, const run_input& input) {
    std::vector<pipeline::service_times> result;
    result.reserve(input.pipeline_config.stages.size());
    for (const config::stage& stage : input.pipeline_config.stages) {
        result.push_back(shared.router.latency_percentiles(stage.service));
    }
    return result;
}

/// Hash of the first bytes of the input. Requests with a common prefix are routed to the replica whose cache
/// may contain it.
std::uint64_t affinity_key(const run_input& input) {
    constexpr std::size_t prefix_bytes = 256;
    return base::fast_hash(std::string_view(input.request.input).substr(0, prefix_bytes)).low;
}

/// Total number of generated tokens as reported by the last chunk of a stream.
std::optional<std::uint64_t> parse_token_count(const json& chunk) {
    const json usage = chunk.is_object() ? chunk.value("usage", json()) : json();
    const json count = usage.is_object() ? usage.value("completion_tokens", json()) : json();
    return count.is_number_unsigned() ? std::optional<std::uint64_t>(count.get<std::uint64_t>())
                                      : std::nullopt;
}

/// Token contained in a stream chunk, if any.
std::optional<pipeline::token_received> parse_chunk(pipeline::attempt_id attempt, const json& chunk) {
    if (!chunk.is_object() || !chunk.contains("index_token") || !chunk.contains("choices")) {
        return std::nullopt;
    }
    const json& choices = chunk["choices"];
    if (!choices.is_array() || choices.empty() || !chunk["index_token"].is_number_unsigned()) {
        return std::nullopt;
    }
    const json text = choices[0].is_object() ? choices[0].value("text", json()) : json();
    if (!text.is_string()) {
        return std::nullopt;
    }
    const json stream = chunk.value("id", json());
    return pipeline::token_received{attempt, stream.is_string() ? stream.get<std::string>() : std::string(),
                                    chunk["index_token"].get<std::uint64_t>(), text.get<std::string>()};
}

} // namespace

run_driver::run_driver(shared_state& shared, asio::any_io_executor executor, run_input input)
    : shared_(shared)
    , executor_(executor)
    , input_(std::move(input))
    , random_(shared.next_seed())
    , execution_(input_.request, input_.pipeline_config, services_of(input_), latencies_of(shared, input_))
    , timer_(executor)
    , wakeup_(executor, asio::steady_timer::time_point::max()) {}

asio::awaitable<run_result> run_driver::run(token_sink sink) {
    const std::shared_ptr<run_driver> self = shared_from_this();
    dispatch(pipeline::started{});
    while (!result_ || !pending_tokens_.empty()) {
        if (pending_tokens_.empty()) {
            boost::system::error_code ec;
            wakeup_.expires_at(asio::steady_timer::time_point::max());
            co_await wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        co_await forward_tokens(sink);
    }
    timer_.cancel();
    co_return std::move(*result_);
}

asio::awaitable<void> run_driver::forward_tokens(const token_sink& sink) {
    while (!pending_tokens_.empty()) {
        pending_token next = std::move(pending_tokens_.front());
        pending_tokens_.pop_front();
        const bool delivered = !sink || co_await sink(next.index, std::move(next.text));
        if (!delivered) {
            pending_tokens_.clear();
            dispatch(pipeline::caller_disconnected{});
        }
    }
}

void run_driver::dispatch(pipeline::event event) {
    events_.push_back(std::move(event));
    if (dispatching_) {
        return;
    }
    dispatching_ = true;
    while (!events_.empty()) {
        const pipeline::event next = std::move(events_.front());
        events_.pop_front();
        for (const pipeline::action& action : execution_.handle(next, now())) {
            std::visit([this](const auto& typed) { carry_out(typed); }, action);
        }
    }
    dispatching_ = false;
}

limits::retry_cause run_driver::retry_cause_for(pipeline::attempt_purpose purpose) const {
    if (purpose == pipeline::attempt_purpose::hedge) {
        return limits::retry_cause::hedge;
    }
    const bool failure_reported = last_result_ == pipeline::attempt_result::failed ||
                                  last_result_ == pipeline::attempt_result::refused_connection;
    return failure_reported ? limits::retry_cause::failure_reported : limits::retry_cause::no_response;
}

void run_driver::carry_out(const pipeline::request_route& action) {
    const base::time_point time = now();
    const std::shared_ptr<limits::retry_budget> budget = input_.serving->retry_budgets.at(action.service);
    if (action.purpose == pipeline::attempt_purpose::first) {
        budget->count_call(time);
    } else if (!budget->try_spend(time, retry_cause_for(action.purpose))) {
        dispatch(pipeline::route_refused{action.attempt, pipeline::route_refusal::retry_budget_exhausted});
        return;
    }
    routing::route_request request;
    request.service = action.service;
    request.excluded = action.excluded;
    request.purpose = action.purpose;
    request.time_left = action.time_left;
    request.affinity = affinity_key(input_);
    request.retryable =
        std::all_of(input_.pipeline_config.stages.begin(), input_.pipeline_config.stages.end(),
                    [&action](const config::stage& stage) {
                        return stage.idempotent || stage.service != action.service;
                    });
    const std::optional<routing::route> route = shared_.router.choose(request, time, random_);
    if (!route) {
        dispatch(pipeline::route_refused{action.attempt, pipeline::route_refusal::no_endpoint});
        return;
    }
    attempt_crosses_domain_[action.attempt] = route->crosses_domain;
    endpoint_services_[route->endpoint] = action.service;
    dispatch(
        pipeline::route_chosen{action.attempt, route->endpoint, route->address, route->estimated_latency});
}

void run_driver::carry_out(const pipeline::start_attempt& action) {
    const active_attempt_ptr attempt = std::make_shared<active_attempt>();
    attempt->request = action;
    attempt->crosses_domain = attempt_crosses_domain_[action.attempt];
    attempts_[action.attempt] = attempt;
    shared_.router.attempt_started(action.endpoint);
    shared_.record(input_.caller_request_id, telemetry::timeline_event::attempt_started,
                   {{"stage", input_.pipeline_config.stages[action.stage].name},
                    {"attempt", action.attempt_header},
                    {"endpoint", action.endpoint.text()},
                    {"address", action.address.text()}});
    const std::shared_ptr<run_driver> self = shared_from_this();
    asio::co_spawn(
        executor_, [self, attempt]() { return self->run_attempt(attempt); }, asio::detached);
}

void run_driver::carry_out(const pipeline::cancel_attempt& action) {
    const auto it = attempts_.find(action.attempt);
    if (it != attempts_.end()) {
        it->second->cancelled = true;
        if (it->second->connection != nullptr) {
            it->second->connection->close();
        }
        shared_.record(input_.caller_request_id, telemetry::timeline_event::attempt_cancelled,
                       {{"attempt", it->second->request.attempt_header}});
        attempts_.erase(it);
    }
    if (action.stream) {
        http::request message{"DELETE", "/v1/streams/" + *action.stream, {}, ""};
        shared_state& shared = shared_;
        asio::any_io_executor executor = executor_;
        base::address address = action.address;
        asio::co_spawn(
            executor_,
            [&shared, executor, address, message]() -> asio::awaitable<void> {
                http::exchange_limits limits;
                limits.memory = &shared.responses;
                co_await http::exchange(executor, shared.endpoint_pool, address, message, limits);
            },
            asio::detached);
    }
}

void run_driver::carry_out(const pipeline::emit_token& action) {
    pending_tokens_.push_back(pending_token{action.index, action.text});
    wakeup_.cancel();
}

void run_driver::carry_out(const pipeline::set_timer& action) {
    timer_.expires_at(to_steady(action.at));
    const std::shared_ptr<run_driver> self = shared_from_this();
    timer_.async_wait([self](const boost::system::error_code& ec) {
        if (!ec) {
            self->dispatch(pipeline::timer_expired{});
        }
    });
}

void run_driver::carry_out(const pipeline::complete& action) {
    result_ = action;
    wakeup_.cancel();
}

void run_driver::carry_out(const pipeline::fail& action) {
    result_ = action.problem;
    wakeup_.cancel();
}

void run_driver::carry_out(const pipeline::report_endpoint_result& action) {
    shared_.router.attempt_ended(action.endpoint, action.result, action.elapsed, now());
    last_result_ = action.result;
    const auto it = endpoint_services_.find(action.endpoint);
    if (action.result == pipeline::attempt_result::succeeded && it != endpoint_services_.end()) {
        input_.serving->retry_budgets.at(it->second)->count_success(now());
    }
}

http::request run_driver::build_request(const active_attempt& attempt) const {
    http::request message{"POST", attempt.request.path, {}, attempt.request.body};
    message.fields.add("Content-Type", "application/json");
    message.fields.add("X-Attempt-Id", attempt.request.attempt_header);
    if (attempt.request.idempotency_key) {
        message.fields.add("Idempotency-Key", *attempt.request.idempotency_key);
    }
    return message;
}

void run_driver::update_endpoint_state(const active_attempt& attempt, const http::fields& fields) {
    if (fields.find("X-Endpoint-State") == "leaving") {
        shared_.router.endpoint_leaving(attempt.request.endpoint);
    }
}

asio::awaitable<base::result<std::unique_ptr<http::client_connection>>>
run_driver::connect(active_attempt_ptr attempt) {
    if (!attempt->request.new_connection) {
        std::unique_ptr<http::client_connection> idle =
            shared_.endpoint_pool.acquire(attempt->request.address);
        if (idle) {
            co_return idle;
        }
    }
    co_return co_await http::client_connection::connect(executor_, attempt->request.address, connect_timeout);
}

asio::awaitable<base::result<http::response_header>>
run_driver::send_and_read_header(active_attempt_ptr attempt, http::client_connection& connection) {
    const base::result<void> sent = co_await connection.send(build_request(*attempt), write_timeout);
    if (!sent) {
        co_return tl::unexpected<base::error>(sent.error());
    }
    co_return co_await connection.read_header(attempt->request.header_timeout);
}

void run_driver::handle_chunk(active_attempt& attempt, const std::string& data) {
    const json chunk = base::parse_json<json>(data);
    const std::optional<std::uint64_t> count = parse_token_count(chunk);
    attempt.token_count = count ? count : attempt.token_count;
    std::optional<pipeline::token_received> token = parse_chunk(attempt.request.attempt, chunk);
    if (token) {
        token->echo = attempt.echo;
        dispatch(std::move(*token));
    }
}

asio::awaitable<base::result<void>> run_driver::read_stream(active_attempt_ptr attempt,
                                                            http::client_connection& connection) {
    caller::event_stream_parser reader;
    http::response_memory::share held(shared_.responses);
    bool ended = false;
    while (true) {
        base::result<std::string> data = co_await connection.read_some(stream_read_timeout);
        if (!data) {
            co_return tl::unexpected<base::error>(data.error());
        }
        attempt->bytes += data->size();
        if (data->empty()) {
            break;
        }
        const base::result<void> fits = held.resize(reader.pending_bytes() + data->size());
        if (!fits) {
            co_return tl::unexpected<base::error>(fits.error());
        }
        for (const caller::server_sent_event& next : reader.feed(*data)) {
            if (next.data == caller::end_of_stream) {
                ended = true;
            } else if (!attempt->cancelled) {
                handle_chunk(*attempt, next.data);
            }
        }
    }
    if (!ended) {
        co_return base::fail(base::error_code::connection_broken, "the stream ended without its end marker");
    }
    co_return base::result<void>();
}

asio::awaitable<base::result<std::string>> run_driver::read_response_body(active_attempt_ptr attempt,
                                                                          http::client_connection& connection,
                                                                          bool streamed) {
    if (streamed) {
        const base::result<void> read = co_await read_stream(attempt, connection);
        if (!read) {
            co_return tl::unexpected<base::error>(read.error());
        }
        co_return std::string();
    }
    http::response_memory::share held(shared_.responses);
    base::result<std::string> body = co_await http::read_body(connection, body_timeout, held);
    if (body) {
        attempt->bytes += body->size();
    }
    co_return body;
}

void run_driver::release_connection(const active_attempt& attempt,
                                    std::unique_ptr<http::client_connection> connection) {
    const bool mismatched = attempt.echo && *attempt.echo != attempt.request.attempt_header;
    if (!mismatched) {
        shared_.endpoint_pool.release(std::move(connection));
        return;
    }
    // Responses on this connection no longer match its requests, so none of them can be trusted.
    telemetry::log(telemetry::log_event::crossed_answer, {{"attempt", attempt.request.attempt_header},
                                                          {"echo", *attempt.echo},
                                                          {"endpoint", attempt.request.endpoint.text()}});
}

asio::awaitable<void> run_driver::run_attempt(active_attempt_ptr attempt) {
    const base::time_point started = now();
    const pipeline::attempt_id id = attempt->request.attempt;
    base::result<std::unique_ptr<http::client_connection>> opened = co_await connect(attempt);
    std::string_view result = "succeeded";
    std::optional<pipeline::event> final_event;
    if (!opened) {
        result = "not_sent";
        final_event = pipeline::attempt_not_sent{id, opened.error()};
    } else if (!attempt->cancelled) {
        http::client_connection& connection = **opened;
        attempt->connection = &connection;
        attempt->bytes = attempt->request.body.size();
        base::result<http::response_header> header = co_await send_and_read_header(attempt, connection);
        base::result<std::string> body =
            header ? base::result<std::string>(std::string()) : tl::unexpected<base::error>(header.error());
        if (header) {
            update_endpoint_state(*attempt, header->fields);
            attempt->echo = header->fields.find("X-Attempt-Id");
            const bool streamed = attempt->request.streamed && header->status == status_ok;
            body = co_await read_response_body(attempt, connection, streamed);
        }
        attempt->connection = nullptr;
        if (body) {
            final_event = pipeline::response_received{id, header->status, std::move(*body), attempt->echo,
                                                      attempt->token_count};
            release_connection(*attempt, std::move(*opened));
        } else {
            result = "broken";
            record_oversized_response(shared_.metrics, "endpoint", attempt->request.endpoint.text(),
                                      input_.caller_request_id.text(), body.error());
            final_event = pipeline::attempt_failed{id, body.error()};
        }
    }
    result = attempt->cancelled ? "cancelled" : result;
    const base::duration elapsed = now() - started;
    const config::stage& stage = input_.pipeline_config.stages[attempt->request.stage];
    shared_.metrics.record_attempt(stage.service, result, elapsed, attempt->crosses_domain, attempt->bytes);
    shared_.record(input_.caller_request_id, telemetry::timeline_event::attempt_ended,
                   {{"attempt", attempt->request.attempt_header},
                    {"result", std::string(result)},
                    {"us", std::to_string(elapsed.count())}});
    attempts_.erase(id);
    if (!attempt->cancelled && final_event) {
        dispatch(std::move(*final_event));
    }
}

} // namespace rattanbay::daemon::internal
