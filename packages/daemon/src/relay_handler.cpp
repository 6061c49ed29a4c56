#include "internal/relay_handler.hpp"

#include "internal/clock.hpp"
#include "internal/relay_run.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/membership.hpp>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::daemon::internal {

namespace {

/// When a client is asked to come back to a daemon that is not ready yet.
constexpr std::chrono::milliseconds not_ready_comeback{250};
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

/// Counts a request as in progress for as long as it lives.
class progress_count {
public:
    explicit progress_count(std::atomic<std::uint32_t>& counter)
        : counter_(counter) {
        counter_.fetch_add(1);
    }

    progress_count(const progress_count&) = delete;
    progress_count& operator=(const progress_count&) = delete;

    ~progress_count() { counter_.fetch_sub(1); }

private:
    std::atomic<std::uint32_t>& counter_;
};

} // namespace

relay_handler::relay_handler(shared_state& shared, std::shared_ptr<piece_router> pieces)
    : shared_(shared)
    , relay_(*shared.relay)
    , pieces_(std::move(pieces)) {}

asio::awaitable<void> relay_handler::handle(const http::request& message, http::responder& out) {
    relay_input input;
    input.arrival = now();
    base::result<relay::call> parsed = relay_.protocol->read_call(message);
    if (!parsed) {
        http::response answer = refusal({}, base::problem_kind::malformed_request, parsed.error().message);
        co_await out.send(std::move(answer));
        co_return;
    }
    input.request = std::move(*parsed);
    input.serving = relay_.serving.read();
    if (!input.serving->routes || relay_.refusing.load()) {
        out.close_after_response();
        http::response answer =
            refusal(input.request.id, base::problem_kind::not_ready,
                    input.serving->routes ? "this VM is stopping" : "this VM has no document yet");
        co_await out.send(std::move(answer));
        co_return;
    }
    std::optional<http::response> refused = find_route(input);
    if (!refused) {
        refused = find_account(input);
    }
    if (refused) {
        co_await out.send(std::move(*refused));
        co_return;
    }
    const progress_count counted(shared_.requests_in_progress);
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<relay_run> run =
        std::make_shared<relay_run>(shared_, pieces_, executor, std::move(input));
    co_await run->execute(out);
}

std::optional<http::response> relay_handler::find_route(relay_input& input) const {
    input.route = input.serving->routes->find(input.request.host, input.request.path);
    if (input.route == nullptr || input.route->targets.empty()) {
        return refusal(input.request.id, base::problem_kind::unknown_pipeline,
                       "no route for '" + input.request.host + input.request.path + "' in revision " +
                           std::to_string(input.serving->revision));
    }
    input.urgency = input.route->urgency;
    return std::nullopt;
}

std::optional<http::response> relay_handler::find_account(relay_input& input) const {
    const config::relay_document& document = input.serving->routes->document();
    if (!document.keys_required) {
        return std::nullopt;
    }
    const auto account = document.accounts_by_key.find(base::sha256_hex(input.request.key.value_or("")));
    const bool known = input.request.key && account != document.accounts_by_key.end();
    if (!known && !input.route->is_public) {
        return refusal(input.request.id, base::problem_kind::unauthenticated,
                       "the key is missing or unknown in revision " +
                           std::to_string(input.serving->revision));
    }
    if (known) {
        input.account = account->second.name;
        input.urgency = account->second.urgency.value_or(input.urgency);
    }
    return std::nullopt;
}

http::response relay_handler::refusal(const base::request_id& id, base::problem_kind kind,
                                      std::string detail) const {
    telemetry::log(telemetry::log_event::request_rejected,
                   {{"request", id.text()}, {"kind", std::string(base::to_name(kind))}, {"detail", detail}});
    std::optional<base::duration> comeback;
    if (kind == base::problem_kind::not_ready) {
        comeback = not_ready_comeback;
    }
    const base::problem problem{kind, base::outcome::not_run, std::move(detail), std::nullopt};
    return relay_.protocol->write_problem(problem, comeback);
}

asio::awaitable<void> relay_handler::handle_entries(const http::request& message, http::responder& out) {
    const std::optional<relay::entries_question> question = relay_.protocol->read_entries_question(message);
    if (!question) {
        http::response answer =
            refusal({}, base::problem_kind::unknown_pipeline, "there is no '" + message.target + "'");
        co_await out.send(std::move(answer));
        co_return;
    }
    base::random_source random(shared_.next_seed());
    const std::vector<peer::member_record> chosen =
        membership::select_near_entries(shared_.members.read()->members, question->failure_domain, random);
    std::vector<base::address> addresses;
    addresses.reserve(chosen.size());
    for (const peer::member_record& member : chosen) {
        addresses.push_back(member.caller_address);
    }
    if (addresses.empty()) {
        http::response answer = refusal({}, base::problem_kind::not_ready, "no daemon takes requests yet");
        co_await out.send(std::move(answer));
        co_return;
    }
    http::response answer = relay_.protocol->write_entries(addresses, shared_.settings.entries_max_age);
    co_await out.send(std::move(answer));
}

asio::awaitable<void> relay_handler::handle_readiness(const http::request& message, http::responder& out) {
    const bool ready = relay_.serving.read()->routes && !shared_.draining.load();
    const bool asked = relay_.protocol->is_readiness_question(message);
    const int status = ready ? status_ok : status_unavailable;
    if (!asked) {
        http::response answer =
            refusal({}, base::problem_kind::unknown_pipeline, "there is no '" + message.target + "'");
        co_await out.send(std::move(answer));
        co_return;
    }
    http::response answer{status, {}, ""};
    co_await out.send(std::move(answer));
}

} // namespace rattanbay::daemon::internal
