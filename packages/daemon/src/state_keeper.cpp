#include "internal/state_keeper.hpp"

#include "internal/clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Wait of one watch; with the margin of the adapter a silent one is noticed after 10 s.
constexpr std::chrono::seconds watch_wait{8};
/// Plain reads find what a watch missed. The daemons share them, as each tells the others of a new
/// document: a read comes every `read_spacing` on the average, and every daemon makes one at least
/// every `most_read_period`.
constexpr std::chrono::milliseconds read_spacing{250};
constexpr std::chrono::milliseconds least_read_period{1000};
constexpr std::chrono::seconds most_read_period{20};
/// Pause after a change of the VM list. Changes often come together, for example when a service is
/// replaced, and each one would wake every daemon's watch.
constexpr std::chrono::milliseconds watch_spacing{200};
/// Time that a watch may be behind a read.
constexpr std::chrono::milliseconds watch_delay{400};
constexpr std::chrono::milliseconds least_backoff{200};
constexpr std::chrono::seconds most_backoff{10};
constexpr std::chrono::seconds peer_limit{2};
/// Period of the check for VM list entries that lapsed and were not listed again.
constexpr std::chrono::milliseconds lapse_check_period{250};
/// Kind of the platform's objects whose names are the peer addresses of daemons. A daemon finds the
/// others there when its seeds are gone.
constexpr std::string_view registry_kind = "entry-vms";
/// Period of reading them, and the period of a daemon that knows no other one.
constexpr std::chrono::seconds registry_period{60};
constexpr std::chrono::seconds alone_period{3};

/// Name of a daemon's object: its address with dashes, which every platform takes in names.
std::string registry_name(const base::address& address) {
    std::string out = address.text();
    std::ranges::replace(out, '.', '-');
    std::ranges::replace(out, ':', '-');
    return out;
}

std::optional<base::address> registered_address(std::string name) {
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

state_keeper::state_keeper(shared_state& shared, control_strand strand, platform_client& platform,
                           peer_transport& transport, members_handler on_members,
                           revision_handler on_revision)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , transport_(transport)
    , on_members_(std::move(on_members))
    , on_revision_(std::move(on_revision))
    , random_(shared.next_seed())
    , directory_(shared.settings.relay ? shared.settings.relay->relisting_grace_period : base::duration{})
    , last_platform_answer_(now()) {}

void state_keeper::start() {
    const std::shared_ptr<state_keeper> self = shared_from_this();
    asio::co_spawn(
        strand_, [self]() { return self->watch_document(); }, asio::detached);
    asio::co_spawn(
        strand_, [self]() { return self->read_document_periodically(); }, asio::detached);
    asio::co_spawn(
        strand_, [self]() { return self->watch_vms(); }, asio::detached);
    asio::co_spawn(
        strand_, [self]() { return self->remove_lapsed_vms(); }, asio::detached);
    asio::co_spawn(
        strand_, [self]() { return self->ask_seeds_at_start(); }, asio::detached);
    if (shared_.relay) {
        asio::co_spawn(
            strand_, [self]() { return self->find_registered(); }, asio::detached);
    }
}

void state_keeper::fetch_from(const base::address& peer_address) {
    if (fetching_) {
        return;
    }
    fetching_ = true;
    const std::shared_ptr<state_keeper> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, peer_address]() -> asio::awaitable<void> {
            co_await self->ask_peer(peer_address);
            self->fetching_ = false;
        },
        asio::detached);
}

peer::frame state_keeper::state_for(const peer::state_request& request,
                                    const std::vector<peer::member_record>& members) const {
    peer::state_reply reply;
    if (adoption_.revision() > request.revision) {
        reply.document = config::document_object::of(*adoption_.current()).serialize();
    }
    reply.vms = *shared_.vms.read();
    reply.members = members;
    return reply;
}

asio::awaitable<bool> state_keeper::verify() {
    const object_api::read_object request{config::document_object::key(shared_.settings.environment)};
    const object_api::answer answer = co_await call(request);
    if (const object_api::object* object = std::get_if<object_api::object>(&answer)) {
        offer(object->value);
        co_return true;
    }
    const std::shared_ptr<const member_view> view = shared_.members.read();
    for (const peer::member_record& member : view->members) {
        const bool other = member.id != shared_.id && member.status == peer::member_status::live;
        if (other && co_await ask_peer(member.peer_address)) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<void> state_keeper::watch_document() {
    unsigned failures = 0;
    while (true) {
        const object_api::object_key key = config::document_object::key(shared_.settings.environment);
        const object_api::watch_object request{key, document_version_, watch_wait};
        const object_api::answer answer = co_await call(request);
        if (const object_api::object* object = std::get_if<object_api::object>(&answer)) {
            document_version_ = std::max(document_version_, object->version);
            offer(object->value);
        } else if (const object_api::unchanged* same = std::get_if<object_api::unchanged>(&answer)) {
            document_version_ = std::max(document_version_, same->version);
        } else if (std::holds_alternative<object_api::history_lost>(answer)) {
            telemetry::log(telemetry::log_event::history_lost,
                           {{"version", std::to_string(document_version_)}});
            document_version_ = 0;
        }
        const bool usable = !std::holds_alternative<object_api::failed>(answer) &&
                            !std::holds_alternative<object_api::not_found>(answer);
        failures = usable ? 0 : failures + 1;
        if (failures > 0) {
            co_await pause_after_failure(failures);
        }
    }
}

base::duration state_keeper::read_period() const {
    const std::size_t members = shared_.members.read()->members.size();
    const base::duration shared_period = read_spacing * static_cast<std::int64_t>(members);
    return std::clamp<base::duration>(shared_period, least_read_period, most_read_period);
}

asio::awaitable<void> state_keeper::read_document_periodically() {
    while (true) {
        const base::duration period = read_period();
        const std::int64_t jitter =
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(period.count())));
        co_await pause(period / 2 + base::duration(jitter));
        // A watch from the beginning is answered at once.
        const object_api::watch_object request{
            config::document_object::key(shared_.settings.environment), 0, {}};
        const object_api::answer answer = co_await call(request);
        if (const object_api::object* object = std::get_if<object_api::object>(&answer)) {
            const std::uint64_t store_version = object->store_version;
            offer(object->value);
            co_await read_missed_vms(store_version);
        }
    }
}

asio::awaitable<void> state_keeper::read_missed_vms(std::uint64_t store_version) {
    if (store_version <= directory_.version()) {
        co_return;
    }
    co_await pause(watch_delay);
    if (store_version <= directory_.version() || directory_.next_page_after()) {
        co_return;
    }
    directory_.restart_listing();
    while (directory_.next_page_after()) {
        const object_api::list_vms request{*directory_.next_page_after()};
        const object_api::answer answer = co_await call(request);
        take_vm_answer(answer);
        if (std::holds_alternative<object_api::failed>(answer)) {
            co_return;
        }
    }
}

asio::awaitable<void> state_keeper::watch_vms() {
    unsigned failures = 0;
    while (true) {
        object_api::call request = object_api::watch_vms{directory_.version(), watch_wait};
        if (directory_.next_page_after()) {
            request = object_api::list_vms{*directory_.next_page_after()};
        }
        const object_api::answer answer = co_await call(request);
        take_vm_answer(answer);
        failures = std::holds_alternative<object_api::failed>(answer) ? failures + 1 : 0;
        if (failures > 0) {
            co_await pause_after_failure(failures);
        } else if (std::holds_alternative<object_api::vm_changes>(answer)) {
            co_await pause(watch_spacing);
        }
    }
}

asio::awaitable<void> state_keeper::remove_lapsed_vms() {
    while (true) {
        co_await pause(lapse_check_period);
        if (directory_.remove_expired(now())) {
            publish_vms("entries were not listed again in time");
        }
    }
}

void state_keeper::take_vm_answer(const object_api::answer& answer) {
    if (const object_api::vm_list* list = std::get_if<object_api::vm_list>(&answer)) {
        directory_.apply(*list, now());
    } else if (const object_api::vm_page* page = std::get_if<object_api::vm_page>(&answer)) {
        directory_.apply(*page, now());
        note_unusable(page->unusable_count);
        if (directory_.next_page_after()) {
            return;
        }
    } else if (const object_api::vm_changes* changes = std::get_if<object_api::vm_changes>(&answer)) {
        directory_.apply(*changes, now());
        note_unusable(changes->unusable_count);
    } else if (const object_api::unchanged* same = std::get_if<object_api::unchanged>(&answer)) {
        directory_.advance_to(same->version);
        return;
    } else if (std::holds_alternative<object_api::history_lost>(answer)) {
        telemetry::log(telemetry::log_event::history_lost,
                       {{"version", std::to_string(directory_.version())}});
        directory_.restart_listing();
        return;
    } else {
        return;
    }
    publish_vms("the platform's list");
}

asio::awaitable<void> state_keeper::ask_seeds_at_start() {
    constexpr std::chrono::milliseconds least_round{500};
    base::duration round = least_round;
    bool answered = false;
    while (!answered || !adoption_.current()) {
        for (const base::address& seed : shared_.settings.seed_peers) {
            const bool other = seed != shared_.settings.peer_address;
            answered = (other && co_await ask_peer(seed)) || answered;
        }
        if (shared_.settings.seed_peers.empty()) {
            co_return;
        }
        const std::int64_t jitter =
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(round.count())));
        co_await pause(round / 2 + base::duration(jitter));
        round = std::min<base::duration>(round * 2, most_backoff);
    }
}

asio::awaitable<void> state_keeper::register_self() {
    const object_api::object_key key{std::string(registry_kind),
                                     registry_name(shared_.settings.peer_address)};
    unsigned failures = 0;
    while (true) {
        const object_api::write_object request{key, std::nullopt, "{}"};
        const object_api::answer answer = co_await call(request);
        if (!std::holds_alternative<object_api::failed>(answer)) {
            co_return;
        }
        co_await pause_after_failure(++failures);
    }
}

asio::awaitable<void> state_keeper::find_registered() {
    co_await register_self();
    while (true) {
        const object_api::list_objects request{std::string(registry_kind)};
        const object_api::answer answer = co_await call(request);
        if (const object_api::object_list* list = std::get_if<object_api::object_list>(&answer)) {
            for (const object_api::object_list::row& row : list->objects) {
                const std::optional<base::address> other = registered_address(row.name);
                if (other && !is_member(*other)) {
                    co_await ask_peer(*other);
                }
            }
        }
        const bool alone = shared_.members.read()->members.size() <= 1;
        const base::duration period = alone ? alone_period : registry_period;
        const std::int64_t jitter =
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(period.count())));
        co_await pause(period / 2 + base::duration(jitter));
    }
}

bool state_keeper::is_member(const base::address& peer_address) const {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    return std::ranges::any_of(view->members, [&peer_address](const peer::member_record& row) {
        return row.peer_address == peer_address;
    });
}

asio::awaitable<bool> state_keeper::ask_peer(base::address peer_address) {
    const peer::frame request = peer::state_request{adoption_.revision()};
    const base::result<peer::frame> answer = co_await transport_.exchange(peer_address, request, peer_limit);
    const peer::state_reply* const reply = answer ? std::get_if<peer::state_reply>(&*answer) : nullptr;
    if (reply == nullptr) {
        co_return false;
    }
    if (!reply->document.empty()) {
        offer(reply->document);
    }
    take_vms_of_peer(reply->vms);
    on_members_(reply->members);
    co_return true;
}

asio::awaitable<object_api::answer> state_keeper::call(object_api::call request) {
    object_api::answer answer = co_await platform_.call(strand_, std::move(request));
    note_platform(!std::holds_alternative<object_api::failed>(answer));
    co_return answer;
}

asio::awaitable<void> state_keeper::pause_after_failure(unsigned failures) {
    constexpr unsigned most_doublings = 6;
    const base::duration ceiling = std::min<base::duration>(
        least_backoff * (1U << std::min(failures - 1, most_doublings)), most_backoff);
    // Full jitter, so that the daemons do not all come back at once when the platform returns.
    const base::duration length(random_.below(static_cast<std::uint64_t>(ceiling.count())));
    co_await pause(std::max<base::duration>(length, std::chrono::milliseconds(10)));
}

asio::awaitable<void> state_keeper::pause(base::duration length) {
    asio::steady_timer timer(strand_, length);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void state_keeper::note_platform(bool usable) {
    if (usable) {
        last_platform_answer_ = now();
    }
    if (usable == platform_failing_) {
        platform_failing_ = !usable;
        if (usable) {
            directory_.platform_recovered(now());
        }
        telemetry::log(
            usable ? telemetry::log_event::platform_recovered : telemetry::log_event::platform_failing, {});
    }
}

void state_keeper::offer(std::string_view value) {
    const config::adoption_result result = adoption_.offer_serialized(value);
    if (const config::document_adopted* adopted = std::get_if<config::document_adopted>(&result)) {
        adopt(adopted->document);
        return;
    }
    const config::document_rejected* const refused = std::get_if<config::document_rejected>(&result);
    if (refused != nullptr && !refused->repeated) {
        telemetry::log(telemetry::log_event::document_rejected,
                       {{"revision", std::to_string(refused->revision)}, {"reason", refused->reason}});
    }
}

void state_keeper::adopt(const std::shared_ptr<const config::environment_document>& document) {
    const std::shared_ptr<const serving_state> before = shared_.serving.read();
    const std::shared_ptr<serving_state> next = std::make_shared<serving_state>();
    next->document = document;
    for (const std::pair<const base::service_name, config::service>& row : document->services) {
        const auto it = before->retry_budgets.find(row.first);
        next->retry_budgets[row.first] =
            it == before->retry_budgets.end() ? std::make_shared<limits::retry_budget>() : it->second;
        next->retry_budgets[row.first]->set_cost_weight(document->cost_weight);
    }
    shared_.serving.publish(next);
    if (document->relay) {
        shared_.relay->adopt(document);
    }
    publish_table();
    on_revision_(document->revision);
    const std::string revision = std::to_string(document->revision);
    telemetry::log(telemetry::log_event::document_adopted,
                   {{"revision", revision}, {"sha256", document->sha256}});
    shared_.record({}, telemetry::timeline_event::document_adopted, {{"revision", revision}});
}

void state_keeper::note_unusable(std::size_t entries) {
    if (entries > 0) {
        telemetry::log(telemetry::log_event::entries_unusable, {{"entries", std::to_string(entries)}});
    }
}

void state_keeper::take_vms_of_peer(const object_api::vm_list& list) {
    // The platform's own list counts once it is whole; until then a peer's is better than none.
    if (directory_.version() > 0 || list.version <= shared_.vms.read()->version) {
        return;
    }
    publish_vms(list, "a peer's list");
}

void state_keeper::publish_vms(std::string_view source) {
    publish_vms(directory_.list(), source);
}

void state_keeper::publish_vms(const object_api::vm_list& list, std::string_view source) {
    if (list.vms == shared_.vms.read()->vms) {
        return;
    }
    shared_.vms.publish(std::make_shared<object_api::vm_list>(list));
    publish_table();
    std::size_t leaving = 0;
    for (const object_api::vm& row : list.vms) {
        leaving += row.state == object_api::vm_state::leaving ? 1 : 0;
    }
    telemetry::log(telemetry::log_event::vm_list_changed, {{"version", std::to_string(list.version)},
                                                           {"vms", std::to_string(list.vms.size())},
                                                           {"leaving", std::to_string(leaving)},
                                                           {"source", std::string(source)}});
}

void state_keeper::publish_table() {
    const std::shared_ptr<const serving_state> serving = shared_.serving.read();
    if (serving->document) {
        shared_.router.publish(routing::endpoint_table(*shared_.vms.read(), *serving->document));
    }
    if (shared_.relay) {
        shared_.relay->balancer.update(*shared_.vms.read());
    }
}

} // namespace rattanbay::daemon::internal
