#pragma once

#include "peer_transport.hpp"
#include "shared_state.hpp"

#include <rattanbay/relay.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace rattanbay::daemon::internal {

/// What is known of a stream that a client takes up again.
struct stream_lookup {
    std::optional<relay::stream_origin> origin;
    /// Whether another daemon was asked and answered, or none was known for a while. Without an answer,
    /// others may know the stream, or versions of the service that this daemon does not know.
    bool was_answered = false;
};

/// Shares with other daemons where streams began. While more than one version of a service is active, two
/// daemons that follow from the stream's identifier are told of each stream, so that any daemon can ask them
/// after the daemon that began the stream is gone. `receive`, `answer` and `refresh` run on the control
/// strand; `record` and `find` may be called from any thread.
class stream_origin_exchange : public std::enable_shared_from_this<stream_origin_exchange> {
public:
    stream_origin_exchange(shared_state& shared, std::shared_ptr<peer_transport> transport,
                           control_strand strand);

    /// Records where a stream began whose client waits until `expires`.
    void record(const base::request_id& stream, const relay::stream_origin& origin, base::time_point expires);

    /// Finds where a stream began; asks other daemons if this one does not know it. Resumes on the executor
    /// of the caller.
    asio::awaitable<stream_lookup> find(base::request_id stream, base::service_name service);

    /// Handles a message of another daemon.
    void receive(const peer::stream_notice& message);

    /// Builds the reply to another daemon.
    peer::stream_origin_reply answer(const peer::stream_origin_request& message) const;

    /// Tells other daemons of the streams of services that have become mixed. To be called every 0.25 s.
    void refresh();

private:
    /// A question to several daemons; used on the control strand.
    struct inquiry {
        explicit inquiry(const control_strand& strand)
            : end(strand) {}

        /// Cancelled when the question is answered.
        asio::steady_timer end;
        std::size_t open = 0;
        bool was_answered = false;
        std::optional<relay::stream_origin> origin;
    };

    asio::awaitable<stream_lookup> ask(base::request_id stream, base::service_name service);
    asio::awaitable<void> ask_member(base::address member, peer::stream_origin_request question,
                                     std::shared_ptr<inquiry> asked);
    void take_over(const relay::stream_record& record);
    /// Whether there was no other daemon for longer than a version is remembered. A daemon that is cut off
    /// from all others soon has no other members, though they go on.
    bool is_alone(base::time_point time) const;
    /// Members without this daemon.
    std::vector<peer::member_record> other_members() const;
    std::vector<peer::member_record> members_to_ask(const base::hash128& stream) const;
    void tell_holders(const std::vector<relay::stream_record>& records);
    /// Splits the records into datagrams.
    void send(const base::address& to, const std::vector<relay::stream_record>& records);

    shared_state& shared_;
    std::shared_ptr<peer_transport> transport_;
    control_strand strand_;
    /// Services that were mixed at the last refresh.
    std::set<base::service_name> mixed_;
    /// Time at which another daemon was last a member; the minimum if none was.
    base::time_point others_seen_ = base::time_point::min();
    /// Streams of which the holders have yet to be told.
    std::deque<relay::stream_record> untold_;
};

} // namespace rattanbay::daemon::internal
