#include "internal/membership_driver.hpp"

namespace rattanbay::daemon::internal {

namespace {

membership::detector_options detector_options_from(const config::settings& settings) {
    membership::detector_options options;
    options.seeds = settings.seed_peers;
    return options;
}

peer::member_record make_own_record(const shared_state& shared) {
    peer::member_record self;
    self.id = shared.id;
    self.vm = shared.settings.vm;
    self.failure_domain = shared.settings.failure_domain;
    self.peer_address = shared.settings.peer_address;
    self.caller_address = shared.settings.caller_address;
    self.processor_percent = shared.settings.processor.capacity_percent();
    return self;
}

telemetry::log_event log_event_for(peer::member_status status) {
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

membership_driver::membership_driver(shared_state& shared, control_strand strand, peer_transport& transport,
                                     revision_handler on_revision, vm_list_change_handler on_vm_list_change)
    : shared_(shared)
    , transport_(transport)
    , on_revision_(std::move(on_revision))
    , on_vm_list_change_(std::move(on_vm_list_change))
    , detector_(detector_options_from(shared.settings), make_own_record(shared),
                base::random_source(shared.next_seed()), now())
    , timer_(strand, [this]() { handle(membership::timer_expired{}); }) {}

void membership_driver::start() {
    handle(membership::timer_expired{});
}

void membership_driver::receive(const base::address& from, peer::datagram message) {
    handle(membership::datagram_received{from, std::move(message)});
}

void membership_driver::update_self(const std::function<void(peer::member_record&)>& change) {
    peer::member_record self = detector_.self();
    change(self);
    handle(membership::self_changed{self});
}

void membership_driver::merge_members(const std::vector<peer::member_record>& members) {
    handle(membership::member_table_received{members});
}

void membership_driver::leave() {
    handle(membership::leave_requested{});
    timer_.cancel();
}

void membership_driver::handle(const membership::event& event) {
    for (const membership::action& action : detector_.handle(event, now())) {
        std::visit([this](const auto& typed) { apply(typed); }, action);
    }
    publish();
    timer_.set(detector_.next_wakeup());
}

void membership_driver::apply(const membership::send_datagram& action) {
    transport_.send(action.to, action.message);
}

void membership_driver::apply(const membership::member_changed& action) {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    const peer::member_record* const previous = find(view->members, action.member.id);
    const peer::member_status previous_status =
        previous == nullptr ? peer::member_status::gone : previous->status;
    if (previous_status == action.member.status) {
        return;
    }
    const std::string status(base::to_name(action.member.status));
    telemetry::log(
        log_event_for(action.member.status),
        {{"member", action.member.vm.text()}, {"peer_address", action.member.peer_address.text()}});
    shared_.record({}, telemetry::timeline_event::member_changed,
                   {{"member", action.member.vm.text()}, {"status", status}});
}

void membership_driver::apply(const membership::revision_seen& action) {
    on_revision_(action.revision, action.at);
}

void membership_driver::apply(const membership::vm_list_change_seen& action) {
    on_vm_list_change_(action.version);
}

void membership_driver::publish() {
    const std::shared_ptr<member_view> view = std::make_shared<member_view>();
    view->members = detector_.members();
    shared_.members.publish(view);
}

} // namespace rattanbay::daemon::internal
