#include "simulation.hpp"

#include "session_text.hpp"

#include <nlohmann/json.hpp>

namespace rattanbay::pipeline::test {

namespace {

using nlohmann::json;

constexpr std::size_t endpoints_per_service = 5;
constexpr const char* foreign_header = "req-9/0/1";

base::address address_of(std::size_t endpoint) {
    return base::address::parse("127.0.1." + std::to_string(endpoint + 1) + ":9000").value();
}

/// Body of a successful response with this output.
std::string make_body(config::service_kind kind, const std::string& output) {
    const json value = json::parse(output);
    if (kind == config::service_kind::model_engine) {
        return json{{"choices", {{{"index", 0}, {"text", value}}}}, {"usage", {{"completion_tokens", 2}}}}
            .dump();
    }
    return json{{"output", value}}.dump();
}

/// Output in a response body, if present.
std::optional<std::string> parse_output(config::service_kind kind, const std::string& body) {
    const json answer = json::parse(body, nullptr, false);
    const json::json_pointer place(kind == config::service_kind::model_engine ? "/choices/0/text"
                                                                              : "/output");
    return answer.contains(place) ? std::optional<std::string>(answer[place].dump()) : std::nullopt;
}

std::string concatenate(const std::vector<std::string>& tokens) {
    std::string text;
    for (const std::string& token : tokens) {
        text += token;
    }
    return text;
}

} // namespace

simulation::simulation(scenario setup)
    : setup_(std::move(setup))
    , execution_(make_execution(setup_.req, setup_.stages))
    , oracle_(setup_.stages, setup_.req) {}

std::size_t simulation::pick(std::initializer_list<unsigned> weights) {
    unsigned left =
        next_decision_ < setup_.decisions.size() ? setup_.decisions[next_decision_++] % 1000U : 0U;
    std::size_t n = 0;
    for (const unsigned weight : weights) {
        if (left < weight) {
            return n;
        }
        left -= weight;
        ++n;
    }
    return 0;
}

void simulation::schedule(base::duration after, std::function<void()> callback) {
    queue_.push({now_ + after, next_sequence_++, std::move(callback)});
}

void simulation::send(base::duration after, event ev) {
    schedule(after, [this, ev] { deliver(ev); });
}

base::duration simulation::delay(std::size_t stage) {
    const base::duration typical = setup_.stages[stage].times.p50 / 2 + 1ms;
    constexpr std::array<int, 5> factors{1, 2, 5, 20, 200};
    return typical * factors.at(pick({600, 200, 120, 60, 20}));
}

void simulation::run() {
    send(0ms, started{});
    if (chance(60)) {
        oracle_.on_fault();
        send(delay(0) * 2, caller_disconnected{});
    }
    while ((!queue_.empty() || timer_) && !oracle_.violation()) {
        if (timer_ && (queue_.empty() || *timer_ + timer_delay_ < queue_.top().at)) {
            now_ = *timer_ + timer_delay_;
            timer_.reset();
            deliver(timer_expired{});
            continue;
        }
        const pending next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.callback();
    }
    oracle_.check_end();
}

void simulation::deliver(const event& ev) {
    ++steps_;
    log_ += to_text(now_) + "  " + to_text(ev) + "\n";
    record_event(ev);
    for (const action& requested : execution_.handle(ev, now_)) {
        log_ += "    " + to_text(requested) + "\n";
        std::visit([this](const auto& it) { perform(it); }, requested);
    }
    if (execution_.ended()) {
        timer_.reset();
    }
    oracle_.check_progress(now_, timer_);
    const bool of_attempt = std::holds_alternative<token_received>(ev) ||
                            std::holds_alternative<response_received>(ev) ||
                            std::holds_alternative<attempt_failed>(ev);
    if (of_attempt && chance(40)) {
        // The driver delivers the event again; its attempt may have ended by then.
        send(delay(0), ev);
    }
}

void simulation::record_event(const event& ev) {
    const attempt_id attempt = std::visit(
        [](const auto& it) {
            if constexpr (requires { it.attempt; }) {
                return it.attempt;
            } else {
                return attempt_id{};
            }
        },
        ev);
    if (calls_.contains(attempt) && !current_.contains(attempt)) {
        oracle_.on_stale_event();
    }
    if (const auto* answer = std::get_if<response_received>(&ev)) {
        const start_attempt& call = calls_.at(answer->attempt);
        const bool current = current_.erase(answer->attempt) > 0;
        if (answer->echo.value_or(call.attempt_header) == call.attempt_header) {
            const std::optional<std::string> output =
                answer->status == 200 ? parse_output(setup_.stages[call.stage].kind, answer->body)
                                      : std::nullopt;
            oracle_.on_response(call.stage, current && output && oracle_.is_output(call.stage, *output));
        }
    } else if (const auto* broken = std::get_if<attempt_failed>(&ev)) {
        current_.erase(broken->attempt);
    } else if (const auto* unsent = std::get_if<attempt_not_sent>(&ev)) {
        current_.erase(unsent->attempt);
        oracle_.on_not_sent(calls_.at(unsent->attempt).stage);
    } else if (std::holds_alternative<route_chosen>(ev)) {
        oracle_.on_route_chosen();
    } else if (std::holds_alternative<caller_disconnected>(ev)) {
        oracle_.on_caller_disconnected();
    }
}

void simulation::perform(const request_route& requested) {
    oracle_.check(requested, now_);
    const bool uses_retry_budget = requested.purpose != attempt_purpose::first;
    const base::duration after = pick({950, 50}) == 0 ? 0ms : 3ms;
    if (requested.excluded.size() >= endpoints_per_service || chance(uses_retry_budget ? 150 : 10)) {
        oracle_.on_fault();
        send(after, route_refused{requested.attempt, uses_retry_budget ? route_refusal::retry_budget_exhausted
                                                                       : route_refusal::no_endpoint});
        return;
    }
    const std::size_t endpoint = requested.excluded.size();
    send(after, route_chosen{requested.attempt, base::endpoint_id("e" + std::to_string(endpoint)),
                             address_of(endpoint), 10ms});
}

void simulation::perform(const start_attempt& requested) {
    const bool resumed = requested.path.starts_with("/v1/streams/");
    oracle_.check(requested, resumed);
    calls_[requested.attempt] = requested;
    current_.insert(requested.attempt);
    if (resumed) {
        resume_stream(requested);
    } else if (requested.streamed) {
        start_stream(requested);
    } else {
        process_call(requested);
    }
}

void simulation::perform(const cancel_attempt& requested) {
    current_.erase(requested.attempt);
    // Pending events of the attempt are still delivered.
}

void simulation::perform(const emit_token& requested) {
    oracle_.check(requested);
}

void simulation::perform(const set_timer& requested) {
    timer_ = requested.at;
    timer_delay_ = pick({900, 100}) == 0 ? 0ms : 2ms;
}

void simulation::perform(const complete& requested) {
    oracle_.check(requested);
}

void simulation::perform(const fail& requested) {
    oracle_.check(requested, now_);
}

void simulation::perform(const report_endpoint_result& requested) {
    oracle_.check(requested);
}

std::optional<std::string> simulation::echo(const start_attempt& call) {
    return chance(200) ? std::nullopt : std::optional<std::string>(call.attempt_header);
}

void simulation::fail_attempt(const start_attempt& call, base::duration after, base::error_code code) {
    oracle_.on_fault();
    send(after, attempt_failed{call.attempt, {code, std::string(base::to_name(code))}});
}

void simulation::execute(const start_attempt& call, const std::string& output) {
    oracle_.on_executed(call.stage, output);
}

void simulation::fail_call(const start_attempt& call, fault kind, std::function<void()> late_answer) {
    constexpr std::array<int, 4> retryable_statuses{500, 503, 408, 429};
    constexpr std::array<int, 2> final{400, 404};
    oracle_.on_fault();
    switch (kind) {
    case fault::none:
    case fault::no_response:
        break;
    case fault::not_sent:
        send(1ms, attempt_not_sent{call.attempt, {base::error_code::connection_refused, "refused"}});
        return;
    case fault::broken:
        fail_attempt(call, delay(call.stage), base::error_code::connection_broken);
        break;
    case fault::not_run:
        fail_attempt(call, delay(call.stage), base::error_code::connection_broken);
        return;
    case fault::timeout:
        fail_attempt(call, call.header_timeout, base::error_code::timed_out);
        break;
    case fault::retryable_status:
        send(delay(call.stage),
             response_received{call.attempt, retryable_statuses.at(pick({250, 250, 250, 250})), "{}",
                               echo(call)});
        return;
    case fault::permanent_status:
        send(delay(call.stage),
             response_received{call.attempt, final.at(pick({500, 500})), "{}", echo(call)});
        return;
    }
    if (chance(400)) {
        late_answer();
    }
}

void simulation::process_call(const start_attempt& call) {
    const config::service_kind kind = setup_.stages[call.stage].kind;
    const json body = json::parse(call.body);
    std::string output;
    if (kind == config::service_kind::model_engine) {
        const std::string prompt = body["prompt"];
        const bool quoted =
            call.stage == 0 ? setup_.req.input.starts_with('"') : setup_.stages[call.stage - 1].kind == kind;
        oracle_.check_input(call.stage, quoted ? json(prompt).dump() : prompt);
        output =
            json(concatenate(generate(call.stage, prompt, setup_.req.seed.value_or(++generations_)))).dump();
    } else {
        oracle_.check_input(call.stage, body["input"].dump());
        output = stage_function(call.stage, body["input"].dump());
    }
    const auto kind_of_fault = static_cast<fault>(pick({800, 40, 40, 20, 40, 30, 15, 15}));
    const base::duration after = delay(call.stage);
    if (kind_of_fault != fault::not_sent && kind_of_fault != fault::not_run) {
        schedule(after / 2, [this, call, output] { execute(call, output); });
    }
    if (kind_of_fault == fault::none) {
        answer_call(call, output, after);
    } else {
        const base::duration late = call.header_timeout + after;
        fail_call(call, kind_of_fault, [this, call, output, late] { send_answer(call, output, late); });
    }
}

void simulation::send_answer(const start_attempt& call, const std::string& output, base::duration after) {
    const std::string body = make_body(setup_.stages[call.stage].kind, output);
    send(after, response_received{call.attempt, 200, body, echo(call)});
}

void simulation::answer_call(const start_attempt& call, const std::string& output, base::duration after) {
    const std::string body = make_body(setup_.stages[call.stage].kind, output);
    const std::size_t kind = pick({850, 30, 50, 20, 30, 20});
    if (kind != 0) {
        oracle_.on_fault();
    }
    switch (kind) {
    case 1: // Duplicate.
        send_answer(call, output, after);
        send_answer(call, output, after + delay(call.stage));
        break;
    case 2: { // Swapped: the response to another attempt or request.
        const std::string foreign =
            make_body(setup_.stages[call.stage].kind,
                      setup_.stages[call.stage].kind == config::service_kind::model_engine
                          ? "\"foreign\""
                          : stage_function(call.stage, "\"foreign\""));
        const auto other = earlier_answers_.empty() || chance(500)
                               ? std::pair(std::string(foreign_header), foreign)
                               : earlier_answers_.back();
        send(after, response_received{call.attempt, 200, other.second, other.first});
        break;
    }
    case 3: // The right body with the echo of another attempt.
        send(after, response_received{call.attempt, 200, body, foreign_header});
        break;
    case 4: // Truncated.
        send(after, response_received{call.attempt, 200, body.substr(0, body.size() / 2), echo(call)});
        break;
    case 5:
        send(after, response_received{call.attempt, 200, R"({"result":1})", echo(call)});
        break;
    default:
        send_answer(call, output, after);
    }
    earlier_answers_.emplace_back(call.attempt_header, body);
}

void simulation::start_stream(const start_attempt& call) {
    const std::string prompt = json::parse(call.body)["prompt"];
    const bool quoted = call.stage == 0
                            ? setup_.req.input.starts_with('"')
                            : setup_.stages[call.stage - 1].kind == config::service_kind::model_engine;
    oracle_.check_input(call.stage, quoted ? json(prompt).dump() : prompt);
    // An engine may generate a different text despite the seed.
    const bool repeatable = setup_.req.seed && !chance(50);
    const std::uint64_t variant = repeatable ? *setup_.req.seed : 1000 + ++generations_;
    const std::string name = "s" + std::to_string(call.attempt.value);
    streams_[name] = {call.address, generate(call.stage, prompt, variant)};
    const auto kind = static_cast<fault>(pick({850, 40, 30, 10, 30, 20, 10, 10}));
    if (kind != fault::not_sent && kind != fault::not_run) {
        execute(call, json(concatenate(streams_[name].tokens)).dump());
        oracle_.on_generation(streams_[name].tokens);
    }
    const base::duration after = delay(call.stage);
    if (kind == fault::none) {
        send_tokens(call, name, 0, after);
    } else {
        fail_call(call, kind,
                  [this, call, name, after] { send_tokens(call, name, 0, call.header_timeout + after); });
    }
}

void simulation::resume_stream(const start_attempt& call) {
    const std::string prefix = "/v1/streams/";
    const std::string name = call.path.substr(prefix.size(), call.path.rfind('/') - prefix.size());
    engine_stream& stream = streams_.at(name);
    oracle_.check_resume(stream.address == call.address, ++stream.resumes);
    const std::size_t after = json::parse(call.body)["after"].get<std::size_t>();
    const auto kind = static_cast<fault>(pick({760, 30, 40, 0, 40, 20, 60, 10}));
    if (kind != fault::none) {
        fail_call(call, kind, [] {});
    } else {
        send_tokens(call, name, chance(150) ? after / 2 : after + 1, delay(call.stage));
    }
}

void simulation::send_tokens(const start_attempt& call, const std::string& name, std::size_t from,
                             base::duration after) {
    const std::vector<std::string>& tokens = streams_.at(name).tokens;
    const std::optional<std::string> echoed = echo(call);
    std::optional<std::uint64_t> count;
    if (!chance(300)) {
        count = tokens.size();
    }
    for (std::size_t n = from; n < tokens.size(); ++n) {
        after += 3ms;
        const token_received token{call.attempt, name, n, tokens[n], echoed};
        const std::size_t kind = pick({900, 20, 15, 15, 15, 10, 3, 6, 8, 8});
        // Without a count, tokens missing just before the end-of-stream marker cannot be detected.
        const bool hides_loss = !count && n + 1 == tokens.size() && (kind == 2 || kind == 3);
        // The first token determines which stream the connection carries, so it cannot be wrong.
        const bool names_stream = kind == 9 && n == 0;
        if (kind == 0 || hides_loss || names_stream) {
            send(after, token);
            continue;
        }
        oracle_.on_fault();
        if (!send_faulty_token(call, token, kind, after)) {
            return;
        }
    }
    send(after + 1ms, response_received{call.attempt, 200, "", echoed, count});
}

bool simulation::send_faulty_token(const start_attempt& call, const token_received& token, std::size_t kind,
                                   base::duration after) {
    token_received wrong = token;
    switch (kind) {
    case 1: // Duplicate.
        send(after, token);
        send(after + 4ms, token);
        return true;
    case 2: // Lost.
        return true;
    case 3: // Reordered after the next token.
        send(after + 4ms, token);
        return true;
    case 4: // The connection breaks; later tokens may still be delivered.
    case 5:
        fail_attempt(call, after,
                     kind == 4 ? base::error_code::connection_broken : base::error_code::timed_out);
        return chance(400);
    case 6: // The stream stalls.
        return false;
    case 7: // A repeated index with different text.
        wrong.text += "x";
        send(after, token);
        send(after + 1ms, wrong);
        return true;
    case 8: // A token of another request.
        wrong.text = "foreign";
        wrong.echo = foreign_header;
        send(after, wrong);
        return true;
    default: // A token of another stream.
        wrong.text = "foreign";
        wrong.stream = "s999";
        send(after, wrong);
        return true;
    }
}

} // namespace rattanbay::pipeline::test
