#include "internal/state_synchronizer.hpp"

#include "internal/clock.hpp"
#include "internal/compression.hpp"
#include "internal/watch_failures.hpp"

#include <rattanbay/peer/codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Periodic reads find changes that a watch missed. Daemons tell each other about new documents, so they
/// share this work: the daemons together read once per `cluster_read_interval` on average, and each daemon
/// reads at least once per `max_read_interval`.
constexpr std::chrono::milliseconds cluster_read_interval{250};
constexpr std::chrono::milliseconds min_read_interval{1000};
constexpr std::chrono::seconds max_read_interval{20};
/// Delay before the next watch after a change of the VM list. Changes often come in bursts, for example when
/// a service is replaced, and each one would complete every daemon's watch.
constexpr std::chrono::milliseconds vm_watch_delay{200};
/// Time by which a watch may lag behind a read.
constexpr std::chrono::milliseconds max_watch_lag{400};
constexpr std::chrono::milliseconds min_backoff{200};
/// Bounds the time until a daemon finds that the platform answers again.
constexpr std::chrono::seconds max_backoff{2};
constexpr std::chrono::seconds max_seed_retry_interval{10};
constexpr std::chrono::seconds peer_timeout{2};
/// Timeout of a request for a document to one of several daemons that have it, the pause after a failure and
/// the number of requests for one document.
constexpr std::chrono::milliseconds document_fetch_timeout{700};
constexpr std::chrono::milliseconds document_fetch_pause{50};
constexpr unsigned max_document_fetches = 20;
/// Number of daemons remembered that have announced a newer document.
constexpr std::size_t max_document_holders = 4;
/// Interval of the check for expired VM list entries whose grace period has ended.
constexpr std::chrono::milliseconds expiry_check_interval{250};
/// Kind of the platform's objects whose names contain the peer addresses of daemons. They let a daemon find
/// the others when none of its seeds is available.
constexpr std::string_view registry_kind = "entry-vms";
/// Interval of reading these objects, and the shorter one of a daemon that knows no other daemon.
constexpr std::chrono::seconds registry_read_interval{60};
constexpr std::chrono::seconds lone_registry_read_interval{3};

/// Name of a daemon's object: its address with dashes, which every platform allows in names.
std::string registry_name(const base::address& address) {
    std::string out = address.text();
    std::ranges::replace(out, '.', '-');
    std::ranges::replace(out, ':', '-');
    return out;
}

std::optional<base::address> parse_registry_name(std::string name) {
    const std::size_t port = name.rfind('-');
    if (port == std::string::npos) {
        return std::nullopt;
    }
    std::ranges::replace(name, '-', '.');
    name[port] = ':';
    const base::result<base::address> parsed = base::address::parse(name);
    return parsed ? std::optional<base::address>(*parsed) : std::nullopt;
}

} // namespace

state_synchronizer::state_synchronizer(shared_state& shared, control_strand strand, platform_client& platform,
                                       peer_transport& transport, members_handler on_members,
                                       revision_handler on_revision)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , transport_(transport)
    , on_members_(std::move(on_members))
    , on_revision_(std::move(on_revision))
    , publisher_(shared)
    , random_(shared.next_seed())
    , directory_(shared.settings.relay ? shared.settings.relay->relisting_grace_period : base::duration{})
    , last_platform_answer_(now()) {}

void state_synchronizer::start() {
    const std::shared_ptr<state_synchronizer> self = shared_from_this();
    asio::co_spawn(
        strand_, [self]() { return self->watch_document(); }, asio::detached);
    asio::co_spawn(
        strand_, [self]() { return self->read_document_periodically(); }, asio::detached);
    start_vm_watch();
    asio::co_spawn(
        strand_, [self]() { return self->remove_expired_vms(); }, asio::detached);
    asio::co_spawn(
        strand_, [self]() { return self->fetch_from_seeds(); }, asio::detached);
    if (shared_.relay) {
        asio::co_spawn(
            strand_, [self]() { return self->discover_registered_daemons(); }, asio::detached);
    }
}

void state_synchronizer::catch_up_document(std::uint64_t revision, const base::address& peer_address) {
    if (revision <= adoption_.revision()) {
        return;
    }
    wanted_revision_ = std::max(wanted_revision_, revision);
    document_holders_.push_back(peer_address);
    if (document_holders_.size() > max_document_holders) {
        document_holders_.pop_front();
    }
    if (document_fetch_in_progress_) {
        return;
    }
    document_fetch_in_progress_ = true;
    const std::shared_ptr<state_synchronizer> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self]() -> asio::awaitable<void> {
            co_await self->fetch_wanted_document();
            self->document_fetch_in_progress_ = false;
        },
        asio::detached);
}

asio::awaitable<void> state_synchronizer::fetch_wanted_document() {
    for (unsigned tries = 0; tries < max_document_fetches && adoption_.revision() < wanted_revision_;
         ++tries) {
        std::optional<base::address> holder = choose_document_holder();
        if (!holder) {
            break;
        }
        co_await fetch_state_from(*holder, document_fetch_timeout);
        if (adoption_.revision() < wanted_revision_) {
            co_await sleep_for(document_fetch_pause);
        }
    }
    if (adoption_.revision() < wanted_revision_) {
        telemetry::log(telemetry::log_event::document_fetch_failed,
                       {{"revision", std::to_string(adoption_.revision())},
                        {"wanted_revision", std::to_string(wanted_revision_)}});
    }
}

std::optional<base::address> state_synchronizer::choose_document_holder() {
    if (!document_holders_.empty()) {
        const base::address out = document_holders_.front();
        document_holders_.pop_front();
        return out;
    }
    std::vector<base::address> holders;
    const std::shared_ptr<const member_view> view = shared_.members.read();
    for (const peer::member_record& member : view->members) {
        if (member.status == peer::member_status::live && member.revision >= wanted_revision_) {
            holders.push_back(member.peer_address);
        }
    }
    if (holders.empty()) {
        return std::nullopt;
    }
    return holders[random_.below(holders.size())];
}

void state_synchronizer::catch_up_vms(std::uint64_t change_version) {
    if (change_version <= directory_.version() || vm_catch_up_in_progress_ || platform_failing_) {
        return;
    }
    vm_catch_up_in_progress_ = true;
    const std::shared_ptr<state_synchronizer> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, change_version]() -> asio::awaitable<void> {
            co_await self->read_missed_vms(change_version);
            self->vm_catch_up_in_progress_ = false;
        },
        asio::detached);
}

void state_synchronizer::start_vm_watch() {
    const std::shared_ptr<state_synchronizer> self = shared_from_this();
    const std::uint64_t generation = ++vm_watch_generation_;
    asio::co_spawn(
        strand_, [self, generation]() { return self->watch_vms(generation); }, asio::detached);
}

peer::frame state_synchronizer::build_state_reply(const peer::state_request& request,
                                                  const std::vector<peer::member_record>& members) {
    peer::state_reply reply;
    if (adoption_.revision() > request.revision && request.accepts_compression) {
        reply.compressed_document = compressed_document();
    } else if (adoption_.revision() > request.revision) {
        reply.document = config::document_object::of(*adoption_.current()).serialize();
    }
    reply.vms = *shared_.vms.read();
    reply.members = members;
    if (shared_.relay) {
        reply.quarantined_parts = shared_.relay->quarantine.quarantined_parts(now());
    }
    return reply;
}

const std::string& state_synchronizer::compressed_document() {
    if (compressed_revision_ != adoption_.revision()) {
        compressed_revision_ = adoption_.revision();
        compressed_document_ = compress(config::document_object::of(*adoption_.current()).serialize());
    }
    return compressed_document_;
}

asio::awaitable<bool> state_synchronizer::verify() {
    const object_api::read_object request{config::document_object::key(shared_.settings.environment)};
    const object_api::answer answer = co_await call(request);
    if (const object_api::object* object = std::get_if<object_api::object>(&answer)) {
        offer_document(object->value, "read");
        co_return true;
    }
    const std::shared_ptr<const member_view> view = shared_.members.read();
    for (const peer::member_record& member : view->members) {
        const bool is_other = member.id != shared_.id && member.status == peer::member_status::live;
        if (is_other && co_await fetch_state_from(member.peer_address, peer_timeout)) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<void> state_synchronizer::watch_document() {
    watch_failures failures;
    while (true) {
        const object_api::object_key key = config::document_object::key(shared_.settings.environment);
        const object_api::watch_object request{key, document_version_, failures.wait()};
        const object_api::answer answer = co_await call(request);
        if (const object_api::object* object = std::get_if<object_api::object>(&answer)) {
            document_version_ = std::max(document_version_, object->version);
            offer_document(object->value, "watch");
        } else if (const object_api::unchanged* unchanged = std::get_if<object_api::unchanged>(&answer)) {
            document_version_ = std::max(document_version_, unchanged->version);
        } else if (std::holds_alternative<object_api::history_lost>(answer)) {
            telemetry::log(telemetry::log_event::history_lost,
                           {{"version", std::to_string(document_version_)}});
            document_version_ = 0;
        }
        const bool usable = !std::holds_alternative<object_api::failed>(answer) &&
                            !std::holds_alternative<object_api::not_found>(answer);
        failures.record(usable);
        if (failures.last_failed()) {
            co_await back_off("watch_document", failures.count(), answer);
        }
    }
}

base::duration state_synchronizer::read_interval() const {
    const std::size_t members = shared_.members.read()->members.size();
    const base::duration shared_interval = cluster_read_interval * static_cast<std::int64_t>(members);
    return std::clamp<base::duration>(shared_interval, min_read_interval, max_read_interval);
}

asio::awaitable<void> state_synchronizer::read_document_periodically() {
    while (true) {
        const base::duration interval = read_interval();
        const std::int64_t jitter =
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(interval.count())));
        co_await sleep_for(interval / 2 + base::duration(jitter));
        // A watch from version 0 returns immediately.
        const object_api::watch_object request{
            config::document_object::key(shared_.settings.environment), 0, {}};
        const object_api::answer answer = co_await call(request);
        if (const object_api::object* object = std::get_if<object_api::object>(&answer)) {
            const std::uint64_t store_version = object->store_version;
            offer_document(object->value, "read");
            co_await read_missed_vms(store_version);
        }
    }
}

asio::awaitable<void> state_synchronizer::read_missed_vms(std::uint64_t store_version) {
    if (store_version <= directory_.version()) {
        co_return;
    }
    co_await sleep_for(max_watch_lag);
    if (store_version <= directory_.version() || directory_.next_page_after()) {
        co_return;
    }
    directory_.restart_listing();
    while (directory_.next_page_after()) {
        const object_api::list_vms request{*directory_.next_page_after()};
        const object_api::answer answer = co_await call(request);
        const bool is_stale = is_stale_list(answer);
        apply_vm_answer(answer);
        if (std::holds_alternative<object_api::failed>(answer)) {
            co_return;
        }
        if (is_stale) {
            co_await sleep_for(max_watch_lag);
        }
    }
    // The connection of the watch may be silent.
    start_vm_watch();
}

asio::awaitable<void> state_synchronizer::watch_vms(std::uint64_t generation) {
    watch_failures failures;
    while (generation == vm_watch_generation_) {
        object_api::call request = object_api::watch_vms{directory_.version(), failures.wait()};
        if (directory_.next_page_after()) {
            request = object_api::list_vms{*directory_.next_page_after()};
        }
        const object_api::answer answer = co_await call(request);
        const bool usable = !std::holds_alternative<object_api::failed>(answer) && !is_stale_list(answer);
        apply_vm_answer(answer);
        failures.record(usable);
        if (failures.last_failed()) {
            co_await back_off("watch_vms", failures.count(), answer);
        } else if (std::holds_alternative<object_api::vm_changes>(answer)) {
            co_await sleep_for(vm_watch_delay);
        }
    }
}

asio::awaitable<void> state_synchronizer::remove_expired_vms() {
    while (true) {
        co_await sleep_for(expiry_check_interval);
        if (directory_.remove_expired(now())) {
            publisher_.publish(directory_.list(), {"expiry", directory_.version()});
        }
    }
}

bool state_synchronizer::is_stale_list(const object_api::answer& answer) const {
    const object_api::vm_list* const list = std::get_if<object_api::vm_list>(&answer);
    const object_api::vm_page* const page = std::get_if<object_api::vm_page>(&answer);
    return (list != nullptr && directory_.is_stale(*list)) || (page != nullptr && directory_.is_stale(*page));
}

void state_synchronizer::apply_vm_answer(const object_api::answer& answer) {
    const std::optional<vm_list_source> source = vm_list_source_of(answer, directory_.version());
    if (source) {
        publisher_.record_answer(*source, directory_.version(),
                                 std::holds_alternative<object_api::unchanged>(answer));
    }
    if (const object_api::vm_list* list = std::get_if<object_api::vm_list>(&answer)) {
        directory_.apply(*list, now());
    } else if (const object_api::vm_page* page = std::get_if<object_api::vm_page>(&answer)) {
        directory_.apply(*page, now());
        vm_list_publisher::log_unusable_entries(page->unusable_count);
        if (directory_.next_page_after()) {
            return;
        }
    } else if (const object_api::vm_changes* changes = std::get_if<object_api::vm_changes>(&answer)) {
        directory_.apply(*changes, now());
        vm_list_publisher::log_unusable_entries(changes->unusable_count);
    } else if (const object_api::unchanged* unchanged = std::get_if<object_api::unchanged>(&answer)) {
        directory_.advance_to(unchanged->version);
        return;
    } else if (std::holds_alternative<object_api::history_lost>(answer)) {
        telemetry::log(telemetry::log_event::history_lost,
                       {{"version", std::to_string(directory_.version())}});
        directory_.restart_listing();
        return;
    } else {
        return;
    }
    publisher_.publish(directory_.list(), *source);
}

asio::awaitable<void> state_synchronizer::fetch_from_seeds() {
    constexpr std::chrono::milliseconds min_retry_interval{500};
    base::duration retry_interval = min_retry_interval;
    bool answered = false;
    while (!answered || !adoption_.current()) {
        for (const base::address& seed : shared_.settings.seed_peers) {
            const bool is_other = seed != shared_.settings.peer_address;
            answered = (is_other && co_await fetch_state_from(seed, peer_timeout)) || answered;
        }
        if (shared_.settings.seed_peers.empty()) {
            co_return;
        }
        const std::int64_t jitter =
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(retry_interval.count())));
        co_await sleep_for(retry_interval / 2 + base::duration(jitter));
        retry_interval = std::min<base::duration>(retry_interval * 2, max_seed_retry_interval);
    }
}

asio::awaitable<void> state_synchronizer::register_self() {
    const object_api::object_key key{std::string(registry_kind),
                                     registry_name(shared_.settings.peer_address)};
    unsigned failures = 0;
    while (true) {
        const object_api::write_object request{key, std::nullopt, "{}"};
        const object_api::answer answer = co_await call(request);
        if (!std::holds_alternative<object_api::failed>(answer)) {
            co_return;
        }
        co_await back_off("register", ++failures, answer);
    }
}

asio::awaitable<void> state_synchronizer::discover_registered_daemons() {
    co_await register_self();
    while (true) {
        const object_api::list_objects request{std::string(registry_kind)};
        const object_api::answer answer = co_await call(request);
        if (const object_api::object_list* list = std::get_if<object_api::object_list>(&answer)) {
            for (const object_api::object_list::row& row : list->objects) {
                const std::optional<base::address> other = parse_registry_name(row.name);
                if (other && !is_member(*other)) {
                    co_await fetch_state_from(*other, peer_timeout);
                }
            }
        }
        const bool is_alone = shared_.members.read()->members.size() <= 1;
        const base::duration interval = is_alone ? lone_registry_read_interval : registry_read_interval;
        const std::int64_t jitter =
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(interval.count())));
        co_await sleep_for(interval / 2 + base::duration(jitter));
    }
}

bool state_synchronizer::is_member(const base::address& peer_address) const {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    return std::ranges::any_of(view->members, [&peer_address](const peer::member_record& member) {
        return member.peer_address == peer_address;
    });
}

asio::awaitable<bool> state_synchronizer::fetch_state_from(base::address peer_address,
                                                           base::duration timeout) {
    const base::time_point start = now();
    const peer::frame request = peer::state_request{adoption_.revision(), true};
    const base::result<peer::frame> answer = co_await transport_.exchange(peer_address, request, timeout);
    const peer::state_reply* const reply = answer ? std::get_if<peer::state_reply>(&*answer) : nullptr;
    telemetry::log(
        telemetry::log_event::peer_state_fetched,
        {{"peer_address", peer_address.text()},
         {"revision", std::to_string(adoption_.revision())},
         {"wanted_revision", std::to_string(wanted_revision_)},
         {"document_bytes",
          std::to_string(reply == nullptr ? 0 : reply->document.size() + reply->compressed_document.size())},
         {"took_ms", std::to_string(base::to_milliseconds(now() - start))},
         {"detail", answer ? "" : answer.error().message}});
    if (reply == nullptr) {
        co_return false;
    }
    if (!reply->document.empty()) {
        offer_document(reply->document, "peer");
    } else if (!reply->compressed_document.empty()) {
        offer_compressed_document(reply->compressed_document);
    }
    apply_peer_vms(reply->vms);
    on_members_(reply->members);
    for (const relay::part_key part : reply->quarantined_parts) {
        if (shared_.relay) {
            shared_.relay->quarantine.quarantine(part, now());
        }
    }
    co_return true;
}

asio::awaitable<object_api::answer> state_synchronizer::call(object_api::call request) {
    object_api::answer answer = co_await platform_.call(strand_, std::move(request));
    record_platform_result(!std::holds_alternative<object_api::failed>(answer));
    co_return answer;
}

asio::awaitable<void> state_synchronizer::back_off(std::string_view call_name, unsigned failures,
                                                   const object_api::answer& answer) {
    constexpr unsigned max_doublings = 6;
    const base::duration max_delay =
        std::min<base::duration>(min_backoff * (1U << std::min(failures - 1, max_doublings)), max_backoff);
    // Full jitter, so that the daemons do not all retry at once when the platform recovers.
    const base::duration delay(random_.below(static_cast<std::uint64_t>(max_delay.count())));
    const object_api::failed* const failure = std::get_if<object_api::failed>(&answer);
    telemetry::log(telemetry::log_event::platform_call_delayed,
                   {{"call", std::string(call_name)},
                    {"failures", std::to_string(failures)},
                    {"delay_ms", std::to_string(base::to_milliseconds(delay))},
                    {"reason", failure != nullptr ? failure->reason.message : "not found or stale"}});
    asio::steady_timer timer(strand_, std::max<base::duration>(delay, std::chrono::milliseconds(10)));
    delayed_calls_.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    delayed_calls_.erase(&timer);
}

asio::awaitable<void> state_synchronizer::sleep_for(base::duration delay) {
    asio::steady_timer timer(strand_, delay);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void state_synchronizer::record_platform_result(bool usable) {
    if (usable) {
        last_platform_answer_ = now();
    }
    if (usable == platform_failing_) {
        platform_failing_ = !usable;
        if (usable) {
            directory_.platform_recovered(now());
            for (asio::steady_timer* const timer : delayed_calls_) {
                timer->cancel();
            }
        }
        telemetry::log(
            usable ? telemetry::log_event::platform_recovered : telemetry::log_event::platform_failing, {});
    }
}

void state_synchronizer::offer_document(std::string_view value, std::string_view source) {
    const base::time_point start = now();
    const config::adoption_result result = adoption_.offer_serialized(value);
    if (const config::document_adopted* adopted = std::get_if<config::document_adopted>(&result)) {
        adopt(adopted->document);
        shared_.metrics.record_document("adopted");
        telemetry::log(telemetry::log_event::document_adopted,
                       {{"revision", std::to_string(adopted->document->revision)},
                        {"sha256", adopted->document->sha256},
                        {"source", std::string(source)},
                        {"bytes", std::to_string(value.size())},
                        {"took_ms", std::to_string(base::to_milliseconds(now() - start))}});
    } else if (const config::document_rejected* rejected = std::get_if<config::document_rejected>(&result)) {
        reject(*rejected, source);
    } else {
        shared_.metrics.record_document("ignored");
    }
    publish_revisions();
}

void state_synchronizer::reject(const config::document_rejected& rejected, std::string_view source) {
    offered_revision_ = std::max(offered_revision_, rejected.revision);
    shared_.metrics.record_document("rejected");
    if (rejected.repeated) {
        return;
    }
    const std::string finding = rejected.findings.empty() ? ""
                                                          : rejected.findings.front().pointer + ": " +
                                                                rejected.findings.front().message;
    telemetry::log(telemetry::log_event::document_rejected,
                   {{"revision", std::to_string(rejected.revision)},
                    {"revision_in_force", std::to_string(adoption_.revision())},
                    {"source", std::string(source)},
                    {"reason", rejected.reason},
                    {"finding", finding}});
}

void state_synchronizer::publish_revisions() {
    const std::uint64_t highest = std::max({adoption_.revision(), wanted_revision_, offered_revision_});
    shared_.metrics.set_document_revisions(adoption_.revision(), highest);
    shared_.highest_revision.store(highest);
}

void state_synchronizer::offer_compressed_document(std::string_view bytes) {
    const base::result<std::string> value = decompress(bytes, peer::max_frame_bytes);
    if (value) {
        offer_document(*value, "peer");
    } else {
        telemetry::log(telemetry::log_event::document_rejected, {{"reason", value.error().message}});
    }
}

void state_synchronizer::adopt(const std::shared_ptr<const config::environment_document>& document) {
    const std::shared_ptr<const serving_state> previous = shared_.serving.read();
    const std::shared_ptr<serving_state> next = std::make_shared<serving_state>();
    next->document = document;
    for (const std::pair<const base::service_name, config::service>& row : document->services) {
        const auto it = previous->retry_budgets.find(row.first);
        next->retry_budgets[row.first] =
            it == previous->retry_budgets.end() ? std::make_shared<limits::retry_budget>() : it->second;
        next->retry_budgets[row.first]->set_cost_weight(document->cost_weight);
    }
    shared_.serving.publish(next);
    if (document->relay) {
        shared_.relay->adopt(document);
    }
    publisher_.publish_endpoints();
    on_revision_(document->revision);
    shared_.record({}, telemetry::timeline_event::document_adopted,
                   {{"revision", std::to_string(document->revision)}});
}

void state_synchronizer::apply_peer_vms(const object_api::vm_list& list) {
    // A peer's list is better than none, but only until the platform's own list is complete.
    if (directory_.version() > 0 || list.version <= shared_.vms.read()->version) {
        return;
    }
    publisher_.publish(list, {"peer", list.version});
}

} // namespace rattanbay::daemon::internal
