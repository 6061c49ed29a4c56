#include "internal/relay_run.hpp"

#include "internal/clock.hpp"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds connect_limit{300};
/// Connections that may fail before a request is given up.
constexpr std::size_t most_unsent = 3;
/// A request that may not be repeated uses only connections that were idle for less than this: an
/// endpoint that closes an idle connection cannot tell whether a request crosses the close.
constexpr std::chrono::milliseconds fresh_idle{500};
/// Share of the time left that the first of several attempts may take.
constexpr double first_attempt_share = 0.4;
/// Bounds on the time after which a client is asked to come back.
constexpr std::chrono::milliseconds least_comeback{100};
constexpr std::chrono::milliseconds most_comeback{500};
constexpr double comeback_share = 0.2;
/// Silence in a stream, in longest pauses, after which it is continued at another endpoint.
constexpr int silent_pauses = 4;
/// Time to the first event that is planned with until one was measured.
constexpr std::chrono::milliseconds unmeasured_run{300};
constexpr std::size_t most_answer_bytes = 64 * 1024 * 1024;
constexpr int first_server_error = 500;
constexpr int first_redirection = 300;

bool is_repeatable(const config::relay_route& route) {
    return route.repeat != config::repeat_rule::at_most_once;
}

} // namespace

relay_run::relay_run(shared_state& shared, std::shared_ptr<piece_router> pieces,
                     asio::any_io_executor executor, relay_input input)
    : shared_(shared)
    , relay_(*shared.relay)
    , pieces_(std::move(pieces))
    , executor_(executor)
    , input_(std::move(input))
    , random_(shared.next_seed())
    , service_(relay::draw_target(*input_.route, random_))
    , deadline_(input_.arrival +
                std::min(input_.request.time_left.value_or(input_.route->timeout), input_.route->timeout))
    , fetched_(executor)
    , last_event_(input_.request.resume_after) {}

asio::awaitable<void> relay_run::execute(http::responder& out) {
    const std::shared_ptr<relay_run> self = shared_from_this();
    const std::weak_ptr<relay_run> weak = self;
    out.on_disconnect([weak]() {
        const std::shared_ptr<relay_run> run = weak.lock();
        if (run) {
            run->depart();
        }
    });
    const auto budget = input_.serving->budgets.find(service_);
    if (budget != input_.serving->budgets.end()) {
        budget->second->count_request(now());
    }
    if (co_await prepare_inputs(out)) {
        co_await make_attempts(out);
    }
    fetched_.cancel();
    if (stages_) {
        stages_->release();
    }
}

void relay_run::release_inputs_when_fetched() {
    const bool needed_again = sent_ + 1 < input_.route->max_attempts;
    if (!stages_ || needed_again) {
        return;
    }
    // Endpoints fetch the results on the arrival of the request, long before it runs, and results take
    // room that others wait for.
    const std::shared_ptr<input_stages> stages = stages_;
    fetched_.expires_after(stages->fetch_time());
    fetched_.async_wait([stages](const boost::system::error_code& ec) {
        if (!ec) {
            stages->release();
        }
    });
}

void relay_run::depart() {
    departed_ = true;
    if (active_ != nullptr) {
        active_->close();
    }
    if (stages_) {
        stages_->stop();
    }
}

asio::awaitable<bool> relay_run::prepare_inputs(http::responder& out) {
    if (input_.route->stages.empty()) {
        co_return true;
    }
    const base::duration objective =
        input_.route->objective > base::duration::zero() ? input_.route->objective : input_.route->timeout;
    const std::optional<relay::chosen_endpoint> likely = choose();
    near_ = likely ? likely->failure_domain : shared_.settings.failure_domain;
    const base::duration run = relay_.balancer.usual_time(service_, size()).value_or(unmeasured_run);
    stage_plan plan{&relay_, &input_.request, input_.route, input_.serving, input_.urgency, near_, {}, {}};
    plan.due = input_.arrival + objective - run;
    plan.latest = deadline_ - run / 2;
    stages_ = std::make_shared<input_stages>(pieces_, executor_, std::move(plan));
    const std::optional<relay::piece_failure> failure = co_await stages_->make();
    if (departed_) {
        log_end("abandoned");
        co_return false;
    }
    if (failure) {
        std::string detail = "the stages of the request could not be done in time";
        co_await refuse(out, base::problem_kind::overloaded, base::outcome::not_run, std::move(detail));
        co_return false;
    }
    co_return true;
}

base::duration relay_run::left() const {
    return std::max(base::duration::zero(), deadline_ - now());
}

double relay_run::size() const {
    constexpr double usual_tokens = 1000;
    const std::optional<relay::prompt>& prompt = input_.request.prompt;
    return prompt ? 1 + static_cast<double>(prompt->input_tokens) / usual_tokens : 1;
}

std::optional<relay::chosen_endpoint> relay_run::choose() {
    relay::endpoint_question question;
    question.service = service_;
    question.excluded = tried_;
    question.near = near_;
    if (input_.route->has_prompts && input_.request.prompt) {
        question.affinity = input_.request.prompt->shared_part();
    }
    return relay_.balancer.choose(question, now());
}

asio::awaitable<void> relay_run::make_attempts(http::responder& out) {
    while (!departed_) {
        if (left() == base::duration::zero()) {
            last_end_ = may_have_run_ ? relay::attempt_end::timed_out : last_end_;
            break;
        }
        const std::optional<relay::chosen_endpoint> endpoint = choose();
        if (!endpoint) {
            break;
        }
        attempt current;
        current.endpoint = *endpoint;
        current.start = now();
        relay_.balancer.started(endpoint->id);
        const relay::attempt_end end = co_await perform(current, out);
        active_ = nullptr;
        note_attempt(current, end);
        if (end == relay::attempt_end::answered) {
            log_end("answered");
            co_return;
        }
        if (!may_go_on(end)) {
            break;
        }
    }
    co_await give_up(out);
}

bool relay_run::may_go_on(relay::attempt_end end) {
    last_end_ = end;
    if (end == relay::attempt_end::not_sent) {
        ++unsent_;
    } else {
        ++sent_;
        may_have_run_ = may_have_run_ || relay::outcome_after(end) != base::outcome::not_run;
    }
    const bool allowed = !departed_ && relay::may_resend(end, input_.route->repeat) &&
                         sent_ < input_.route->max_attempts && unsent_ < most_unsent;
    if (!allowed || end == relay::attempt_end::not_sent) {
        return allowed;
    }
    const auto budget = input_.serving->budgets.find(service_);
    return budget != input_.serving->budgets.end() &&
           budget->second->try_spend(now(), std::max<std::size_t>(1, relay_.daemons.load()));
}

void relay_run::note_attempt(const attempt& current, relay::attempt_end end) {
    const base::time_point time = now();
    sent_after_ = current.start - input_.arrival;
    if (current.first_byte) {
        first_byte_after_ = *sent_after_ + *current.first_byte;
    }
    relay_.balancer.ended(current.endpoint.id, end, current.first_byte.value_or(time - current.start), size(),
                          time);
    tried_.push_back(current.endpoint.id);
    if (end != relay::attempt_end::answered) {
        telemetry::log(telemetry::log_event::relay_attempt_failed,
                       {{"request", input_.request.id.text()},
                        {"endpoint", current.endpoint.id.text()},
                        {"address", current.endpoint.address.text()},
                        {"end", std::string(base::to_name(end))},
                        {"reused_connection", current.reused ? "true" : "false"},
                        {"attempt", std::to_string(tried_.size())},
                        {"took_ms", std::to_string(base::to_milliseconds(time - current.start))},
                        {"left_ms", std::to_string(base::to_milliseconds(left()))},
                        {"detail", current.detail}});
    }
}

asio::awaitable<bool> relay_run::connect(attempt& current) {
    const base::duration most_idle =
        is_repeatable(*input_.route) ? http::connection_pool::max_idle_time : fresh_idle;
    current.connection = relay_.pool.acquire(current.endpoint.address, most_idle);
    current.reused = current.connection != nullptr;
    if (!current.connection) {
        const base::duration limit = std::min<base::duration>(connect_limit, left());
        base::result<std::unique_ptr<http::client_connection>> opened =
            co_await http::client_connection::connect(executor_, current.endpoint.address, limit);
        if (!opened) {
            current.detail = opened.error().message;
            co_return false;
        }
        current.connection = std::move(*opened);
    }
    active_ = current.connection.get();
    co_return true;
}

asio::awaitable<relay::attempt_end> relay_run::perform(attempt& current, http::responder& out) {
    if (!co_await connect(current)) {
        co_return departed_ ? relay::attempt_end::abandoned : relay::attempt_end::not_sent;
    }
    // The endpoint may have left, and the client with it, while the connection was opened.
    if (departed_ || left() == base::duration::zero() || !relay_.balancer.is_usable(current.endpoint.id)) {
        current.detail = "the endpoint or the client left, or the time passed, before the request was sent";
        co_return departed_ ? relay::attempt_end::abandoned : relay::attempt_end::not_sent;
    }
    relay::send_order order;
    order.endpoint = current.endpoint.id;
    order.time_left = left();
    order.account = input_.account;
    order.urgency = input_.urgency;
    order.resume_after = last_event_;
    if (stages_) {
        order.inputs = stages_->inputs();
    }
    current.connection->begin_send(relay_.protocol->write_call(input_.request, order), left());
    release_inputs_when_fetched();
    const relay::attempt_end end = co_await read_answer(current, out);
    active_ = nullptr;
    if (current.connection->reusable()) {
        relay_.pool.release(std::move(current.connection));
    } else {
        current.connection->close();
    }
    co_return end;
}

base::duration relay_run::attempt_limit() const {
    const bool others = is_repeatable(*input_.route) && sent_ + 1 < input_.route->max_attempts;
    if (!others) {
        return left();
    }
    const base::duration share = std::chrono::duration_cast<base::duration>(left() * first_attempt_share);
    return std::min(left(), std::max(share, input_.route->objective));
}

base::duration relay_run::silence_limit() const {
    const bool can_continue = input_.route->repeat == config::repeat_rule::resumable &&
                              input_.route->longest_pause > base::duration::zero();
    return can_continue ? std::min(left(), input_.route->longest_pause * silent_pauses) : left();
}

relay::attempt_end relay_run::failed(attempt& current, const base::error& reason) const {
    current.detail = reason.message;
    if (departed_) {
        return relay::attempt_end::abandoned;
    }
    return reason.code == base::error_code::timed_out ? relay::attempt_end::timed_out
                                                      : relay::attempt_end::broken;
}

asio::awaitable<relay::attempt_end> relay_run::read_answer(attempt& current, http::responder& out) {
    const base::result<http::response_header> read =
        co_await current.connection->read_header(attempt_limit());
    if (!read) {
        co_return failed(current, read.error());
    }
    const relay::answer_head head = relay_.protocol->read_answer(*read);
    if (head.load) {
        relay_.balancer.reported(current.endpoint.id, *head.load, now());
    }
    const bool for_another = head.answers && *head.answers != input_.request.id;
    if (head.not_run && !for_another) {
        current.detail = "status " + std::to_string(head.status);
        base::result<std::string> rest =
            co_await http::read_body(*current.connection, left(), most_answer_bytes);
        current.detail += rest ? "" : ", " + rest.error().message;
        co_return relay::attempt_end::declined;
    }
    if (!relay::is_answer_to(head, input_.request.id)) {
        current.connection->close();
        current.detail = "status " + std::to_string(head.status) + " is no answer to this request (for '" +
                         (head.answers ? head.answers->text() : std::string()) + "')";
        telemetry::log(telemetry::log_event::crossed_answer, {{"request", input_.request.id.text()},
                                                              {"endpoint", current.endpoint.id.text()},
                                                              {"detail", current.detail}});
        co_return relay::attempt_end::broken;
    }
    if (head.is_event_stream && head.status < first_redirection) {
        co_return co_await pass_stream(current, head, out);
    }
    co_return co_await pass_whole(current, head, out);
}

asio::awaitable<relay::attempt_end> relay_run::pass_whole(attempt& current, const relay::answer_head& head,
                                                          http::responder& out) {
    base::result<std::string> body = co_await http::read_body(*current.connection, left(), most_answer_bytes);
    if (!body) {
        co_return failed(current, body.error());
    }
    current.first_byte = now() - current.start;
    http::response answer{head.status, head.fields, std::move(*body)};
    if (streaming_) {
        // The head of a stream was sent already, so that this answer cannot be passed on.
        current.detail = "status " + std::to_string(head.status) + " to a stream that was to go on";
        co_return relay::attempt_end::answered_with_failure;
    }
    if (head.status >= first_server_error) {
        current.detail = "status " + std::to_string(head.status);
        failure_answer_ = std::move(answer);
        co_return relay::attempt_end::answered_with_failure;
    }
    const base::result<void> sent = co_await out.send(std::move(answer));
    if (!sent) {
        current.detail = sent.error().message;
        co_return relay::attempt_end::abandoned;
    }
    co_return relay::attempt_end::answered;
}

asio::awaitable<std::optional<relay::attempt_end>> relay_run::pass_events(const relay::answer_head& head,
                                                                          http::responder& out) {
    std::string ready;
    std::optional<std::string> last = last_event_;
    while (std::optional<relay::stream_event> next = splitter_.next()) {
        ready += next->bytes;
        last = next->id ? next->id : last;
    }
    if (ready.empty()) {
        co_return std::nullopt;
    }
    base::result<void> sent;
    if (!streaming_) {
        streaming_ = true;
        http::response_header begin{head.status, head.fields};
        sent = co_await out.begin_stream(std::move(begin));
    }
    if (sent) {
        sent = co_await out.write(std::move(ready));
    }
    if (!sent) {
        departed_ = true;
        co_return relay::attempt_end::abandoned;
    }
    last_event_ = last;
    co_return std::nullopt;
}

asio::awaitable<relay::attempt_end> relay_run::pass_stream(attempt& current, const relay::answer_head& head,
                                                           http::responder& out) {
    splitter_ = relay::event_splitter();
    while (true) {
        const base::duration limit = current.first_byte ? silence_limit() : attempt_limit();
        if (left() == base::duration::zero()) {
            co_return relay::attempt_end::timed_out;
        }
        base::result<std::string> piece = co_await current.connection->read_some(limit);
        if (!piece) {
            co_return failed(current, piece.error());
        }
        if (piece->empty()) {
            break;
        }
        splitter_.add(*piece);
        const std::optional<relay::attempt_end> ended = co_await pass_events(head, out);
        if (ended) {
            co_return *ended;
        }
        if (!current.first_byte && streaming_) {
            current.first_byte = now() - current.start;
            if (stages_) {
                stages_->release();
            }
        }
    }
    if (splitter_.has_partial_event()) {
        current.detail = "the stream ended inside an event";
        co_return relay::attempt_end::broken;
    }
    if (!streaming_) {
        streaming_ = true;
        http::response_header begin{head.status, head.fields};
        const base::result<void> begun = co_await out.begin_stream(std::move(begin));
        if (!begun) {
            co_return relay::attempt_end::abandoned;
        }
    }
    const base::result<void> ended = co_await out.end_stream();
    co_return ended ? relay::attempt_end::answered : relay::attempt_end::abandoned;
}

base::duration relay_run::comeback_time() {
    const base::duration share = std::chrono::duration_cast<base::duration>(left() * comeback_share);
    const base::duration most = std::clamp<base::duration>(share, least_comeback, most_comeback);
    const double spread = 0.5 + random_.unit() / 2;
    return std::chrono::duration_cast<base::duration>(most * spread);
}

asio::awaitable<void> relay_run::give_up(http::responder& out) {
    if (departed_) {
        log_end("abandoned");
        co_return;
    }
    if (streaming_) {
        // The client sees that the stream is not whole and may continue it itself.
        out.abort();
        log_end("stream_broken");
        co_return;
    }
    if (failure_answer_) {
        log_end("endpoint_failed");
        co_await out.send(std::move(*failure_answer_));
        co_return;
    }
    if (!may_have_run_) {
        std::string detail = "no endpoint took the request";
        co_await refuse(out, base::problem_kind::no_endpoint, base::outcome::not_run, std::move(detail));
        co_return;
    }
    const bool late = last_end_ == relay::attempt_end::timed_out;
    const base::problem_kind kind =
        late ? base::problem_kind::deadline_exceeded : base::problem_kind::stage_failed;
    std::string detail = late ? "no answer came in time" : "the connection to the endpoint broke";
    co_await refuse(out, kind, base::outcome::unknown, std::move(detail));
}

asio::awaitable<void> relay_run::refuse(http::responder& out, base::problem_kind kind, base::outcome outcome,
                                        std::string detail) {
    log_end(base::to_name(kind));
    std::optional<base::duration> comeback;
    if (outcome == base::outcome::not_run) {
        comeback = comeback_time();
    }
    const base::problem problem{kind, outcome, std::move(detail), std::nullopt};
    http::response answer = relay_.protocol->write_problem(problem, comeback);
    co_await out.send(std::move(answer));
}

void relay_run::log_end(std::string_view result) {
    const base::duration took = now() - input_.arrival;
    telemetry::log(
        telemetry::log_event::relay_ended,
        {{"request", input_.request.id.text()},
         {"route", input_.route->name},
         {"service", service_.text()},
         {"account", input_.account ? input_.account->text() : ""},
         {"endpoint", tried_.empty() ? "" : tried_.back().text()},
         {"attempts", std::to_string(tried_.size())},
         {"result", std::string(result)},
         {"took_ms", std::to_string(base::to_milliseconds(took))},
         {"stages_ms", stages_ ? stages_->times() : ""},
         {"sent_ms", sent_after_ ? std::to_string(base::to_milliseconds(*sent_after_)) : ""},
         {"first_byte_ms",
          first_byte_after_ ? std::to_string(base::to_milliseconds(*first_byte_after_)) : ""},
         {"input_tokens", input_.request.prompt ? std::to_string(input_.request.prompt->input_tokens) : ""},
         {"left_ms", std::to_string(base::to_milliseconds(left()))},
         {"document", std::to_string(input_.serving->revision)},
         {"vm_list", std::to_string(shared_.vms.read()->version)}});
    shared_.metrics.record_request(base::pipeline_name(input_.route->name), result, took);
}

} // namespace rattanbay::daemon::internal
