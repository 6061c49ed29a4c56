#pragma once

#include "fake_platform.hpp"
#include "oracle.hpp"

#include <rattanbay/base.hpp>
#include <rattanbay/ledger.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace rattanbay::ledger::test {

/// How the entry VMs prevent a request from running twice; see section 4.1 of the design page.
enum class execution_strategy {
    /// The strategy of this package: keys are recorded by group commit before they run.
    group_committed_record,
    /// Only the incarnation named in the key runs it, and nothing is stored in the platform.
    incarnation_only,
    /// Any VM runs a request, with one conditional write before the run and one after it.
    write_per_request,
};

/// State of the fake platform.
enum class platform_mode { up, down, losing_answers, stale_reads, slow };

/// Options of a simulated cluster.
struct simulation_options {
    std::uint64_t seed = 1;
    execution_strategy strategy = execution_strategy::group_committed_record;
    owner_options owner;
    /// Replaces all random delays by a fixed one and disables random faults, which keeps traces readable.
    bool fixed_delays = false;
    /// If set, receives one line per event and action.
    std::ostream* trace = nullptr;
};

/// Index of a booking sent by a caller.
using booking_id = std::size_t;

/// Simulates three entry VMs with their owners and successors, the platform, an endpoint that counts its
/// runs, callers, and the network between them. Replaces the driver described in section 2.2 of the design
/// page.
class simulated_cluster {
public:
    static constexpr std::size_t vm_count = 3;

    explicit simulated_cluster(simulation_options options);

    /// Advances the simulated time and processes all events that are due.
    void run_for(base::duration time);

    /// Sends a booking with a new key issued by `key_vm` to `vm`. If `refused`, the request exceeds a limit.
    booking_id send_booking(std::size_t key_vm, std::size_t vm, base::duration deadline,
                            bool refused = false);

    /// Resends the key of an earlier booking, optionally with another body or account.
    booking_id resend(booking_id earlier, std::size_t vm, base::duration deadline, bool other_body = false,
                      bool other_account = false);

    /// Sends a booking with the prefix of `key_vm` that callers have cached, regardless of its age.
    booking_id send_booking_with_cached_prefix(std::size_t key_vm, std::size_t vm, base::duration deadline);

    void kill(std::size_t vm);
    /// Starts a new process at the address of a VM that is down.
    void replace(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void drain(std::size_t vm);
    void set_platform(platform_mode mode);
    void set_network_faulty(bool faulty);
    void set_endpoint_faulty(bool faulty);

    /// Omits lines from the trace while suppressed, and writes their number when suppression ends.
    void set_trace_suppressed(bool suppressed);

    /// Adds a comment line to the trace.
    void add_trace_comment(const std::string& text);

    /// Ends all faults and restarts the VMs that are down.
    void heal();

    const test::oracle& oracle() const { return oracle_; }

    test::oracle& oracle() { return oracle_; }

    const fake_platform& platform() const { return platform_; }

    std::size_t bookings() const { return bookings_.size(); }

    /// The last reply to a booking, if any.
    const std::optional<ledger::reply>& reply_to(booking_id booking) const {
        return bookings_[booking].reply;
    }

    /// Number of requests at live VMs that have not been replied to.
    std::size_t waiting() const;

    /// Number of bookings without faults that were required to get a response and got one.
    std::size_t expected_answers() const { return expected_answers_; }

private:
    struct sent_booking {
        booking_request booking;
        std::optional<ledger::reply> reply;
        /// Set if a response is required as long as no further fault occurs.
        std::optional<std::uint64_t> fault_count_when_sent;
        /// Whether this is the retry of a refused booking.
        bool retried = false;
        std::size_t key_vm = 0;
        std::size_t vm = 0;
        base::duration deadline{};
    };

    /// Where a VM sends a reply: to the caller of a booking, or back to the VM that forwarded it.
    struct reply_target {
        std::optional<booking_id> booking;
        std::size_t vm = 0;
        std::uint64_t epoch = 0;
        std::uint64_t forward = 0;
    };

    struct forwarded {
        keyed_request request;
        std::size_t target = 0;
    };

    struct vm {
        base::address address;
        /// The monotonic clocks of different VMs are unrelated.
        base::duration clock_offset{};
        std::uint64_t epoch = 0;
        bool up = false;
        bool paused = false;
        std::optional<ledger::owner> owner;
        std::optional<ledger::successor> successor;
        std::map<waiter_id, reply_target> waiting;
        std::map<std::uint64_t, forwarded> forwards;
        std::set<run_id> runs;
        /// Completion handlers of runs with `execution_strategy::write_per_request`.
        std::map<run_id, std::function<void(const ledger::reply&)>> run_ends;
        run_id next_run = 1;
        waiter_id next_waiter = 1;
        std::uint64_t next_forward = 1;
        std::deque<std::function<void()>> held_inputs;
        std::deque<std::function<void()>> held_outputs;
        base::time_point owner_timer = base::time_point::max();
        base::time_point successor_timer = base::time_point::max();
        /// Text of the prefix that callers have cached.
        std::string cached_prefix;
    };

    struct scheduled {
        base::time_point at;
        std::uint64_t sequence_number = 0;
        std::function<void()> callback;

        friend bool operator<(const scheduled& a, const scheduled& b) {
            return std::pair(a.at, a.sequence_number) > std::pair(b.at, b.sequence_number);
        }
    };

    void at(base::time_point when, std::function<void()> callback);

    void after(base::duration delay, std::function<void()> callback) {
        at(now_ + delay, std::move(callback));
    }

    base::duration random_duration(base::duration min, base::duration max);

    bool chance(double probability) { return !options_.fixed_delays && random_.unit() < probability; }

    base::duration network_delay();
    /// Delivers a message over the network, which may lose, duplicate and reorder messages.
    void transmit(const std::function<void()>& callback);
    /// Runs a callback in the process of a VM: on resume if it is paused, never if it has terminated.
    void run_in_process(std::size_t n, std::uint64_t epoch, std::function<void()> callback);
    /// Performs an output of the process of a VM, which may be lost if the process is killed.
    void send_from_process(std::size_t n, std::function<void()> callback);

    base::time_point local_time(const vm& v) const { return now_ + v.clock_offset; }

    booking_id send(booking_request booking, std::size_t key_vm, std::size_t n, base::duration deadline,
                    bool refused);
    void receive(std::size_t n, booking_id id, base::duration deadline, bool refused);
    void forward(std::size_t n, const keyed_request& request);
    void deliver_forward(std::size_t n, std::uint64_t epoch, std::uint64_t id, std::size_t target,
                         const keyed_request& sent, base::duration time_left);
    void handle_forward_failure(std::size_t n, std::uint64_t id);
    void handle_forward_reply(std::size_t n, std::uint64_t id, const ledger::reply& reply);
    void reply_to_waiter(std::size_t n, waiter_id waiter, const ledger::reply& reply);
    void deliver_reply(booking_id id, const ledger::reply& reply);
    void check_reply(booking_id id, const ledger::reply& reply);

    void notify_owner(std::size_t n, const owner_event& event);
    void notify_successor(std::size_t n, const successor_event& event);
    void execute(std::size_t n, const start_run& action);
    void execute(std::size_t n, const send_reply& action);
    void execute(std::size_t n, const stopped& action);
    void finish_run(std::size_t n, std::uint64_t epoch, run_id run, const ledger::reply& reply);
    void execute_call(std::size_t n, const make_call& action, bool from_owner);
    void send_platform_call(std::size_t n, const object_api::call& request,
                            const std::function<void(const object_api::answer&)>& on_answer);
    void process_platform_call(const object_api::call& request,
                               const std::function<void(const object_api::answer&)>& complete);
    void arm_timers(std::size_t n);

    void write_before_run(std::size_t n, const keyed_request& request);
    void resolve_write(std::size_t n, const keyed_request& request, const object_api::object_key& object,
                       const std::string& nonce);
    void run_after_write(std::size_t n, const keyed_request& request, const object_api::object_key& object,
                         std::uint64_t version);

    void start(std::size_t n);

    void record_fault() {
        last_fault_time_ = now_;
        ++fault_count_;
    }

    bool is_fault_free() const;
    void trace(std::size_t n, const std::string& text);
    void trace_line(const std::string& text);
    std::string replace_random_ids(std::string text);

    simulation_options options_;
    base::random_source random_;
    base::time_point now_{};
    std::uint64_t next_sequence_number_ = 0;
    std::priority_queue<scheduled> queue_;
    std::array<vm, vm_count> vms_;
    fake_platform platform_;
    platform_mode mode_ = platform_mode::up;
    bool network_faulty_ = false;
    bool endpoint_faulty_ = false;
    test::oracle oracle_;
    std::vector<sent_booking> bookings_;
    base::time_point last_fault_time_{};
    std::uint64_t fault_count_ = 0;
    std::size_t expected_answers_ = 0;
    std::map<std::string, std::string> id_names_;
    bool trace_suppressed_ = false;
    std::size_t suppressed_lines_ = 0;
};

} // namespace rattanbay::ledger::test
