#include "internal/stream_origin_exchange.hpp"

#include "internal/clock.hpp"

#include <rattanbay/membership.hpp>
#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace rattanbay::daemon::internal {

namespace {

/// Number of daemons that are told of a stream, and that are asked for one. One more is asked, as a holder
/// may be gone, and as the daemon that began the stream counts its holders without itself.
constexpr std::size_t holder_count = 2;
constexpr std::size_t asked_count = 3;
/// Time for all answers; the client waits for them.
constexpr std::chrono::milliseconds inquiry_limit{150};
/// Bounds the time for which a stream is remembered; it is longer than any client waits.
constexpr std::chrono::minutes max_stream_time{10};
/// Streams of which the holders are told in one refresh after a service has become mixed. Bounds the time for
/// which the control strand is held, as the holders of each stream are chosen among all members.
constexpr std::size_t max_told_streams = 500;
/// Bytes of a datagram without its records, and of a record without its texts, at most.
constexpr std::size_t message_bytes = 32;
constexpr std::size_t record_bytes = 48;

base::service_name holder_role(const base::hash128& stream) {
    return base::service_name("stream " + stream.text());
}

std::size_t size_of(const relay::stream_record& record) {
    return record_bytes + record.origin.service.text().size() + record.origin.software_version.size();
}

} // namespace

stream_origin_exchange::stream_origin_exchange(shared_state& shared,
                                               std::shared_ptr<peer_transport> transport,
                                               control_strand strand)
    : shared_(shared)
    , transport_(std::move(transport))
    , strand_(strand) {}

void stream_origin_exchange::record(const base::request_id& stream, const relay::stream_origin& origin,
                                    base::time_point expires) {
    const base::time_point time = now();
    const base::hash128 key = relay::stream_origins::key_of(stream);
    shared_.relay->origins.record(key, origin, std::min(expires, time + max_stream_time), time);
    if (!shared_.relay->versions.is_mixed(origin.service, time)) {
        return;
    }
    const std::optional<relay::stream_record> recorded = shared_.relay->origins.find(key, time);
    if (recorded) {
        const std::shared_ptr<stream_origin_exchange> self = shared_from_this();
        asio::post(strand_, [self, record = *recorded]() { self->tell_holders({record}); });
    }
}

asio::awaitable<stream_lookup> stream_origin_exchange::find(base::request_id stream,
                                                            base::service_name service) {
    const std::shared_ptr<stream_origin_exchange> self = shared_from_this();
    const std::optional<relay::stream_origin> own = shared_.relay->origins.find(stream, now());
    if (own) {
        co_return stream_lookup{own, false};
    }
    co_return co_await asio::co_spawn(strand_, ask(std::move(stream), std::move(service)),
                                      asio::use_awaitable);
}

asio::awaitable<stream_lookup> stream_origin_exchange::ask(base::request_id stream,
                                                           base::service_name service) {
    const std::shared_ptr<stream_origin_exchange> self = shared_from_this();
    const base::time_point start = now();
    const base::hash128 key = relay::stream_origins::key_of(stream);
    const std::vector<peer::member_record> asked_members = members_to_ask(key);
    const std::shared_ptr<inquiry> asked = std::make_shared<inquiry>(strand_);
    asked->open = asked_members.size();
    asked->end.expires_after(inquiry_limit);
    for (const peer::member_record& member : asked_members) {
        asio::co_spawn(strand_,
                       ask_member(member.peer_address, peer::stream_origin_request{key, service}, asked),
                       asio::detached);
    }
    if (asked->open > 0) {
        boost::system::error_code ignored;
        co_await asked->end.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    // A notice may have come meanwhile.
    const std::optional<relay::stream_origin> known = shared_.relay->origins.find(stream, now());
    if (!asked_members.empty()) {
        const std::string source = asked->origin ? "peer" : (known ? "own" : "none");
        telemetry::log(telemetry::log_event::stream_origin_asked,
                       {{"request", stream.text()},
                        {"found", known || asked->origin ? "true" : "false"},
                        {"source", source},
                        {"asked", std::to_string(asked_members.size())},
                        {"took_ms", std::to_string(base::to_milliseconds(now() - start))}});
    }
    const bool is_answered = asked->was_answered || (asked_members.empty() && is_alone(start));
    co_return stream_lookup{known ? known : asked->origin, is_answered};
}

bool stream_origin_exchange::is_alone(base::time_point time) const {
    return others_seen_ == base::time_point::min() || time - others_seen_ > relay::version_retention;
}

asio::awaitable<void> stream_origin_exchange::ask_member(base::address member,
                                                         peer::stream_origin_request question,
                                                         std::shared_ptr<inquiry> asked) {
    const std::shared_ptr<stream_origin_exchange> self = shared_from_this();
    const base::result<peer::frame> answer =
        co_await transport_->exchange_pooled(member, question, inquiry_limit);
    const peer::stream_origin_reply* const reply =
        answer ? std::get_if<peer::stream_origin_reply>(&*answer) : nullptr;
    if (reply != nullptr) {
        asked->was_answered = true;
        for (const relay::version_record& row : reply->versions) {
            shared_.relay->versions.restore(row.service, row.software_version, now(), row.time_left);
        }
    }
    if (reply != nullptr && reply->record && reply->record->stream == question.stream) {
        take_over(*reply->record);
        asked->origin = asked->origin ? asked->origin : reply->record->origin;
    }
    --asked->open;
    if (asked->open == 0 || asked->origin) {
        asked->end.cancel();
    }
}

void stream_origin_exchange::take_over(const relay::stream_record& record) {
    const base::time_point time = now();
    const base::duration left = std::min<base::duration>(record.time_left, max_stream_time);
    shared_.relay->origins.record(record.stream, record.origin, time + left, time);
    // A stream that is alive shows that its version is active.
    shared_.relay->versions.restore(record.origin.service, record.origin.software_version, time, left);
}

void stream_origin_exchange::receive(const peer::stream_notice& message) {
    for (const relay::stream_record& record : message.records) {
        take_over(record);
    }
}

peer::stream_origin_reply stream_origin_exchange::answer(const peer::stream_origin_request& message) const {
    const base::time_point time = now();
    return {shared_.relay->origins.find(message.stream, time),
            shared_.relay->versions.records(message.service, time)};
}

void stream_origin_exchange::refresh() {
    const base::time_point time = now();
    others_seen_ = other_members().empty() ? others_seen_ : time;
    std::set<base::service_name> mixed;
    for (const std::pair<const base::service_name, std::set<std::string>>& row :
         shared_.relay->versions.snapshot(time)) {
        if (shared_.relay->versions.is_mixed(row.first, time)) {
            mixed.insert(row.first);
        }
    }
    for (const base::service_name& service : mixed) {
        if (!mixed_.contains(service)) {
            const std::vector<relay::stream_record> records = shared_.relay->origins.records(service, time);
            untold_.insert(untold_.end(), records.begin(), records.end());
        }
    }
    mixed_ = std::move(mixed);
    std::vector<relay::stream_record> told;
    while (!untold_.empty() && told.size() < max_told_streams) {
        // The time left is that of now.
        const std::optional<relay::stream_record> record =
            shared_.relay->origins.find(untold_.front().stream, time);
        if (record) {
            told.push_back(*record);
        }
        untold_.pop_front();
    }
    if (!told.empty()) {
        tell_holders(told);
    }
}

std::vector<peer::member_record> stream_origin_exchange::other_members() const {
    std::vector<peer::member_record> out = shared_.members.read()->members;
    std::erase_if(out, [this](const peer::member_record& member) { return member.id == shared_.id; });
    return out;
}

std::vector<peer::member_record> stream_origin_exchange::members_to_ask(const base::hash128& stream) const {
    const std::vector<peer::member_record> others = other_members();
    std::vector<peer::member_record> out =
        membership::select_schedulers(others, holder_role(stream), asked_count);
    // Daemons that stop or start know what they relayed, and are the only ones in a small deployment.
    for (const peer::member_record& member : others) {
        const bool is_chosen = std::ranges::find(out, member.id, &peer::member_record::id) != out.end();
        if (out.size() < asked_count && member.status == peer::member_status::live && !is_chosen) {
            out.push_back(member);
        }
    }
    return out;
}

void stream_origin_exchange::tell_holders(const std::vector<relay::stream_record>& records) {
    const std::vector<peer::member_record> others = other_members();
    std::map<base::address, std::vector<relay::stream_record>> messages;
    for (const relay::stream_record& record : records) {
        for (const peer::member_record& holder :
             membership::select_schedulers(others, holder_role(record.stream), holder_count)) {
            messages[holder.peer_address].push_back(record);
        }
    }
    for (const auto& [address, told] : messages) {
        send(address, told);
    }
}

void stream_origin_exchange::send(const base::address& to, const std::vector<relay::stream_record>& records) {
    peer::stream_notice message;
    std::size_t bytes = message_bytes;
    for (const relay::stream_record& record : records) {
        if (bytes + size_of(record) > peer::max_datagram_bytes && !message.records.empty()) {
            transport_->send(to, std::exchange(message, {}));
            bytes = message_bytes;
        }
        message.records.push_back(record);
        bytes += size_of(record);
    }
    if (!message.records.empty()) {
        transport_->send(to, message);
    }
}

} // namespace rattanbay::daemon::internal
