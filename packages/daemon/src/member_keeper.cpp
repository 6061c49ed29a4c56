#include "internal/member_keeper.hpp"

namespace rattanbay::daemon::internal {

namespace {

membership::detector_options options_of(const config::settings& settings) {
    membership::detector_options options;
    options.seeds = settings.seed_peers;
    return options;
}

peer::member_record own_record(const shared_state& shared) {
    peer::member_record self;
    self.id = shared.id;
    self.vm = shared.settings.vm;
    self.failure_domain = shared.settings.failure_domain;
    self.peer_address = shared.settings.peer_address;
    self.caller_address = shared.settings.caller_address;
    return self;
}

telemetry::log_event log_event_of(peer::member_status status) {
    switch (status) {
    case peer::member_status::live:
        return telemetry::log_event::member_joined;
    case peer::member_status::suspect:
        return telemetry::log_event::member_suspected;
    case peer::member_status::gone:
        break;
    }
    return telemetry::log_event::member_lost;
}

const peer::member_record* find(const std::vector<peer::member_record>& members,
                                const base::incarnation& id) {
    for (const peer::member_record& member : members) {
        if (member.id == id) {
            return &member;
        }
    }
    return nullptr;
}

} // namespace

member_keeper::member_keeper(shared_state& shared, control_strand strand, peer_transport& transport,
                             revision_handler on_revision)
    : shared_(shared)
    , transport_(transport)
    , on_revision_(std::move(on_revision))
    , detector_(options_of(shared.settings), own_record(shared), base::random_source(shared.next_seed()),
                now())
    , timer_(strand, [this]() { handle(membership::wakeup{}); }) {}

void member_keeper::start() {
    handle(membership::wakeup{});
}

void member_keeper::receive(const base::address& from, peer::datagram message) {
    handle(membership::datagram_received{from, std::move(message)});
}

void member_keeper::update_self(const std::function<void(peer::member_record&)>& change) {
    peer::member_record self = detector_.self();
    change(self);
    handle(membership::self_changed{self});
}

void member_keeper::learn(const std::vector<peer::member_record>& members) {
    handle(membership::member_table_received{members});
}

void member_keeper::leave() {
    handle(membership::leave_requested{});
    timer_.cancel();
}

void member_keeper::handle(const membership::event& happened) {
    for (const membership::action& action : detector_.handle(happened, now())) {
        std::visit([this](const auto& typed) { carry_out(typed); }, action);
    }
    publish();
    timer_.set(detector_.next_wakeup());
}

void member_keeper::carry_out(const membership::send_datagram& action) {
    transport_.send(action.to, action.message);
}

void member_keeper::carry_out(const membership::member_changed& action) {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    const peer::member_record* const before = find(view->members, action.member.id);
    const peer::member_status known = before == nullptr ? peer::member_status::gone : before->status;
    if (known == action.member.status) {
        return;
    }
    const std::string status(base::to_name(action.member.status));
    telemetry::log(log_event_of(action.member.status), {{"member", action.member.vm.text()},
                                                        {"peer_address", action.member.peer_address.text()}});
    shared_.record({}, telemetry::timeline_event::member_changed,
                   {{"member", action.member.vm.text()}, {"status", status}});
}

void member_keeper::carry_out(const membership::revision_seen& action) {
    on_revision_(action.revision, action.at);
}

void member_keeper::publish() {
    const std::shared_ptr<member_view> view = std::make_shared<member_view>();
    view->members = detector_.members();
    shared_.members.publish(view);
}

} // namespace rattanbay::daemon::internal
