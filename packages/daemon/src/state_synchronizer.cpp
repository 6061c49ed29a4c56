#include "internal/state_synchronizer.hpp"

#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"

#include <rattanbay/membership.hpp>
#include <rattanbay/peer/codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds min_seed_retry_interval{500};
constexpr std::chrono::seconds max_seed_retry_interval{10};
constexpr std::chrono::seconds peer_timeout{2};
constexpr std::chrono::milliseconds role_check_interval{250};

} // namespace

state_synchronizer::state_synchronizer(shared_state& shared, control_strand strand, platform_client& platform,
                                       peer_transport& transport,
                                       std::shared_ptr<peer_broadcaster> broadcaster,
                                       members_handler on_members, revision_handler on_revision)
    : shared_(shared)
    , strand_(strand)
    , transport_(transport)
    , on_members_(std::move(on_members))
    , platform_(platform, strand, shared.next_seed(), [this]() { vms_->platform_recovered(); })
    , role_(shared, now())
    , vms_(std::make_shared<vm_list_synchronizer>(
          shared, strand, platform_, role_,
          [this](object_api::vm_list_update update) { send_vm_list_update(std::move(update)); }))
    , documents_(std::make_shared<document_synchronizer>(shared, strand, platform_, role_,
                                                         document_handlers(std::move(on_revision))))
    , registry_(std::make_shared<daemon_registry>(shared, strand, platform_,
                                                  [this](base::address other) -> asio::awaitable<void> {
                                                      co_await fetch_state_from(other, peer_timeout);
                                                  })) {
    if (shared.relay) {
        versions_ = std::make_shared<version_record>(
            shared, strand, platform_,
            version_record::handlers{
                [&relay = *shared.relay]() { return relay.versions_of_streams(now()); },
                [&relay = *shared.relay](const base::service_name& service, const std::string& version) {
                    relay.versions.restore(service, version, now());
                }});
        listed_versions_ = std::make_shared<listed_version_reader>(shared, strand, platform_);
    }
    if (shared.relay && shared.relay->settings.evacuation_bound) {
        evacuations_ = std::make_shared<evacuation_synchronizer>(
            shared, strand, platform_, role_, *shared.relay->settings.evacuation_bound,
            [broadcaster = std::move(broadcaster)](const object_api::evacuation_state& state) {
                broadcaster->send(peer::evacuation_notice{state});
            });
    }
}

document_synchronizer::handlers state_synchronizer::document_handlers(revision_handler on_revision) {
    document_synchronizer::handlers out;
    out.on_adopted = [this, on_revision = std::move(on_revision)](std::uint64_t revision) {
        if (!shared_.relay) {
            vms_->publish_endpoints();
        }
        on_revision(revision);
    };
    out.on_store_version = [this](const object_api::store_revision& version) {
        return vms_->read_missed(version);
    };
    out.fetch_state = [this](base::address peer_address, base::duration timeout) {
        return fetch_state_from(peer_address, timeout, true);
    };
    return out;
}

void state_synchronizer::start() {
    const std::shared_ptr<state_synchronizer> self = shared_from_this();
    if (shared_.relay) {
        shared_.relay->read_listed_versions = [weak = weak_from_this()]() -> asio::awaitable<bool> {
            const std::shared_ptr<state_synchronizer> owner = weak.lock();
            if (!owner) {
                co_return false;
            }
            co_return co_await owner->listed_versions_->read();
        };
    }
    documents_->start();
    vms_->start();
    role_.on_reading([this]() {
        vms_->begin_reading();
        documents_->begin_reading();
        if (evacuations_) {
            evacuations_->begin_reading();
        }
    });
    if (evacuations_) {
        evacuations_->start();
    }
    asio::co_spawn(
        strand_,
        [self]() {
            return run_guarded(self->strand_, "watch_role", [self]() { return self->watch_role(); });
        },
        asio::detached);
    asio::co_spawn(
        strand_,
        [self]() {
            return run_guarded(self->strand_, "fetch_from_seeds",
                               [self]() { return self->fetch_from_seeds(); });
        },
        asio::detached);
    if (shared_.relay) {
        registry_->start();
        versions_->start();
    }
}

void state_synchronizer::send_vm_list_update(object_api::vm_list_update update) {
    const std::vector<base::address> neighbours =
        membership::domain_neighbours(shared_.members.read()->members, shared_.id);
    peer::datagram message = peer::vm_list_notice{std::move(update)};
    if (peer::encode(message, shared_.settings.cluster_secret).size() > peer::max_datagram_bytes) {
        // The others read the list instead.
        object_api::vm_changes& changes = std::get<peer::vm_list_notice>(message).update.changes;
        changes.changed.clear();
        changes.removed.clear();
    }
    transport_.send(neighbours, message);
}

void state_synchronizer::apply_evacuations(const object_api::evacuation_state& state) {
    if (evacuations_) {
        evacuations_->apply_peer_state(state);
    }
}

asio::awaitable<void> state_synchronizer::watch_role() {
    const std::shared_ptr<state_synchronizer> self = shared_from_this();
    while (true) {
        co_await platform_.sleep_for(role_check_interval);
        role_.refresh(now());
    }
}

void state_synchronizer::catch_up_document(std::uint64_t revision, const base::address& peer_address) {
    documents_->catch_up(revision, peer_address);
}

void state_synchronizer::catch_up_vms(const object_api::store_revision& change_version) {
    vms_->catch_up(change_version);
}

asio::awaitable<peer::frame> state_synchronizer::build_state_reply(peer::state_request request,
                                                                   std::vector<peer::member_record> members) {
    peer::state_reply reply;
    if (documents_->revision() > request.revision && request.accepts_compression) {
        reply.compressed_document = co_await documents_->compressed();
    } else if (documents_->revision() > request.revision) {
        reply.document = documents_->serialized();
    }
    if (request.document_only) {
        co_return peer::frame(std::move(reply));
    }
    reply.vms = *shared_.vms.read();
    reply.members = std::move(members);
    if (evacuations_) {
        reply.evacuations = evacuations_->state();
    }
    if (shared_.relay) {
        reply.quarantined_parts = shared_.relay->quarantine.quarantined_parts(now());
        reply.part_records = shared_.relay->quarantine.records(now());
        reply.versions = shared_.relay->versions.records(now());
    }
    co_return peer::frame(std::move(reply));
}

asio::awaitable<bool> state_synchronizer::verify() {
    if (co_await documents_->read()) {
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

asio::awaitable<void> state_synchronizer::fetch_from_seeds() {
    base::duration retry_interval = min_seed_retry_interval;
    bool answered = false;
    while (!answered || !documents_->has_document()) {
        for (const base::address& seed : shared_.settings.seed_peers) {
            const bool is_other = seed != shared_.settings.peer_address;
            answered = (is_other && co_await fetch_state_from(seed, peer_timeout)) || answered;
        }
        if (shared_.settings.seed_peers.empty()) {
            co_return;
        }
        co_await platform_.sleep_about(retry_interval);
        retry_interval = std::min<base::duration>(retry_interval * 2, max_seed_retry_interval);
    }
}

asio::awaitable<bool> state_synchronizer::fetch_state_from(base::address peer_address, base::duration timeout,
                                                           bool document_only) {
    const base::time_point start = now();
    const peer::frame request = peer::state_request{documents_->revision(), true, document_only};
    base::result<peer::frame> answer = co_await transport_.exchange(peer_address, request, timeout);
    peer::state_reply* const reply = answer ? std::get_if<peer::state_reply>(&*answer) : nullptr;
    telemetry::log(
        telemetry::log_event::peer_state_fetched,
        {{"peer_address", peer_address.text()},
         {"revision", std::to_string(documents_->revision())},
         {"wanted_revision", std::to_string(documents_->wanted_revision())},
         {"document_bytes",
          std::to_string(reply == nullptr ? 0 : reply->document.size() + reply->compressed_document.size())},
         {"took_ms", std::to_string(base::to_milliseconds(now() - start))},
         {"detail", answer ? "" : answer.error().message}});
    if (reply == nullptr) {
        co_return false;
    }
    vms_->apply_peer_list(reply->vms);
    on_members_(reply->members);
    apply_evacuations(reply->evacuations);
    if (shared_.relay && !reply->part_records.empty()) {
        shared_.relay->quarantine.merge(reply->part_records, now());
    } else if (shared_.relay) {
        // A daemon of an earlier version tells the parts only.
        for (const relay::part_key part : reply->quarantined_parts) {
            shared_.relay->quarantine.quarantine(part, now());
        }
    }
    if (shared_.relay) {
        for (const relay::version_record& row : reply->versions) {
            shared_.relay->versions.restore(row.service, row.software_version, now(), row.time_left);
        }
    }
    if (!reply->document.empty()) {
        co_await documents_->offer(std::move(reply->document), "peer");
    } else if (!reply->compressed_document.empty()) {
        co_await documents_->offer_compressed(std::move(reply->compressed_document));
    }
    co_return true;
}

} // namespace rattanbay::daemon::internal
