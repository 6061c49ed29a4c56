#include "internal/control.hpp"

#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/oversized_response.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds supervision_interval{250};
/// Delay of the supervision timer from which it is logged.
constexpr std::chrono::milliseconds logged_loop_delay{100};
/// Delay of the supervision timer above which the process is considered to have been paused.
constexpr std::chrono::seconds pause_threshold{2};
/// Time without contact to the platform or a peer after which the document may be out of date.
constexpr std::chrono::seconds isolation_timeout{4};
constexpr std::chrono::seconds load_poll_interval{1};
/// Minimum time between two load requests, so that their rate does not grow with the number of endpoints.
constexpr std::chrono::milliseconds min_load_poll_spacing{50};

base::problem not_run_problem(base::problem_kind kind, std::string detail) {
    return base::problem{kind, base::outcome::not_run, std::move(detail), std::nullopt};
}

platform_client::call_observer platform_call_observer(shared_state& shared) {
    return [&shared](std::string_view kind, bool usable, const base::error* failure) {
        shared.metrics.record_platform_call(kind, usable);
        if (failure != nullptr) {
            record_oversized_response(shared.metrics, "platform", kind, "", *failure);
        }
    };
}

/// Parses an endpoint's load report. Returns nothing if it is malformed.
std::optional<routing::load_report> parse_load_report(const std::string& body) {
    const nlohmann::json report = base::parse_json<nlohmann::json>(body);
    if (!report.is_object()) {
        return std::nullopt;
    }
    const nlohmann::json running = report.value("running", nlohmann::json());
    const nlohmann::json waiting = report.value("waiting", nlohmann::json());
    const nlohmann::json age = report.value("as_of_ms_ago", nlohmann::json(0U));
    if (!running.is_number_unsigned() || !waiting.is_number_unsigned() || !age.is_number()) {
        return std::nullopt;
    }
    return routing::load_report{running.get<std::size_t>(), waiting.get<std::size_t>(),
                                base::from_milliseconds(age.get<std::int64_t>())};
}

} // namespace

keyed_run make_keyed_run(shared_state& shared, const ledger::key& key, const base::account_id& account,
                         const caller::run_request& run_request, const std::string& target,
                         const std::string& body, base::time_point now) {
    keyed_run run;
    run.run_request = run_request;
    run.target = target;
    run.body = body;
    run.request.account = account;
    run.request.key = key;
    run.request.body_hash = base::secure_hash(run_request.pipeline.text() + "\n" + body);
    const std::shared_ptr<const serving_state> serving = shared.serving.read();
    const auto it = serving->document->pipelines.find(run_request.pipeline);
    const bool known = it != serving->document->pipelines.end();
    if (!known) {
        run.refusal = not_run_problem(base::problem_kind::unknown_pipeline,
                                      "the pipeline '" + run_request.pipeline.text() + "' does not exist");
    }
    constexpr std::chrono::seconds default_deadline{8};
    const base::duration max_deadline = known ? it->second.deadline : default_deadline;
    const base::duration time_left = std::min(run_request.deadline.value_or(max_deadline), max_deadline);
    if (time_left <= base::duration::zero()) {
        run.refusal = not_run_problem(base::problem_kind::deadline_exceeded,
                                      "the deadline had passed when the request arrived");
    }
    // Computed from the time of arrival, so that a pause of the VM does not extend the deadline.
    run.request.deadline = now + time_left;
    return run;
}

control_plane::control_plane(shared_state& shared, admission_gate& gate, control_strand strand)
    : shared_(shared)
    , admission_gate_(gate)
    , strand_(strand)
    , platform_(shared.settings.platform_addresses, shared.protocols.objects, platform_call_observer(shared),
                http::descriptor_source{&shared.resources->descriptors, http::descriptor_use::store})
    , transport_(std::make_shared<peer_transport>(shared, strand))
    , resource_monitor_(shared) {
    members_ = std::make_unique<membership_driver>(
        shared, strand, *transport_,
        [this](std::uint64_t revision, const base::address& at) { state_->catch_up_document(revision, at); },
        [this](const object_api::store_revision& version) { state_->catch_up_vms(version); });
    const std::shared_ptr<peer_broadcaster> broadcaster =
        std::make_shared<peer_broadcaster>(shared_, transport_, strand_);
    state_ = std::make_shared<state_synchronizer>(
        shared, strand, platform_, *transport_, broadcaster,
        [this](const std::vector<peer::member_record>& members) { members_->merge_members(members); },
        [this](std::uint64_t revision) { handle_adopted_revision(revision); });
    if (shared_.relay) {
        pool_planner_ = std::make_unique<pool_planner>(shared_);
        piece_pool_ = std::make_shared<piece_pool>(shared_, *pool_planner_, strand_);
        piece_router_ =
            std::make_shared<piece_router>(shared_, *pool_planner_, *piece_pool_, *transport_, strand_);
        quarantine_exchange_ =
            std::make_shared<quarantine_exchange>(shared_, transport_, broadcaster, strand_);
        limit_exchange_ = std::make_shared<limit_exchange>(shared_, broadcaster, strand_);
        shared_.relay->on_request_limit = [limits = limit_exchange_](const base::endpoint_id& endpoint,
                                                                     std::optional<double> limit) {
            limits->record_answer(endpoint, limit);
        };
        if (shared_.settings.relay->cold_excess) {
            cold_exchange_ = std::make_unique<cold_exchange>(shared_, broadcaster);
        }
        speed_exchange_ = std::make_shared<speed_exchange>(shared_, transport_, strand_);
        stream_origin_exchange_ = std::make_shared<stream_origin_exchange>(shared_, transport_, strand_);
        shared_.relay->on_stream = [speeds = speed_exchange_](stream_observation observation) {
            speeds->record_stream(std::move(observation));
        };
    }
    ledger_ = std::make_shared<ledger_driver>(
        shared, strand, platform_, *transport_, [this](const ledger::key_prefix& prefix) {
            members_->update_self([&prefix](peer::member_record& self) {
                self.ledger = prefix.incarnation;
                self.ledger_window = prefix.window;
                self.ledger_recorded = prefix.recording == ledger::record_class::recorded;
            });
        });
}

base::result<void> control_plane::start() {
    const std::shared_ptr<control_plane> self = shared_from_this();
    base::result<void> started =
        transport_->start([self](const base::address& from,
                                 peer::datagram message) { self->handle_datagram(from, std::move(message)); },
                          [self](peer::frame message, std::shared_ptr<requester_link> requester) {
                              return self->handle_frame(std::move(message), std::move(requester));
                          });
    if (!started) {
        return started;
    }
    asio::post(strand_, [self]() {
        self->members_->start();
        self->state_->start();
        // Relayed requests have no idempotency keys: each of a client's attempts has its own identifier.
        if (!self->shared_.relay) {
            self->ledger_->start();
        }
    });
    asio::co_spawn(
        strand_,
        [self]() { return run_guarded(self->strand_, "supervise", [self]() { return self->supervise(); }); },
        asio::detached);
    asio::co_spawn(
        strand_,
        [self]() {
            return run_guarded(self->strand_, "poll_loads", [self]() { return self->poll_loads(); });
        },
        asio::detached);
    return {};
}

std::string control_plane::key_prefix_text(const peer::member_record& member) const {
    ledger::key_prefix prefix;
    prefix.recording =
        member.ledger_recorded ? ledger::record_class::recorded : ledger::record_class::unrecorded;
    prefix.incarnation = member.ledger;
    prefix.window = member.ledger_window;
    prefix.peer_address = member.peer_address;
    return prefix.signed_text(shared_.settings.cluster_secret);
}

void control_plane::begin_drain() {
    members_->update_self([](peer::member_record& self) { self.draining = true; });
    if (piece_router_) {
        piece_router_->begin_drain();
    }
}

bool control_plane::has_stages() const {
    return piece_router_ && piece_router_->has_work();
}

asio::awaitable<void> control_plane::shut_down() {
    if (!shared_.relay) {
        co_await ledger_->stop();
    }
    members_->leave();
    stopping_ = true;
    transport_->stop();
}

void control_plane::handle_datagram(const base::address& from, peer::datagram message) {
    if (const peer::crash_report* report = std::get_if<peer::crash_report>(&message)) {
        if (quarantine_exchange_) {
            quarantine_exchange_->receive(*report);
        }
    } else if (const peer::part_clearance* clearance = std::get_if<peer::part_clearance>(&message)) {
        if (quarantine_exchange_) {
            quarantine_exchange_->receive(*clearance);
        }
    } else if (const peer::part_notice* parts = std::get_if<peer::part_notice>(&message)) {
        if (quarantine_exchange_) {
            quarantine_exchange_->receive(from, *parts);
        }
    } else if (const peer::limit_report* limit = std::get_if<peer::limit_report>(&message)) {
        if (limit_exchange_) {
            limit_exchange_->receive(*limit);
        }
    } else if (const peer::cold_report* cold = std::get_if<peer::cold_report>(&message)) {
        if (cold_exchange_) {
            cold_exchange_->receive(*cold);
        }
    } else if (const peer::speed_samples* samples = std::get_if<peer::speed_samples>(&message)) {
        if (speed_exchange_) {
            speed_exchange_->receive(*samples);
        }
    } else if (const peer::speed_announcement* speeds = std::get_if<peer::speed_announcement>(&message)) {
        if (speed_exchange_) {
            speed_exchange_->receive(*speeds);
        }
    } else if (const peer::stream_notice* streams = std::get_if<peer::stream_notice>(&message)) {
        if (stream_origin_exchange_) {
            stream_origin_exchange_->receive(*streams);
        }
    } else if (const peer::vm_list_notice* notice = std::get_if<peer::vm_list_notice>(&message)) {
        state_->apply_vm_list_update(notice->update);
    } else if (const peer::evacuation_notice* evacuations = std::get_if<peer::evacuation_notice>(&message)) {
        state_->apply_evacuations(evacuations->state);
    } else {
        members_->receive(from, std::move(message));
    }
}

asio::awaitable<peer::frame> control_plane::handle_frame(peer::frame message,
                                                         std::shared_ptr<requester_link> requester) {
    if (const peer::state_request* request = std::get_if<peer::state_request>(&message)) {
        std::vector<peer::member_record> members = members_->members();
        co_return co_await state_->build_state_reply(*request, std::move(members));
    }
    if (peer::make_pieces* pieces = std::get_if<peer::make_pieces>(&message)) {
        if (piece_router_) {
            co_return co_await piece_router_->handle_make_pieces(std::move(*pieces), std::move(requester));
        }
    }
    if (const peer::release_pieces* released = std::get_if<peer::release_pieces>(&message)) {
        if (piece_router_) {
            piece_router_->handle_release(*released);
        }
        co_return peer::frame(peer::accepted{});
    }
    if (const peer::stream_origin_request* stream = std::get_if<peer::stream_origin_request>(&message)) {
        if (stream_origin_exchange_) {
            co_return peer::frame(stream_origin_exchange_->answer(*stream));
        }
    }
    if (peer::forward_request* request = std::get_if<peer::forward_request>(&message)) {
        co_return co_await handle_forward(std::move(*request));
    }
    co_return peer::frame(peer::wrong_incarnation{});
}

asio::awaitable<peer::frame> control_plane::handle_forward(peer::forward_request message) {
    const base::time_point arrival = now();
    const base::result<ledger::key> key = ledger::key::parse(message.key, shared_.settings.cluster_secret);
    // Without a document, this VM can neither run the request nor refuse it according to its pipeline. The
    // forwarding VM then continues as if this VM were unreachable.
    if (!key || !ledger_->owns(key->prefix) || !shared_.serving.read()->document) {
        co_return peer::frame(peer::wrong_incarnation{});
    }
    const http::request request{"POST", message.target, {}, message.body};
    tl::expected<caller::run_request, base::problem> run_request = caller::parse_run_request(request);
    if (!run_request) {
        co_return peer::frame(peer::forward_reply{run_request.error()});
    }
    run_request->id = message.request;
    run_request->deadline = base::from_milliseconds(static_cast<std::int64_t>(message.time_left_ms));
    keyed_run run =
        make_keyed_run(shared_, *key, message.account, *run_request, message.target, message.body, arrival);
    const std::optional<std::string> reason = shared_.refusal_reason();
    if (reason && !run.refusal) {
        run.refusal = not_run_problem(base::problem_kind::not_ready, *reason);
    }
    ledger::reply reply = co_await ledger_->reply_as_owner(std::move(run));
    co_return peer::frame(peer::forward_reply{std::move(reply)});
}

asio::awaitable<void> control_plane::supervise() {
    const std::shared_ptr<control_plane> self = shared_from_this();
    asio::steady_timer timer(strand_);
    base::time_point last_check = now();
    while (!stopping_) {
        timer.expires_after(supervision_interval);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const base::time_point time = now();
        const base::duration delay = time - last_check - supervision_interval;
        shared_.metrics.record_loop_delay(std::max(delay, base::duration::zero()));
        if (delay > logged_loop_delay) {
            telemetry::log(telemetry::log_event::event_loop_delayed,
                           {{"ms", std::to_string(base::to_milliseconds(delay))},
                            {"requests", std::to_string(shared_.requests_in_progress.load())}});
        }
        if (time - last_check > pause_threshold) {
            shared_.verifying.store(true);
            telemetry::log(telemetry::log_event::pause_detected,
                           {{"ms", std::to_string(static_cast<std::int64_t>(
                                       base::to_milliseconds(time - last_check)))}});
        }
        last_check = time;
        if (shared_.verifying.load() && co_await state_->verify()) {
            shared_.verifying.store(false);
            last_check = now();
        }
        resource_monitor_.refresh();
        transport_->close_expired();
        check_isolation();
        update_account_limits();
        state_->publish_revisions();
        if (shared_.relay) {
            shared_.relay->calls->end_calls(shared_.relay->balancer);
        }
        if (quarantine_exchange_) {
            quarantine_exchange_->refresh();
        }
        if (limit_exchange_) {
            limit_exchange_->refresh();
        }
        if (cold_exchange_) {
            cold_exchange_->refresh();
        }
        if (speed_exchange_) {
            speed_exchange_->refresh();
        }
        if (stream_origin_exchange_) {
            stream_origin_exchange_->refresh();
        }
        if (pool_planner_) {
            pool_planner_->refresh();
        }
        const std::uint32_t load = shared_.requests_in_progress.load();
        const object_api::store_revision vm_list_change = state_->newest_vm_change();
        members_->update_self([load, vm_list_change](peer::member_record& own) {
            own.load = load;
            own.vm_list_change = vm_list_change;
        });
    }
}

void control_plane::check_isolation() {
    const base::time_point last_contact = std::max(members_->last_contact(), state_->last_platform_answer());
    const bool knows_others = members_->members().size() > 1 || shared_.isolated.load();
    const bool isolated = knows_others && now() - last_contact > isolation_timeout;
    if (isolated != shared_.isolated.exchange(isolated)) {
        telemetry::log(isolated ? telemetry::log_event::isolated : telemetry::log_event::isolation_ended, {});
        // Decisions made while this VM was isolated must be read before it serves requests again.
        shared_.verifying.store(true);
    }
}

void control_plane::update_account_limits() {
    std::size_t live = 0;
    for (const peer::member_record& member : members_->members()) {
        const bool accepts_requests = member.status == peer::member_status::live && !member.draining;
        live += accepts_requests ? 1 : 0;
    }
    if (shared_.relay) {
        shared_.relay->live_daemons.store(std::max<std::size_t>(1, live));
    }
    const std::shared_ptr<const serving_state> serving = shared_.serving.read();
    const std::uint64_t revision = serving->document ? serving->document->revision : 0;
    if (revision == 0 || (live == limits_member_count_ && revision == limits_revision_)) {
        return;
    }
    limits_member_count_ = live;
    limits_revision_ = revision;
    shared_.account_limits.configure(*serving->document, std::max<std::size_t>(1, live));
}

void control_plane::handle_adopted_revision(std::uint64_t revision) {
    members_->update_self([revision](peer::member_record& self) { self.revision = revision; });
    admission_gate_.configure(shared_.serving.read()->document->max_concurrent_requests);
    update_account_limits();
}

asio::awaitable<void> control_plane::poll_loads() {
    const std::shared_ptr<control_plane> self = shared_from_this();
    asio::steady_timer timer(strand_);
    boost::system::error_code ec;
    // Relayed endpoints report their load in their answers.
    while (!stopping_ && !shared_.relay) {
        const base::time_point round_end = now() + load_poll_interval;
        const std::shared_ptr<const serving_state> serving = shared_.serving.read();
        const routing::endpoint_table table =
            serving->document ? routing::endpoint_table(*shared_.vms.read(), *serving->document)
                              : routing::endpoint_table();
        for (const std::pair<const base::service_name, routing::service_endpoints>& service :
             table.services()) {
            for (const routing::endpoint& target : service.second.endpoints) {
                if (service.second.settings.reports_load && !stopping_) {
                    asio::co_spawn(
                        strand_, [self, target]() { return self->poll_load(target); }, asio::detached);
                    timer.expires_after(min_load_poll_spacing);
                    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
                }
            }
        }
        timer.expires_at(to_steady(std::max(round_end, now() + min_load_poll_spacing)));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> control_plane::poll_load(routing::endpoint target) {
    const http::request message{"GET", "/v1/load", {}, ""};
    http::exchange_limits limits;
    limits.memory = &shared_.responses;
    const base::result<http::response> response =
        co_await http::exchange(strand_, shared_.endpoint_pool, target.address, message, limits);
    if (!response) {
        co_return;
    }
    if (response->fields.find("X-Endpoint-State") == "leaving") {
        shared_.router.endpoint_leaving(target.id);
    } else {
        shared_.router.endpoint_live(target.id);
    }
    const std::optional<routing::load_report> report = parse_load_report(response->body);
    if (report) {
        shared_.router.load_reported(target.id, *report, now());
    }
}

} // namespace rattanbay::daemon::internal
