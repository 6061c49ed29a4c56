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

/// A request with a key and what is needed to run it.
struct keyed_run {
    ledger::keyed_request request;
    caller::run_request parsed;
    /// Reason to refuse it unless its key is known already.
    std::optional<base::problem> refusal;
    std::string target;
    std::string body;
};

/// Drives the ledger of this incarnation and the successor on the control strand.
class ledger_keeper : public std::enable_shared_from_this<ledger_keeper> {
public:
    /// Told when the prefix handed out has changed.
    using prefix_handler = std::function<void(const ledger::key_prefix&)>;

    ledger_keeper(shared_state& shared, control_strand strand, platform_client& platform,
                  peer_transport& transport, prefix_handler on_prefix);

    void start();

    /// Replies to a request, by this incarnation's ledger, by the VM that the key names, or from its
    /// sealed record. Runs on the control strand.
    asio::awaitable<ledger::reply> reply_to(keyed_run run);

    /// Replies to a request that another VM passed on, if this process owns the key.
    asio::awaitable<ledger::reply> reply_as_owner(keyed_run run);

    bool owns(const ledger::key_prefix& prefix) const { return owner_.owns(prefix); }

    /// Finishes the commits and seals the record.
    asio::awaitable<void> stop();

private:
    struct waiter {
        std::optional<ledger::reply> reply;
        std::shared_ptr<asio::steady_timer> ready;
    };

    /// Account and text of a key.
    using input_id = std::pair<base::account_id, std::string>;

    /// Input of the first request with a key, kept while requests with the key wait.
    struct shared_input {
        keyed_run run;
        std::size_t waiting = 0;
    };

    input_id id_of(const ledger::keyed_request& request) const;
    asio::awaitable<base::result<peer::frame>> forward(keyed_run run, base::duration limit);
    asio::awaitable<ledger::reply> reply_as_other(keyed_run run);
    asio::awaitable<ledger::reply> wait_for(ledger::waiter_id id);
    asio::awaitable<void> run(ledger::run_id id, ledger::keyed_request request, keyed_run input);
    ledger::waiter_id add_waiter();
    template <class Event> void tell_owner(const Event& happened);
    template <class Event> void tell_successor(const Event& happened);
    void carry_out(const ledger::start_run& action);
    void carry_out(const ledger::send_reply& action);
    void carry_out(const ledger::stopped& action);
    template <class Tell> void make_call(const ledger::make_call& action, Tell tell);
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
    /// Inputs of waiting requests at this incarnation's ledger, by account and key.
    std::map<input_id, shared_input> inputs_;
    std::optional<ledger::key_prefix> published_;
    std::shared_ptr<asio::steady_timer> stopped_;
};

} // namespace rattanbay::daemon::internal
