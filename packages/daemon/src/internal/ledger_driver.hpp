#pragma once

#include "peer_transport.hpp"
#include "run_driver.hpp"
#include "shared_state.hpp"
#include "wakeup_timer.hpp"

#include <rattanbay/caller/run_request.hpp>
#include <rattanbay/daemon/platform_client.hpp>
#include <rattanbay/ledger.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace rattanbay::daemon::internal {

/// A request with a key and the data needed to run or forward it.
struct keyed_run {
    ledger::keyed_request request;
    caller::run_request run_request;
    /// Problem with which the request is refused unless its key is already known.
    std::optional<base::problem> refusal;
    std::string target;
    std::string body;
};

/// Carries out the actions of the `ledger::owner` of this incarnation and of the `ledger::successor`. Runs on
/// the control strand.
class ledger_driver : public std::enable_shared_from_this<ledger_driver> {
public:
    /// Called when the issued key prefix has changed.
    using prefix_handler = std::function<void(const ledger::key_prefix&)>;

    ledger_driver(shared_state& shared, control_strand strand, platform_client& platform,
                  peer_transport& transport, prefix_handler on_prefix);

    void start();

    /// Returns the reply to a request: from this incarnation's ledger, from the VM that the key names, or
    /// from that VM's sealed record. Must run on the control strand.
    asio::awaitable<ledger::reply> reply_to(keyed_run run);

    /// Returns the reply to a request whose key belongs to this process, for example one forwarded by another
    /// VM.
    asio::awaitable<ledger::reply> reply_as_owner(keyed_run run);

    bool owns(const ledger::key_prefix& prefix) const { return owner_.owns(prefix); }

    /// Finishes pending commits and seals the record.
    asio::awaitable<void> stop();

private:
    struct waiter {
        std::optional<ledger::reply> reply;
        std::shared_ptr<asio::steady_timer> ready;
    };

    /// Account of a request and text of its key.
    using input_id = std::pair<base::account_id, std::string>;

    /// Input of the first request with a key, kept while requests with this key are waiting.
    struct shared_input {
        keyed_run run;
        std::size_t waiter_count = 0;
    };

    input_id input_id_of(const ledger::keyed_request& request) const;
    asio::awaitable<base::result<peer::frame>> forward(keyed_run run, base::duration timeout);
    asio::awaitable<ledger::reply> reply_as_non_owner(keyed_run run);
    asio::awaitable<ledger::reply> wait_for(ledger::waiter_id id);
    asio::awaitable<void> run(ledger::run_id id, ledger::keyed_request request, keyed_run input);
    ledger::waiter_id add_waiter();
    template <class Event> void notify_owner(const Event& event);
    template <class Event> void notify_successor(const Event& event);
    void carry_out(const ledger::start_run& action);
    void carry_out(const ledger::send_reply& action);
    void carry_out(const ledger::stopped& action);
    template <class Notify> void make_call(const ledger::make_call& action, Notify notify);
    void publish_prefix();

    shared_state& shared_;
    control_strand strand_;
    platform_client& platform_;
    peer_transport& transport_;
    prefix_handler on_prefix_;
    ledger::owner owner_;
    ledger::successor successor_;
    wakeup_timer owner_timer_;
    wakeup_timer successor_timer_;
    ledger::waiter_id next_waiter_ = 1;
    std::map<ledger::waiter_id, waiter> waiters_;
    /// Inputs of the requests that wait for this incarnation's ledger.
    std::map<input_id, shared_input> inputs_;
    std::optional<ledger::key_prefix> published_prefix_;
    std::shared_ptr<asio::steady_timer> stopped_timer_;
};

} // namespace rattanbay::daemon::internal
