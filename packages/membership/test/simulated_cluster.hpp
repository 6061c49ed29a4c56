#pragma once

#include <rattanbay/membership.hpp>
#include <rattanbay/peer.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

/// Detectors of several daemons on a simulated network with delay, loss and partitions, in virtual time.
class simulated_cluster {
public:
    /// Starts `size` daemons; the first two are the seeds of all.
    simulated_cluster(std::size_t size, std::uint64_t seed)
        : random_(seed) {
        for (std::size_t n = 0; n < size; ++n) {
            nodes_.push_back(node{});
            start(n);
        }
    }

    /// Starts daemon `n` as a new incarnation at its address.
    void start(std::size_t n) {
        rattanbay::membership::detector_options options;
        options.seeds = {address_of(0), address_of(1)};
        rattanbay::peer::member_record self;
        self.id = rattanbay::base::incarnation::generate(random_);
        self.vm = rattanbay::base::vm_id("entry-" + std::to_string(n));
        self.failure_domain = rattanbay::base::failure_domain(n % 2 == 0 ? "a" : "b");
        self.peer_address = address_of(n);
        self.revision = 1;
        nodes_[n].detector.emplace(options, self, rattanbay::base::random_source(random_.bits()), now_);
        nodes_[n].running = true;
    }

    void stop(std::size_t n) { nodes_[n].running = false; }

    void resume(std::size_t n) { nodes_[n].running = true; }

    /// Whether a daemon can send datagrams to another; all can if this is empty.
    std::function<bool(std::size_t, std::size_t)> connected;

    /// Fraction of datagrams that are lost.
    double loss_rate = 0;

    rattanbay::membership::detector& detector(std::size_t n) { return *nodes_[n].detector; }

    /// Sets the document revision of daemon `n`.
    void set_revision(std::size_t n, std::uint64_t revision) {
        rattanbay::peer::member_record self = detector(n).self();
        self.revision = revision;
        perform(n, detector(n).handle(rattanbay::membership::self_changed{self}, now_));
    }

    /// Sets the version of the newest change in the VM list of daemon `n`.
    void set_vm_list_change(std::size_t n, const rattanbay::object_api::store_revision& version) {
        rattanbay::peer::member_record self = detector(n).self();
        self.vm_list_change = version;
        perform(n, detector(n).handle(rattanbay::membership::self_changed{self}, now_));
    }

    /// Passes the member table of daemon `from` to daemon `n`, like a state reply at startup.
    void copy_table(std::size_t from, std::size_t n) {
        const rattanbay::membership::member_table_received received{detector(from).members()};
        perform(n, detector(n).handle(received, now_));
    }

    void leave(std::size_t n) {
        perform(n, detector(n).handle(rattanbay::membership::leave_requested{}, now_));
        stop(n);
    }

    /// Advances the virtual time in steps of 10 ms.
    void run(rattanbay::base::duration length) {
        constexpr std::chrono::milliseconds step{10};
        for (const rattanbay::base::time_point end = now_ + length; now_ < end; now_ += step) {
            deliver();
            for (std::size_t n = 0; n < nodes_.size(); ++n) {
                if (nodes_[n].running && detector(n).next_wakeup() <= now_) {
                    perform(n, detector(n).handle(rattanbay::membership::timer_expired{}, now_));
                }
            }
        }
    }

    /// Whether daemon `viewer` considers the current incarnation of daemon `subject` live.
    bool sees(std::size_t viewer, std::size_t subject) {
        for (const rattanbay::peer::member_record& member : detector(viewer).members()) {
            if (member.id == detector(subject).self().id) {
                return member.status == rattanbay::peer::member_status::live;
            }
        }
        return false;
    }

    /// Number of ordered pairs of running daemons in which the first does not consider the second live.
    std::size_t unseen_pairs() {
        std::size_t missing = 0;
        for (std::size_t one = 0; one < nodes_.size(); ++one) {
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                const bool both = nodes_[one].running && nodes_[other].running;
                missing += both && !sees(one, other) ? 1 : 0;
            }
        }
        return missing;
    }

    std::size_t size() const { return nodes_.size(); }

    std::size_t datagrams() const { return datagrams_; }

    std::size_t bytes() const { return bytes_; }

    rattanbay::base::time_point now() const { return now_; }

private:
    struct node {
        std::optional<rattanbay::membership::detector> detector;
        bool running = false;
    };

    struct datagram_in_flight {
        rattanbay::base::time_point due;
        std::size_t from = 0;
        std::size_t to = 0;
        rattanbay::peer::datagram message;
    };

    static rattanbay::base::address address_of(std::size_t n) {
        return {{127, 1, static_cast<std::uint8_t>(n / 250), static_cast<std::uint8_t>(n % 250 + 1)}, 7000};
    }

    static std::size_t node_at(const rattanbay::base::address& address) {
        return static_cast<std::size_t>(address.ip[2]) * 250 + address.ip[3] - 1U;
    }

    void perform(std::size_t n, const std::vector<rattanbay::membership::action>& actions) {
        for (const rattanbay::membership::action& next : actions) {
            if (const auto* send = std::get_if<rattanbay::membership::send_datagram>(&next)) {
                send_datagram_from(n, *send);
            } else if (const auto* seen = std::get_if<rattanbay::membership::revision_seen>(&next)) {
                // The document is fetched immediately.
                set_revision(n, std::max(seen->revision, detector(n).self().revision));
            } else if (const auto* change = std::get_if<rattanbay::membership::vm_list_change_seen>(&next)) {
                // The list is read immediately.
                set_vm_list_change(n, std::max(change->version, detector(n).self().vm_list_change));
            }
        }
    }

    void send_datagram_from(std::size_t from, const rattanbay::membership::send_datagram& send) {
        constexpr std::uint64_t max_delay_ms = 8;
        datagrams_ += 1;
        bytes_ += rattanbay::peer::encode(send.message, "0123456789abcdef").size();
        const std::size_t to = node_at(send.to);
        if (to >= nodes_.size() || random_.unit() < loss_rate || (connected && !connected(from, to))) {
            return;
        }
        const std::chrono::milliseconds delay(1 + random_.below(max_delay_ms));
        in_flight_.push_back(datagram_in_flight{now_ + delay, from, to, send.message});
    }

    void deliver() {
        std::vector<datagram_in_flight> due;
        std::vector<datagram_in_flight> later;
        for (datagram_in_flight& next : in_flight_) {
            (next.due <= now_ ? due : later).push_back(std::move(next));
        }
        in_flight_ = std::move(later);
        for (const datagram_in_flight& next : due) {
            if (nodes_[next.to].running) {
                const rattanbay::membership::datagram_received received{address_of(next.from), next.message};
                perform(next.to, detector(next.to).handle(received, now_));
            }
        }
    }

    rattanbay::base::random_source random_;
    rattanbay::base::time_point now_{std::chrono::seconds(1)};
    std::vector<node> nodes_;
    std::vector<datagram_in_flight> in_flight_;
    std::size_t datagrams_ = 0;
    std::size_t bytes_ = 0;
};
