#pragma once

#include "peer_transport.hpp"
#include "shared_state.hpp"

#include <cstddef>
#include <memory>

namespace rattanbay::daemon::internal {

/// Sends reports to all other daemons at a bounded rate. `send` may be called from any thread.
class peer_broadcaster : public std::enable_shared_from_this<peer_broadcaster> {
public:
    peer_broadcaster(shared_state& shared, std::shared_ptr<peer_transport> transport, control_strand strand);

    /// Sends a message to all members, and once more later because datagrams may be lost.
    void send(peer::datagram message);

private:
    asio::awaitable<void> send_twice(peer::datagram message);
    void send_to_members(const peer::datagram& message);
    bool try_take();

    shared_state& shared_;
    std::shared_ptr<peer_transport> transport_;
    control_strand strand_;
    base::time_point window_start_;
    std::size_t sent_in_window_ = 0;
};

} // namespace rattanbay::daemon::internal
