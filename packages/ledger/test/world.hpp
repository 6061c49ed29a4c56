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

/// How the entry VMs of a world guard against double runs; see section 4.1 of the design page.
enum class approach {
    /// The chosen design.
    group_committed_record,
    /// The key names its incarnation and nothing is kept in the platform.
    incarnation_only,
    /// One conditional write per request before its run and one after it; any VM runs it.
    write_per_request,
};

/// Condition of the fake platform.
enum class platform_mode { up, down, losing_answers, old_copies, slow };

/// Options of a world.
struct world_options {
    std::uint64_t seed = 1;
    approach way = approach::group_committed_record;
    owner_options owner;
    /// Every hop takes `hop` and nothing is drawn at random, for readable sessions.
    bool fixed_delays = false;
    /// Receives a line for each event and action, if set.
    std::ostream* trace = nullptr;
};

/// Number of a booking that a caller sent.
using booking_id = std::size_t;

/// Three entry VMs with owners and successors, the platform, an order desk that counts its runs,
/// callers, and the network between them, in simulated time. It stands in for the driver of
/// section 2.2 of the design page.
class world {
public:
    static constexpr std::size_t vm_count = 3;

    explicit world(world_options options);

    /// Lets time pass.
    void run_for(base::duration time);

    /// Sends a booking with a fresh key of `key_vm` to `vm`. `refused` stands for a limit.
    booking_id book(std::size_t key_vm, std::size_t vm, base::duration deadline, bool refused = false);

    /// Sends the key of an earlier booking again, optionally with another body or account.
    booking_id resend(booking_id earlier, std::size_t vm, base::duration deadline, bool other_body = false,
                      bool other_account = false);

    /// Sends a booking with the latest prefix that callers keep for `key_vm`, however old.
    booking_id book_with_kept_prefix(std::size_t key_vm, std::size_t vm, base::duration deadline);

    void kill(std::size_t vm);
    /// Starts a new process at the address of a VM that is down.
    void replace(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void drain(std::size_t vm);
    void set_platform(platform_mode mode);
    void set_network_faulty(bool faulty);
    void set_endpoint_faulty(bool faulty);

    /// Leaves lines out of the trace while `silent`, and then says how many.
    void silence(bool silent);

    /// Adds a remark to the trace.
    void remark(const std::string& text);

    /// Ends all faults and starts the VMs that are down.
    void heal();

    const test::oracle& oracle() const { return oracle_; }

    test::oracle& oracle() { return oracle_; }

    const fake_platform& platform() const { return platform_; }

    std::size_t bookings() const { return bookings_.size(); }

    /// The last reply to a booking's request, if any.
    const std::optional<ledger::reply>& reply_to(booking_id booking) const {
        return bookings_[booking].reply;
    }

    /// Requests that live VMs hold without having replied.
    std::size_t waiting() const;

    /// Healthy bookings that had to be answered and were checked for it.
    std::size_t expected_answers() const { return expected_answers_; }

private:
    struct sent_booking {
        booking what;
        std::optional<ledger::reply> reply;
        /// Set when an answer is due because nothing disturbs the booking.
        std::optional<std::uint64_t> undisturbed;
        /// Whether this is the second try of a refused booking.
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
        /// Monotonic clocks of different VMs have nothing to do with each other.
        base::duration clock_offset{};
        std::uint64_t epoch = 0;
        bool up = false;
        bool paused = false;
        std::optional<ledger::owner> owner;
        std::optional<ledger::successor> successor;
        std::map<waiter_id, reply_target> waiting;
        std::map<std::uint64_t, forwarded> forwards;
        std::set<run_id> runs;
        /// Ends of runs under `approach::write_per_request`.
        std::map<run_id, std::function<void(const ledger::reply&)>> run_ends;
        run_id next_run = 1;
        waiter_id next_waiter = 1;
        std::uint64_t next_forward = 1;
        std::deque<std::function<void()>> held_inputs;
        std::deque<std::function<void()>> held_outputs;
        base::time_point owner_wake = base::time_point::max();
        base::time_point successor_wake = base::time_point::max();
        /// The text that callers keep.
        std::string kept_prefix;
    };

    struct scheduled {
        base::time_point at;
        std::uint64_t order = 0;
        std::function<void()> step;

        friend bool operator<(const scheduled& a, const scheduled& b) {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    void at(base::time_point when, std::function<void()> step);

    void after(base::duration delay, std::function<void()> step) { at(now_ + delay, std::move(step)); }

    base::duration draw(base::duration least, base::duration most);

    bool chance(double probability) { return !options_.fixed_delays && random_.unit() < probability; }

    base::duration hop();
    /// Sends something over the network, which may lose, repeat and reorder it.
    void transmit(const std::function<void()>& step);
    /// Runs a step inside a VM's process, later when it is paused, never when it is gone.
    void input(std::size_t n, std::uint64_t epoch, std::function<void()> step);
    /// Carries out an action of a VM's process; a kill may catch it on the way.
    void output(std::size_t n, std::function<void()> step);

    base::time_point local(const vm& v) const { return now_ + v.clock_offset; }

    booking_id send(booking what, std::size_t key_vm, std::size_t n, base::duration deadline, bool refused);
    void receive(std::size_t n, booking_id id, base::duration deadline, bool refused);
    void forward(std::size_t n, const keyed_request& request);
    void deliver_forward(std::size_t n, std::uint64_t epoch, std::uint64_t id, std::size_t target,
                         const keyed_request& sent, base::duration left);
    void forward_failed(std::size_t n, std::uint64_t id);
    void forward_replied(std::size_t n, std::uint64_t id, const ledger::reply& given);
    void reply(std::size_t n, waiter_id waiter, const ledger::reply& given);
    void told(booking_id id, const ledger::reply& given);
    void expect_answer(booking_id id, const ledger::reply& given);

    void tell_owner(std::size_t n, const owner_event& event);
    void tell_successor(std::size_t n, const successor_event& event);
    void perform(std::size_t n, const start_run& action);
    void perform(std::size_t n, const send_reply& action);
    void perform(std::size_t n, const stopped& action);
    void run_ended_at(std::size_t n, std::uint64_t epoch, run_id run, const ledger::reply& given);
    void call_platform(std::size_t n, const make_call& action, bool of_owner);
    void ask_platform(std::size_t n, const object_api::call& request,
                      const std::function<void(const object_api::answer&)>& then);
    void answer_of_platform(const object_api::call& request,
                            const std::function<void(const object_api::answer&)>& answer);
    void arm(std::size_t n);

    void write_and_run(std::size_t n, const keyed_request& request);
    void read_written(std::size_t n, const keyed_request& request, const object_api::object_key& object,
                      const std::string& number);
    void run_written(std::size_t n, const keyed_request& request, const object_api::object_key& object,
                     std::uint64_t version);

    void start(std::size_t n);

    void disturb() {
        disturbed_at_ = now_;
        ++disturbance_;
    }

    bool undisturbed() const;
    void trace(std::size_t n, const std::string& text);
    void trace_line(const std::string& text);
    std::string readable(std::string text);

    world_options options_;
    base::random_source random_;
    base::time_point now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<scheduled> queue_;
    std::array<vm, vm_count> vms_;
    fake_platform platform_;
    platform_mode mode_ = platform_mode::up;
    bool network_faulty_ = false;
    bool endpoint_faulty_ = false;
    test::oracle oracle_;
    std::vector<sent_booking> bookings_;
    base::time_point disturbed_at_{};
    std::uint64_t disturbance_ = 0;
    std::size_t expected_answers_ = 0;
    std::map<std::string, std::string> names_;
    bool silent_ = false;
    std::size_t left_out_ = 0;
};

} // namespace rattanbay::ledger::test
