#include "internal/member_table.hpp"

#include <rattanbay/membership/detector.hpp>

#include <algorithm>
#include <optional>

namespace rattanbay::membership {

namespace {

/// Probe in progress.
struct probe {
    base::incarnation target;
    base::address address;
    std::uint64_t nonce = 0;
    base::time_point started;
    bool indirect_sent = false;
    bool acked = false;
};

/// Probe made on behalf of another member, to which the ack is forwarded.
struct indirect_probe {
    std::uint64_t nonce = 0;
    std::uint64_t origin_nonce = 0;
    base::address origin;
    base::time_point expires;
};

} // namespace

class detector::state {
public:
    state(detector_options options, peer::member_record self, base::random_source random,
          base::time_point now)
        : options_(std::move(options))
        , self_(std::move(self))
        , random_(random)
        , table_(options_.tombstone_lifetime)
        , next_probe_(now)
        , next_rejoin_(now)
        , last_contact_(now) {}

    std::vector<action> handle(const event& ev, base::time_point now) {
        now_ = now;
        actions_.clear();
        std::visit([this](const auto& typed) { on(typed); }, ev);
        return std::move(actions_);
    }

    base::time_point next_wakeup() const {
        base::time_point next = std::min({next_probe_, next_rejoin_, next_push_});
        if (probe_ && !probe_->acked && !probe_->indirect_sent) {
            next = std::min(next, probe_->started + options_.probe_timeout);
        }
        return next;
    }

    std::vector<peer::member_record> members() const {
        std::vector<peer::member_record> out = table_.active_members();
        out.push_back(self_);
        return out;
    }

    const peer::member_record& self() const { return self_; }

    base::time_point last_contact() const { return last_contact_; }

private:
    void on(const datagram_received& received) {
        last_contact_ = now_;
        std::visit([this, &received](const auto& message) { on_message(message, received.from); },
                   received.message);
    }

    void on(const self_changed& changed) {
        const bool same_record =
            changed.self.draining == self_.draining && changed.self.revision == self_.revision &&
            changed.self.ledger == self_.ledger && changed.self.ledger_window == self_.ledger_window &&
            changed.self.ledger_recorded == self_.ledger_recorded;
        self_.load = changed.self.load;
        self_.vm_list_change = changed.self.vm_list_change;
        if (same_record) {
            return;
        }
        self_.draining = changed.self.draining;
        self_.revision = changed.self.revision;
        self_.ledger = changed.self.ledger;
        self_.ledger_window = changed.self.ledger_window;
        self_.ledger_recorded = changed.self.ledger_recorded;
        self_.sequence += 1;
        // A new document revision or key prefix is pushed at once: callers get the prefix from other daemons.
        push_updates(options_.push_fanout);
    }

    void on(const member_table_received& received) {
        for (const peer::member_record& member : received.members) {
            merge(member, true);
        }
    }

    void on(const timer_expired&) {
        expire_suspects();
        table_.remove_expired_tombstones(now_);
        if (probe_ && !probe_->acked && !probe_->indirect_sent &&
            now_ >= probe_->started + options_.probe_timeout) {
            send_indirect_probes();
        }
        if (now_ >= next_probe_) {
            finish_probe();
            start_probe();
            next_probe_ = now_ + options_.probe_interval;
        }
        if (now_ >= next_push_) {
            next_push_ = base::time_point::max();
            push_updates(options_.push_fanout);
            schedule_push();
        }
        if (now_ >= next_rejoin_) {
            probe_non_members();
            next_rejoin_ = now_ + options_.rejoin_interval;
        }
    }

    void on(const leave_requested&) {
        self_.status = peer::member_status::gone;
        self_.sequence += 1;
        push_updates(table_.active_members().size());
    }

    void on_message(const peer::ping& message, const base::address& from) {
        merge_updates(message.sender, message.updates);
        peer::ack reply{message.nonce, self_, {}};
        reply.updates = updates();
        const peer::member_record* const known = table_.find(message.sender.id);
        if (known != nullptr && known->status != peer::member_status::live) {
            // A sender that was paused or partitioned must learn that it is suspected to refute it.
            reply.updates.push_back(*known);
        }
        send(from, reply);
    }

    void on_message(const peer::ack& message, const base::address&) {
        merge_updates(message.sender, message.updates);
        if (probe_ && probe_->nonce == message.nonce) {
            // An ack from another incarnation at this address means that the probed one is gone.
            probe_->acked = probe_->target == message.sender.id;
        }
        const auto it =
            std::find_if(indirect_probes_.begin(), indirect_probes_.end(),
                         [&message](const indirect_probe& row) { return row.nonce == message.nonce; });
        if (it != indirect_probes_.end()) {
            send(it->origin, peer::ack{it->origin_nonce, message.sender, {}});
            indirect_probes_.erase(it);
        }
    }

    void on_message(const peer::indirect_ping& message, const base::address& from) {
        merge_updates(message.sender, message.updates);
        std::erase_if(indirect_probes_, [this](const indirect_probe& row) { return row.expires <= now_; });
        const std::uint64_t nonce = random_.bits();
        indirect_probes_.push_back(
            indirect_probe{nonce, message.nonce, from, now_ + options_.probe_interval});
        send(message.target, peer::ping{nonce, self_, {}});
    }

    // The messages about endpoints tell nothing about members.
    void on_message(const peer::crash_report&, const base::address&) {}

    void on_message(const peer::part_clearance&, const base::address&) {}

    void on_message(const peer::limit_report&, const base::address&) {}

    void on_message(const peer::evacuation_notice&, const base::address&) {}

    void on_message(const peer::vm_list_notice&, const base::address&) {}

    void on_message(const peer::part_notice&, const base::address&) {}

    void on_message(const peer::cold_report&, const base::address&) {}

    void on_message(const peer::speed_samples&, const base::address&) {}

    void on_message(const peer::speed_announcement&, const base::address&) {}

    void on_message(const peer::stream_notice&, const base::address&) {}

    void merge_updates(const peer::member_record& sender, const std::vector<peer::member_record>& updates) {
        if (sender.id != self_.id) {
            mark_predecessor_gone(sender);
            merge(sender);
            table_.set_load(sender.id, sender.load);
            if (sender.vm_list_change > self_.vm_list_change) {
                actions_.emplace_back(vm_list_change_seen{sender.vm_list_change});
            }
        }
        for (const peer::member_record& update : updates) {
            merge(update);
        }
    }

    /// Marks an earlier incarnation at the sender's address as gone.
    void mark_predecessor_gone(const peer::member_record& sender) {
        const peer::member_record* const earlier = table_.find_by_address(sender.peer_address);
        if (earlier != nullptr && earlier->id != sender.id && sender.status != peer::member_status::gone) {
            peer::member_record gone = *earlier;
            gone.status = peer::member_status::gone;
            merge(gone);
        }
    }

    void schedule_push() {
        if (next_push_ == base::time_point::max() && table_.has_urgent_updates()) {
            next_push_ = now_ + options_.push_interval;
        }
    }

    void merge(peer::member_record record, bool without_gossip = false) {
        // The value is only current in a member's own datagrams, and 0 takes the least space in others.
        record.vm_list_change = object_api::store_revision();
        if (record.id == self_.id) {
            refute(record);
            return;
        }
        const peer::member_record* const before = table_.find(record.id);
        const std::uint64_t known_revision = before == nullptr ? 0 : before->revision;
        if (!(without_gossip ? table_.merge_without_gossip(record, now_) : table_.merge(record, now_))) {
            return;
        }
        schedule_push();
        actions_.emplace_back(member_changed{record});
        const bool is_live = record.status == peer::member_status::live;
        if (is_live && record.revision > self_.revision && record.revision > known_revision) {
            actions_.emplace_back(revision_seen{record.revision, record.peer_address});
        }
    }

    /// Refutes a claim that this daemon is suspect or gone by raising its sequence number.
    void refute(const peer::member_record& claim) {
        const bool leaving = self_.status == peer::member_status::gone;
        if (!leaving && claim.status != peer::member_status::live && claim.sequence >= self_.sequence) {
            self_.sequence = claim.sequence + 1;
        }
    }

    void expire_suspects() {
        for (peer::member_record lost : table_.expired_suspects(options_.suspicion_timeout, now_)) {
            lost.status = peer::member_status::gone;
            merge(lost);
        }
    }

    void finish_probe() {
        if (!probe_ || probe_->acked) {
            return;
        }
        const peer::member_record* const target = table_.find(probe_->target);
        if (target != nullptr && target->status == peer::member_status::live) {
            peer::member_record suspect = *target;
            suspect.status = peer::member_status::suspect;
            merge(suspect);
        }
    }

    void start_probe() {
        probe_.reset();
        const std::optional<peer::member_record> target = next_target();
        if (!target) {
            return;
        }
        probe_ = probe{target->id, target->peer_address, random_.bits(), now_, false, false};
        send_ping(target->peer_address, probe_->nonce);
    }

    /// Returns the members in random order, each once per round, which bounds the time until a dead member is
    /// probed.
    std::optional<peer::member_record> next_target() {
        for (int pass = 0; pass < 2; ++pass) {
            while (!probe_order_.empty()) {
                const base::incarnation id = probe_order_.back();
                probe_order_.pop_back();
                const peer::member_record* const member = table_.find(id);
                if (member != nullptr && member->status != peer::member_status::gone) {
                    return *member;
                }
            }
            for (const peer::member_record& member : table_.active_members()) {
                probe_order_.push_back(member.id);
            }
            shuffle(probe_order_);
        }
        return std::nullopt;
    }

    template <class T> void shuffle(std::vector<T>& list) {
        for (std::size_t n = list.size(); n > 1; --n) {
            std::swap(list[n - 1], list[random_.below(n)]);
        }
    }

    std::vector<peer::member_record> random_members(std::size_t count) {
        std::vector<peer::member_record> list = table_.active_members();
        shuffle(list);
        list.resize(std::min(list.size(), count));
        return list;
    }

    void send_indirect_probes() {
        probe_->indirect_sent = true;
        for (const peer::member_record& helper : random_members(options_.indirect_probe_count + 1)) {
            if (helper.id != probe_->target && helper.status == peer::member_status::live) {
                send(helper.peer_address, peer::indirect_ping{probe_->nonce, probe_->address, self_, {}});
            }
        }
    }

    void push_updates(std::size_t count) {
        for (const peer::member_record& member : random_members(count)) {
            send_ping(member.peer_address, random_.bits());
        }
    }

    /// Probes one seed and the address of one gone member. A member unknown to this daemon may respond.
    void probe_non_members() {
        std::vector<base::address> gone = table_.gone_member_addresses();
        for (const std::vector<base::address>& list : {options_.seeds, gone}) {
            if (list.empty()) {
                continue;
            }
            const base::address& address = list[random_.below(list.size())];
            if (address != self_.peer_address && table_.find_by_address(address) == nullptr) {
                send_ping(address, random_.bits());
            }
        }
    }

    void send_ping(const base::address& to, std::uint64_t nonce) {
        peer::ping message{nonce, self_, {}};
        message.updates = updates();
        send(to, message);
    }

    /// Returns pending updates, filled up with random members, so that a member is eventually learned even if
    /// all its updates were lost.
    std::vector<peer::member_record> updates() {
        std::vector<peer::member_record> list = table_.take_updates(options_.max_updates_per_datagram);
        const std::size_t free_slots = options_.max_updates_per_datagram - list.size();
        for (const peer::member_record& member : table_.sample(free_slots, random_)) {
            list.push_back(member);
        }
        return list;
    }

    void send(const base::address& to, peer::datagram message) {
        actions_.emplace_back(send_datagram{to, std::move(message)});
    }

    detector_options options_;
    peer::member_record self_;
    base::random_source random_;
    internal::member_table table_;
    base::time_point next_probe_;
    base::time_point next_rejoin_;
    base::time_point next_push_ = base::time_point::max();
    base::time_point last_contact_;
    base::time_point now_;
    std::optional<probe> probe_;
    std::vector<indirect_probe> indirect_probes_;
    std::vector<base::incarnation> probe_order_;
    std::vector<action> actions_;
};

detector::detector(detector_options options, peer::member_record self, base::random_source random,
                   base::time_point now)
    : state_(std::make_unique<state>(std::move(options), std::move(self), random, now)) {}

detector::detector(detector&&) noexcept = default;
detector& detector::operator=(detector&&) noexcept = default;
detector::~detector() = default;

std::vector<action> detector::handle(const event& ev, base::time_point now) {
    return state_->handle(ev, now);
}

base::time_point detector::next_wakeup() const {
    return state_->next_wakeup();
}

std::vector<peer::member_record> detector::members() const {
    return state_->members();
}

const peer::member_record& detector::self() const {
    return state_->self();
}

base::time_point detector::last_contact() const {
    return state_->last_contact();
}

} // namespace rattanbay::membership
