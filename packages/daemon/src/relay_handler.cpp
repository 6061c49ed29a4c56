#include "internal/relay_handler.hpp"

#include "internal/clock.hpp"
#include "internal/relay_run.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/membership.hpp>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::daemon::internal {

namespace {

/// Retry delay that is sent to clients while the daemon is not ready.
constexpr std::chrono::milliseconds not_ready_retry_delay{250};
/// Retry delay that is sent to clients whose request any other VM takes now.
constexpr std::chrono::milliseconds other_vm_retry_delay{10};
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

/// Counts a request as in progress during its lifetime.
class in_progress_guard {
public:
    explicit in_progress_guard(std::atomic<std::uint32_t>& counter)
        : counter_(counter) {
        counter_.fetch_add(1);
    }

    in_progress_guard(const in_progress_guard&) = delete;
    in_progress_guard& operator=(const in_progress_guard&) = delete;

    ~in_progress_guard() { counter_.fetch_sub(1); }

private:
    std::atomic<std::uint32_t>& counter_;
};

} // namespace

relay_handler::relay_handler(shared_state& shared, std::shared_ptr<piece_router> router,
                             std::shared_ptr<quarantine_exchange> quarantine,
                             std::shared_ptr<stream_origin_exchange> origins)
    : shared_(shared)
    , relay_(*shared.relay)
    , piece_router_(std::move(router))
    , quarantine_(std::move(quarantine))
    , origins_(std::move(origins)) {}

asio::awaitable<void> relay_handler::handle(http::request& message, http::responder& out) {
    relay_input input;
    // The body is not copied: attempts share it, and it is given up when no further attempt needs it.
    message.share_body();
    // The client's time runs while a long body arrives, or while the thread is held.
    input.arrival = from_steady(out.begin_of_request());
    base::result<relay::client_request> parsed = relay_.protocol->read_request(message);
    message.shared_body.reset();
    if (!parsed) {
        http::response response =
            problem_response({}, base::problem_kind::malformed_request, parsed.error().message);
        co_await out.send(std::move(response));
        co_return;
    }
    input.request = std::move(*parsed);
    input.serving = relay_.serving.read();
    if (!input.serving->routes || relay_.rejecting_requests.load()) {
        out.close_after_response();
        http::response response =
            problem_response(input.request.id, base::problem_kind::not_ready,
                             input.serving->routes ? "this VM is stopping" : "this VM has no document yet");
        co_await out.send(std::move(response));
        co_return;
    }
    std::optional<http::response> rejection = find_route(input);
    if (!rejection) {
        rejection = authenticate(input);
    }
    if (!rejection) {
        rejection = check_stop_deadline(input, out);
    }
    if (rejection) {
        co_await out.send(std::move(*rejection));
        co_return;
    }
    const in_progress_guard guard(shared_.requests_in_progress);
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<relay_run> run = std::make_shared<relay_run>(shared_, piece_router_, quarantine_,
                                                                       origins_, executor, std::move(input));
    co_await run->execute(out);
}

std::optional<http::response> relay_handler::find_route(relay_input& input) const {
    input.route = input.serving->routes->find(input.request.host, input.request.path);
    if (input.route == nullptr || (input.route->is_usable && input.route->targets.empty())) {
        return problem_response(input.request.id, base::problem_kind::unknown_pipeline,
                                "no route for '" + input.request.host + input.request.path +
                                    "' in revision " + std::to_string(input.serving->revision));
    }
    if (!input.route->is_usable) {
        return problem_response(input.request.id, base::problem_kind::not_ready,
                                "the route '" + input.route->name + "' cannot be read in revision " +
                                    std::to_string(input.serving->revision));
    }
    input.urgency = input.route->urgency;
    return std::nullopt;
}

std::optional<http::response> relay_handler::authenticate(relay_input& input) const {
    const config::relay_document& document = input.serving->routes->document();
    if (!document.keys_required) {
        return std::nullopt;
    }
    const auto account = document.accounts_by_key_hash.find(base::sha256_hex(input.request.key.value_or("")));
    const bool known = input.request.key && account != document.accounts_by_key_hash.end();
    if (!known && !input.route->is_public && document.has_unusable_accounts) {
        return problem_response(input.request.id, base::problem_kind::not_ready,
                                "the key is unknown, but not all accounts can be read in revision " +
                                    std::to_string(input.serving->revision));
    }
    if (!known && !input.route->is_public) {
        return problem_response(input.request.id, base::problem_kind::unauthenticated,
                                "the key is missing or unknown in revision " +
                                    std::to_string(input.serving->revision));
    }
    if (known) {
        input.account = account->second->name;
        input.urgency = account->second->urgency.value_or(input.urgency);
    }
    return std::nullopt;
}

std::optional<http::response> relay_handler::check_stop_deadline(const relay_input& input,
                                                                 http::responder& out) const {
    const base::duration allowed =
        std::min(input.request.time_left.value_or(input.route->timeout), input.route->timeout);
    if (relay_.stop_deadline.load() - input.arrival >= allowed) {
        return std::nullopt;
    }
    out.close_after_response();
    return problem_response(input.request.id, base::problem_kind::not_ready,
                            "this VM stops before the request's deadline", other_vm_retry_delay);
}

http::response relay_handler::problem_response(const base::request_id& id, base::problem_kind kind,
                                               std::string detail,
                                               std::optional<base::duration> retry_delay) const {
    telemetry::log(telemetry::log_event::request_rejected,
                   {{"request", id.text()}, {"kind", std::string(base::to_name(kind))}, {"detail", detail}});
    std::optional<base::duration> retry_after = retry_delay;
    if (!retry_after && kind == base::problem_kind::not_ready) {
        retry_after = not_ready_retry_delay;
    }
    const base::problem problem{kind, base::outcome::not_run, std::move(detail), std::nullopt};
    return relay_.protocol->write_problem(problem, retry_after);
}

asio::awaitable<void> relay_handler::handle_entries(const http::request& message, http::responder& out) {
    const std::optional<relay::entries_query> query = relay_.protocol->read_entries_query(message);
    if (!query) {
        http::response response = problem_response({}, base::problem_kind::unknown_pipeline,
                                                   "there is no '" + message.target + "'");
        co_await out.send(std::move(response));
        co_return;
    }
    base::random_source random(shared_.next_seed());
    const std::vector<peer::member_record> chosen =
        membership::select_entries_near(shared_.members.read()->members, query->failure_domain, random);
    std::vector<base::address> addresses;
    addresses.reserve(chosen.size());
    for (const peer::member_record& member : chosen) {
        addresses.push_back(member.caller_address);
    }
    if (addresses.empty()) {
        http::response response =
            problem_response({}, base::problem_kind::not_ready, "no daemon takes requests yet");
        co_await out.send(std::move(response));
        co_return;
    }
    http::response response =
        relay_.protocol->write_entries_response(addresses, shared_.settings.entries_max_age);
    co_await out.send(std::move(response));
}

asio::awaitable<void> relay_handler::handle_readiness(const http::request& message, http::responder& out) {
    const bool ready = relay_.serving.read()->routes && !shared_.draining.load();
    const bool is_probe = relay_.protocol->is_readiness_probe(message);
    const int status = ready ? status_ok : status_unavailable;
    if (!is_probe) {
        http::response response = problem_response({}, base::problem_kind::unknown_pipeline,
                                                   "there is no '" + message.target + "'");
        co_await out.send(std::move(response));
        co_return;
    }
    http::response response{status, {}, ""};
    co_await out.send(std::move(response));
}

} // namespace rattanbay::daemon::internal
