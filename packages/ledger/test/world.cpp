#include "world.hpp"

#include "internal/record.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace rattanbay::ledger::test {

namespace {

constexpr std::string_view secret = "secret of the test cluster";
/// Leaves time to resolve a commit whose answer was lost within the commit timeout of 250 ms.
constexpr base::duration platform_timeout = std::chrono::milliseconds(100);
constexpr base::duration connect_timeout = std::chrono::milliseconds(300);
/// Minimum deadline for which a booking without faults is required to get a response.
constexpr base::duration min_checked_deadline = std::chrono::milliseconds(1500);
constexpr base::duration seal_reserve = std::chrono::milliseconds(500);
constexpr base::duration fixed_delay = std::chrono::milliseconds(1);

std::string reply_text(const ledger::reply& reply) {
    if (const response* as_response = std::get_if<response>(&reply)) {
        return std::to_string(as_response->status) + " " + as_response->body;
    }
    const base::problem& problem = std::get<base::problem>(reply);
    std::string out(base::to_name(problem.outcome));
    out += " " + std::string(base::to_name(problem.kind)) + ": " + problem.detail;
    return problem.retry_key_prefix ? out + ", retry with " + *problem.retry_key_prefix : out;
}

std::string call_text(const object_api::call& call) {
    if (const auto* read = std::get_if<object_api::read_object>(&call)) {
        return "read " + read->key.kind + "/" + read->key.name;
    }
    if (const auto* write = std::get_if<object_api::write_object>(&call)) {
        return "write " + write->key.kind + "/" + write->key.name +
               (write->expected_version ? " if version " + std::to_string(*write->expected_version)
                                        : " if absent") +
               ": " + write->value;
    }
    const auto& deletion = std::get<object_api::delete_object>(call);
    return "delete " + deletion.key.kind + "/" + deletion.key.name;
}

std::string answer_text(const object_api::answer& result) {
    if (const auto* object = std::get_if<object_api::object>(&result)) {
        return "version " + std::to_string(object->version) + " " + object->value;
    }
    if (const auto* written = std::get_if<object_api::written>(&result)) {
        return "written as version " + std::to_string(written->version);
    }
    if (const auto* conflict = std::get_if<object_api::conflict>(&result)) {
        return "conflict with version " + std::to_string(conflict->version);
    }
    if (std::holds_alternative<object_api::not_found>(result)) {
        return "absent";
    }
    return std::holds_alternative<object_api::deleted>(result) ? "deleted" : "failed";
}

object_api::answer no_answer() {
    return object_api::failed{{base::error_code::timed_out, "no answer"}};
}

ledger::reply make_problem(base::problem_kind kind, base::outcome outcome, std::string detail) {
    return base::problem{kind, outcome, std::move(detail)};
}

} // namespace

simulated_cluster::simulated_cluster(simulation_options options)
    : options_(std::move(options))
    , random_(options_.seed) {
    // Keeps time points positive for all clock offsets.
    now_ = base::time_point(std::chrono::hours(24));
    options_.owner.cluster_secret = secret;
    for (std::size_t n = 0; n < vm_count; ++n) {
        vms_[n].address = {{127, 0, 1, static_cast<std::uint8_t>(n + 1)}, 7100};
        start(n);
    }
    last_fault_time_ = now_;
}

// Time and network.

void simulated_cluster::at(base::time_point when, std::function<void()> callback) {
    queue_.push({std::max(when, now_), next_sequence_number_++, std::move(callback)});
}

base::duration simulated_cluster::random_duration(base::duration min, base::duration max) {
    if (options_.fixed_delays) {
        return fixed_delay;
    }
    return min + base::duration(static_cast<base::duration::rep>(
                     random_.below(static_cast<std::uint64_t>((max - min).count()) + 1)));
}

base::duration simulated_cluster::network_delay() {
    const bool late = network_faulty_ && chance(0.2);
    return random_duration(std::chrono::microseconds(200),
                           late ? std::chrono::milliseconds(4000) : std::chrono::milliseconds(2));
}

void simulated_cluster::transmit(const std::function<void()>& callback) {
    if (network_faulty_ && chance(0.15)) {
        return;
    }
    after(network_delay(), callback);
    if (network_faulty_ && chance(0.15)) {
        after(network_delay(), callback);
    }
}

void simulated_cluster::run_for(base::duration time) {
    const base::time_point end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
        const scheduled next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.callback();
    }
    now_ = end;
}

void simulated_cluster::run_in_process(std::size_t n, std::uint64_t epoch, std::function<void()> callback) {
    vm& v = vms_[n];
    if (!v.up || v.epoch != epoch) {
        return;
    }
    if (v.paused) {
        v.held_inputs.push_back([this, n, epoch, callback] { run_in_process(n, epoch, callback); });
        return;
    }
    callback();
}

void simulated_cluster::send_from_process(std::size_t n, std::function<void()> callback) {
    const std::uint64_t epoch = vms_[n].epoch;
    auto emit = std::make_shared<std::function<void()>>();
    *emit = [this, n, epoch, callback] {
        vm& v = vms_[n];
        if (v.epoch == epoch && v.up && v.paused) {
            v.held_outputs.push_back(callback);
        } else if ((v.epoch == epoch && v.up) || chance(0.5)) {
            callback();
        }
    };
    after(options_.fixed_delays ? base::duration(0)
                                : random_duration(base::duration(0), std::chrono::microseconds(300)),
          [emit] { (*emit)(); });
}

// Faults.

void simulated_cluster::start(std::size_t n) {
    vm& v = vms_[n];
    const base::address address = v.address;
    const std::uint64_t epoch = v.epoch + 1;
    std::string cached = v.cached_prefix;
    v = vm();
    v.address = address;
    v.epoch = epoch;
    v.up = true;
    v.clock_offset = options_.fixed_delays ? base::duration(0)
                                           : random_duration(base::duration(0), std::chrono::hours(2000));
    owner_options owner = options_.owner;
    owner.peer_address = address;
    v.owner.emplace(owner, base::random_source(random_.bits()), local_time(v));
    v.successor.emplace(base::random_source(random_.bits()));
    v.cached_prefix = cached.empty() ? v.owner->current_prefix().signed_text(secret) : cached;
    trace(n, "starts");
    arm_timers(n);
}

void simulated_cluster::kill(std::size_t n) {
    vm& v = vms_[n];
    if (!v.up) {
        return;
    }
    record_fault();
    trace(n, "is killed");
    v.up = false;
    v.owner.reset();
    v.successor.reset();
    v.waiting.clear();
    v.forwards.clear();
    v.held_inputs.clear();
    // Output that a paused process had passed to the kernel may still be sent.
    for (const std::function<void()>& callback : std::exchange(v.held_outputs, {})) {
        if (chance(0.5)) {
            callback();
        }
    }
    for (std::size_t other = 0; other < vm_count; ++other) {
        for (const auto& it : vms_[other].forwards) {
            if (it.second.target == n && (options_.fixed_delays || chance(0.5))) {
                after(network_delay(), [this, other, id = it.first, epoch = vms_[other].epoch] {
                    run_in_process(other, epoch, [this, other, id] { handle_forward_failure(other, id); });
                });
            }
        }
    }
}

void simulated_cluster::replace(std::size_t n) {
    if (!vms_[n].up) {
        record_fault();
        start(n);
    }
}

void simulated_cluster::pause(std::size_t n) {
    if (vms_[n].up && !vms_[n].paused) {
        record_fault();
        trace(n, "is paused");
        vms_[n].paused = true;
    }
}

void simulated_cluster::resume(std::size_t n) {
    vm& v = vms_[n];
    if (!v.paused) {
        return;
    }
    record_fault();
    trace(n, "resumes");
    v.paused = false;
    std::deque<std::function<void()>> first = std::exchange(v.held_outputs, {});
    std::deque<std::function<void()>> second = std::exchange(v.held_inputs, {});
    if (chance(0.5)) {
        std::swap(first, second);
    }
    for (std::deque<std::function<void()>>* callbacks : {&first, &second}) {
        for (const std::function<void()>& callback : *callbacks) {
            callback();
        }
    }
    arm_timers(n);
}

void simulated_cluster::drain(std::size_t n) {
    if (vms_[n].up && !vms_[n].paused) {
        record_fault();
        trace(n, "stops");
        notify_owner(n, stop_requested{});
    }
}

void simulated_cluster::set_platform(platform_mode mode) {
    if (mode != mode_) {
        record_fault();
        mode_ = mode;
    }
}

void simulated_cluster::set_network_faulty(bool faulty) {
    record_fault();
    network_faulty_ = faulty;
}

void simulated_cluster::set_endpoint_faulty(bool faulty) {
    record_fault();
    endpoint_faulty_ = faulty;
}

void simulated_cluster::heal() {
    set_platform(platform_mode::up);
    set_network_faulty(false);
    set_endpoint_faulty(false);
    for (std::size_t n = 0; n < vm_count; ++n) {
        resume(n);
        replace(n);
    }
}

bool simulated_cluster::is_fault_free() const {
    // The backoff after a fault is at most 10 s, and a call in flight ends within a second.
    constexpr base::duration max_recovery_time = std::chrono::seconds(12);
    const bool platform_steady = mode_ == platform_mode::up || mode_ == platform_mode::down;
    const bool vms_up = std::all_of(vms_.begin(), vms_.end(), [](const vm& v) { return v.up && !v.paused; });
    return now_ - last_fault_time_ > max_recovery_time && platform_steady && vms_up && !network_faulty_ &&
           !endpoint_faulty_;
}

// Callers.

booking_id simulated_cluster::send_booking(std::size_t key_vm, std::size_t n, base::duration deadline,
                                           bool refused) {
    vm& v = vms_[key_vm];
    if (v.up && !v.paused) {
        v.cached_prefix = v.owner->current_prefix().signed_text(secret);
    }
    const std::string number = std::to_string(bookings_.size());
    const booking_id id = send(
        {"account-" + std::to_string(bookings_.size() % 2),
         v.cached_prefix + ".order-" + std::string(6 - std::min<std::size_t>(number.size(), 6), '0') + number,
         "meal-" + number},
        key_vm, n, deadline, refused);
    if (is_fault_free() && !refused && deadline >= min_checked_deadline) {
        bookings_[id].fault_count_when_sent = fault_count_;
    }
    return id;
}

booking_id simulated_cluster::send_booking_with_cached_prefix(std::size_t key_vm, std::size_t n,
                                                              base::duration deadline) {
    const std::string number = std::to_string(bookings_.size());
    return send({"account-0", vms_[key_vm].cached_prefix + ".old-prefix-" + number, "meal-" + number}, key_vm,
                n, deadline, false);
}

booking_id simulated_cluster::resend(booking_id earlier, std::size_t n, base::duration deadline,
                                     bool other_body, bool other_account) {
    booking_request booking = bookings_[earlier].booking;
    booking.body += other_body ? "-changed" : "";
    if (other_body || deadline < min_checked_deadline) {
        // The resent request may arrive first and determine the body or the deadline of the run.
        bookings_[earlier].fault_count_when_sent.reset();
    }
    booking.account += other_account ? "-b" : "";
    return send(booking, bookings_[earlier].key_vm, n, deadline, false);
}

booking_id simulated_cluster::send(booking_request booking, std::size_t key_vm, std::size_t n,
                                   base::duration deadline, bool refused) {
    const booking_id id = bookings_.size();
    bookings_.push_back({std::move(booking), {}, {}, false, key_vm, n, deadline});
    transmit([this, n, id, deadline, refused] {
        run_in_process(n, vms_[n].epoch,
                       [this, n, id, deadline, refused] { receive(n, id, deadline, refused); });
    });
    return id;
}

void simulated_cluster::deliver_reply(booking_id id, const ledger::reply& reply) {
    sent_booking& sent = bookings_[id];
    if (options_.trace != nullptr) {
        trace_line("caller of " + sent.booking.body + " gets reply " + reply_text(reply));
    }
    oracle_.record_reply(sent.booking, reply);
    sent.reply = reply;
    if (sent.fault_count_when_sent) {
        check_reply(id, reply);
    }
}

void simulated_cluster::check_reply(booking_id id, const ledger::reply& reply) {
    const sent_booking sent = bookings_[id];
    if (*sent.fault_count_when_sent != fault_count_) {
        return;
    }
    const base::problem* problem = std::get_if<base::problem>(&reply);
    if (problem == nullptr) {
        ++expected_answers_;
        return;
    }
    // An idle owner only detects with its next commit that the platform is down, or that its record was
    // sealed by a VM whose forwarded request had failed. Its refusal contains a usable prefix for a retry.
    const bool retry =
        !sent.retried && problem->retry_key_prefix && problem->outcome == base::outcome::not_run;
    if (!retry) {
        oracle_.add_violation(sent.booking, "expected a response, got: " + reply_text(reply));
        return;
    }
    booking_request again = sent.booking;
    again.key = *problem->retry_key_prefix + again.key.substr(again.key.find('.'));
    const booking_id next = send(again, sent.key_vm, sent.vm, sent.deadline, false);
    bookings_[next].fault_count_when_sent = fault_count_;
    bookings_[next].retried = true;
}

// Entry VMs.

void simulated_cluster::receive(std::size_t n, booking_id id, base::duration deadline, bool refused) {
    vm& v = vms_[n];
    const booking_request& booking = bookings_[id].booking;
    const base::result<key> parsed = key::parse(booking.key, secret);
    if (!parsed) {
        oracle_.add_violation(booking, "key rejected: " + parsed.error().message);
        return;
    }
    const waiter_id waiter = v.next_waiter++;
    const keyed_request request{waiter, base::account_id(booking.account), *parsed,
                                base::fast_hash(booking.body), local_time(v) + deadline};
    v.waiting[waiter] = {id, 0, 0, 0};
    trace(n, "receives " + booking.body + " with key " + booking.key + " of " + booking.account);
    if (options_.strategy == execution_strategy::write_per_request) {
        write_before_run(n, request);
    } else if (!v.owner->owns(parsed->prefix)) {
        forward(n, request);
    } else if (refused) {
        notify_owner(
            n, refusal_requested{
                   request, {base::problem_kind::limit_exceeded, base::outcome::not_run, "over the limit"}});
    } else {
        notify_owner(n, request_arrived{request});
    }
}

void simulated_cluster::forward(std::size_t n, const keyed_request& request) {
    vm& v = vms_[n];
    const std::uint64_t id = v.next_forward++;
    const std::uint64_t epoch = v.epoch;
    const auto target = static_cast<std::size_t>(request.key.prefix.peer_address.ip[3] - 1);
    v.forwards[id] = {request, target};
    const base::duration time_left = request.deadline - local_time(v);
    // Too little time for a connection attempt would result in sealing the record of a live owner.
    const bool can_seal = time_left >= connect_timeout + seal_reserve;
    base::duration timeout = can_seal ? time_left - seal_reserve : std::max(time_left, base::duration(0));
    if (vms_[target].up) {
        transmit([this, n, epoch, id, target, request, time_left] {
            deliver_forward(n, epoch, id, target, request, time_left);
        });
    } else {
        timeout = std::min(timeout, connect_timeout);
    }
    after(timeout, [this, n, epoch, id] {
        run_in_process(n, epoch, [this, n, id] { handle_forward_failure(n, id); });
    });
}

void simulated_cluster::deliver_forward(std::size_t n, std::uint64_t epoch, std::uint64_t id,
                                        std::size_t target, const keyed_request& sent,
                                        base::duration time_left) {
    // The message is delivered even if the sender has given up or terminated.
    run_in_process(target, vms_[target].epoch,
                   [this, n, epoch, id, target, request = sent, time_left]() mutable {
                       vm& v = vms_[target];
                       if (!v.owner->owns(request.key.prefix)) {
                           transmit([this, n, epoch, id] {
                               run_in_process(n, epoch, [this, n, id] { handle_forward_failure(n, id); });
                           });
                           return;
                       }
                       request.waiter = v.next_waiter++;
                       request.deadline = local_time(v) + time_left;
                       v.waiting[request.waiter] = {std::nullopt, n, epoch, id};
                       notify_owner(target, request_arrived{request});
                   });
}

void simulated_cluster::handle_forward_failure(std::size_t n, std::uint64_t id) {
    vm& v = vms_[n];
    const auto it = v.forwards.find(id);
    if (it == v.forwards.end()) {
        return;
    }
    const keyed_request request = it->second.request;
    v.forwards.erase(it);
    if (options_.strategy == execution_strategy::incarnation_only) {
        reply_to_waiter(
            n, request.waiter,
            make_problem(base::problem_kind::owner_unreachable, base::outcome::unknown, "no record"));
        return;
    }
    notify_successor(n, owner_unreachable{request});
}

void simulated_cluster::handle_forward_reply(std::size_t n, std::uint64_t id, const ledger::reply& reply) {
    vm& v = vms_[n];
    const auto it = v.forwards.find(id);
    if (it == v.forwards.end()) {
        return;
    }
    const waiter_id waiter = it->second.request.waiter;
    v.forwards.erase(it);
    reply_to_waiter(n, waiter, reply);
}

void simulated_cluster::reply_to_waiter(std::size_t n, waiter_id waiter, const ledger::reply& reply) {
    vm& v = vms_[n];
    const auto it = v.waiting.find(waiter);
    if (it == v.waiting.end()) {
        oracle_.add_violation({}, "a request got two replies");
        return;
    }
    const reply_target target = it->second;
    v.waiting.erase(it);
    send_from_process(n, [this, target, reply] {
        transmit([this, target, reply] {
            if (target.booking) {
                deliver_reply(*target.booking, reply);
                return;
            }
            run_in_process(target.vm, target.epoch,
                           [this, target, reply] { handle_forward_reply(target.vm, target.forward, reply); });
        });
    });
}

std::size_t simulated_cluster::waiting() const {
    std::size_t count = 0;
    for (const vm& v : vms_) {
        count += v.waiting.size();
    }
    return count;
}

void simulated_cluster::notify_owner(std::size_t n, const owner_event& event) {
    vm& v = vms_[n];
    for (const owner_action& action : v.owner->handle(event, local_time(v))) {
        std::visit(
            [this, n]<class Action>(const Action& it) {
                if constexpr (std::is_same_v<Action, make_call>) {
                    execute_call(n, it, true);
                } else {
                    execute(n, it);
                }
            },
            action);
    }
    arm_timers(n);
}

void simulated_cluster::notify_successor(std::size_t n, const successor_event& event) {
    vm& v = vms_[n];
    for (const successor_action& action : v.successor->handle(event, local_time(v))) {
        if (const make_call* call = std::get_if<make_call>(&action)) {
            execute_call(n, *call, false);
        } else {
            execute(n, std::get<send_reply>(action));
        }
    }
    arm_timers(n);
}

void simulated_cluster::arm_timers(std::size_t n) {
    vm& v = vms_[n];
    if (!v.up || v.paused) {
        return;
    }
    const std::uint64_t epoch = v.epoch;
    const auto arm_timer = [this, n, epoch, &v](base::time_point due, base::time_point& armed,
                                                auto on_wakeup) {
        if (due == base::time_point::max() || (armed <= due && armed > local_time(v))) {
            return;
        }
        // Time advances with each wakeup, so that an endless series of due wakeups does not block the
        // simulation.
        armed = std::max(due, local_time(v) + std::chrono::microseconds(50));
        after(armed - local_time(v), [this, n, epoch, on_wakeup] { run_in_process(n, epoch, on_wakeup); });
    };
    arm_timer(v.owner->next_wakeup(), v.owner_timer, [this, n] { notify_owner(n, timer_expired{}); });
    arm_timer(v.successor->next_wakeup(), v.successor_timer,
              [this, n] { notify_successor(n, timer_expired{}); });
}

void simulated_cluster::execute(std::size_t n, const send_reply& action) {
    trace(n, "replies to request " + std::to_string(action.waiter) + ": " + reply_text(action.reply));
    reply_to_waiter(n, action.waiter, action.reply);
}

void simulated_cluster::execute(std::size_t n, const stopped& /*action*/) {
    trace(n, "has stopped");
    send_from_process(n, [this, n] { kill(n); });
}

void simulated_cluster::execute(std::size_t n, const start_run& action) {
    vm& v = vms_[n];
    const std::uint64_t epoch = v.epoch;
    const run_id run = action.run;
    v.runs.insert(run);
    trace(n, "starts run " + std::to_string(run));
    // The request contains only the hash of the body, so look up the booking by it.
    booking_request booking;
    for (const sent_booking& it : bookings_) {
        const std::size_t dot = it.booking.key.find('.');
        if (it.booking.account == action.request.account.text() &&
            base::fast_hash(it.booking.body) == action.request.body_hash &&
            it.booking.key.substr(dot + 1) == action.request.key.suffix &&
            it.booking.key.substr(0, dot) == action.request.key.prefix.signed_text(secret)) {
            booking = it.booking;
        }
    }
    after(std::max(action.request.deadline - local_time(v), base::duration(0)), [this, n, epoch, run] {
        finish_run(n, epoch, run,
                   make_problem(base::problem_kind::deadline_exceeded, base::outcome::unknown, "no answer"));
    });
    send_from_process(n, [this, n, epoch, run, booking] {
        if (endpoint_faulty_ && chance(0.1)) {
            finish_run(n, epoch, run,
                       make_problem(base::problem_kind::no_endpoint, base::outcome::not_run, "refused"));
            return;
        }
        const bool slow = endpoint_faulty_ && chance(0.2);
        after(random_duration(std::chrono::microseconds(200),
                              slow ? std::chrono::seconds(3) : std::chrono::milliseconds(2)),
              [this, n, epoch, run, booking] {
                  const response result = oracle_.record_run(booking);
                  if (options_.trace != nullptr) {
                      trace_line("endpoint runs " + booking.body);
                  }
                  if (endpoint_faulty_ && chance(0.1)) {
                      finish_run(n, epoch, run,
                                 make_problem(base::problem_kind::stage_failed, base::outcome::unknown,
                                              "connection broke"));
                      return;
                  }
                  const bool late = endpoint_faulty_ && chance(0.2);
                  after(random_duration(std::chrono::milliseconds(1),
                                        late ? std::chrono::seconds(8) : std::chrono::milliseconds(20)),
                        [this, n, epoch, run, result] { finish_run(n, epoch, run, result); });
              });
    });
}

void simulated_cluster::finish_run(std::size_t n, std::uint64_t epoch, run_id run,
                                   const ledger::reply& reply) {
    run_in_process(n, epoch, [this, n, run, reply] {
        // The driver reports only the first end of a run to the ledger and ignores others.
        if (vms_[n].runs.erase(run) > 0) {
            trace(n, "run " + std::to_string(run) + " ends: " + reply_text(reply));
            if (options_.strategy == execution_strategy::write_per_request) {
                vms_[n].run_ends[run](reply);
            } else {
                notify_owner(n, run_ended{run, reply});
            }
        }
    });
}

// The platform.

void simulated_cluster::execute_call(std::size_t n, const make_call& action, bool from_owner) {
    const call_id call = action.call;
    trace(n, (from_owner ? "owner calls " : "successor calls ") + call_text(action.request));
    const auto answered = [this, n, call, from_owner](const object_api::answer& result) {
        trace(n, std::string(from_owner ? "owner" : "successor") + " gets answer " + answer_text(result));
        if (from_owner) {
            notify_owner(n, call_answered{call, result});
        } else {
            notify_successor(n, call_answered{call, result});
        }
    };
    if (options_.strategy == execution_strategy::incarnation_only) {
        after(platform_timeout, [this, n, epoch = vms_[n].epoch, answered] {
            run_in_process(n, epoch, [answered] { answered(no_answer()); });
        });
        return;
    }
    send_platform_call(n, action.request, answered);
}

void simulated_cluster::send_platform_call(std::size_t n, const object_api::call& request,
                                           const std::function<void(const object_api::answer&)>& on_answer) {
    auto is_answered = std::make_shared<bool>(false);
    const auto complete = [this, n, epoch = vms_[n].epoch, on_answer,
                           is_answered](const object_api::answer& result) {
        if (!std::exchange(*is_answered, true)) {
            run_in_process(n, epoch, [on_answer, result] { on_answer(result); });
        }
    };
    after(platform_timeout, [complete] { complete(no_answer()); });
    send_from_process(n, [this, request, complete] {
        if (mode_ == platform_mode::down) {
            after(random_duration(std::chrono::milliseconds(1), platform_timeout),
                  [complete] { complete(no_answer()); });
            return;
        }
        const bool late = mode_ != platform_mode::up && chance(0.15);
        const base::duration max_delay =
            late ? std::chrono::milliseconds(3000) : std::chrono::milliseconds(3);
        after(random_duration(std::chrono::milliseconds(1), max_delay),
              [this, request, complete] { process_platform_call(request, complete); });
    });
}

void simulated_cluster::process_platform_call(
    const object_api::call& request, const std::function<void(const object_api::answer&)>& complete) {
    const bool lost = mode_ == platform_mode::losing_answers && (options_.fixed_delays || chance(0.5));
    const bool stale = mode_ == platform_mode::stale_reads && chance(0.5);
    const bool slow = mode_ == platform_mode::slow && chance(0.5);
    const object_api::answer result =
        platform_.apply(request, stale ? std::optional(random_.bits()) : std::nullopt);
    if (!lost) {
        const base::duration max_delay =
            slow ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(2);
        after(random_duration(std::chrono::microseconds(500), max_delay),
              [complete, result] { complete(result); });
    }
}

// Traces.

void simulated_cluster::trace(std::size_t n, const std::string& text) {
    if (options_.trace != nullptr) {
        trace_line("vm" + std::to_string(n + 1) + " " + text);
    }
}

void simulated_cluster::trace_line(const std::string& text) {
    if (trace_suppressed_) {
        ++suppressed_lines_;
        return;
    }
    const double elapsed = base::to_milliseconds(now_ - base::time_point(std::chrono::hours(24)));
    std::ostringstream line;
    line << std::fixed << std::setprecision(1) << elapsed << " ms ";
    *options_.trace << line.str() << replace_random_ids(text) << '\n';
}

void simulated_cluster::set_trace_suppressed(bool suppressed) {
    trace_suppressed_ = suppressed;
    if (!suppressed) {
        *options_.trace << "(" << suppressed_lines_ << " lines omitted)\n";
        suppressed_lines_ = 0;
    }
}

void simulated_cluster::add_trace_comment(const std::string& text) {
    *options_.trace << "# " << text << '\n';
}

std::string simulated_cluster::replace_random_ids(std::string text) {
    // Replaces random identifiers and hashes by numbered names, which keeps traces readable and comparable.
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (std::size_t n = 0; n < text.size();) {
        const std::size_t end = std::min(text.find_first_not_of(digits, n), text.size());
        const std::string run = text.substr(n, end - n);
        const char* kind = run.size() == 32 ? "<hash " : run.size() == 24 ? "<ledger " : "<code ";
        if (run.size() == 32 || run.size() == 24 || run.size() == 16) {
            out +=
                id_names_.try_emplace(run, kind + std::to_string(id_names_.size() + 1) + ">").first->second;
        } else {
            out += run;
        }
        if (end < text.size()) {
            out += text[end];
        }
        n = end + 1;
    }
    return out;
}

// Conditional write per request, the alternative compared in section 4.1 of the design page. The object holds
// the hash of the body, then a nonce that shows whether a write whose answer was lost took effect, or the
// response once it is known.

void simulated_cluster::write_before_run(std::size_t n, const keyed_request& request) {
    const std::string name = internal::key_hash(request).text();
    const std::string nonce = std::to_string(random_.bits());
    const object_api::object_key object{"requests", name};
    send_platform_call(n, object_api::write_object{object, std::nullopt, request.body_hash.text() + nonce},
                       [this, n, request, object, nonce](const object_api::answer& result) {
                           if (const auto* written = std::get_if<object_api::written>(&result)) {
                               run_after_write(n, request, object, written->version);
                           } else {
                               resolve_write(n, request, object, nonce);
                           }
                       });
}

void simulated_cluster::resolve_write(std::size_t n, const keyed_request& request,
                                      const object_api::object_key& object, const std::string& nonce) {
    constexpr base::duration retry_delay = std::chrono::milliseconds(50);
    if (request.deadline <= local_time(vms_[n])) {
        reply_to_waiter(n, request.waiter,
                        make_problem(base::problem_kind::deadline_exceeded, base::outcome::unknown, ""));
        return;
    }
    send_platform_call(n, object_api::read_object{object}, [=, this](const object_api::answer& result) {
        const auto* found = std::get_if<object_api::object>(&result);
        const std::string body = request.body_hash.text();
        if (found == nullptr) {
            after(retry_delay, [=, this, epoch = vms_[n].epoch] {
                run_in_process(n, epoch, [=, this] { resolve_write(n, request, object, nonce); });
            });
        } else if (found->value == body + nonce) {
            run_after_write(n, request, object, found->version);
        } else if (found->value.substr(0, body.size()) != body) {
            reply_to_waiter(n, request.waiter,
                            make_problem(base::problem_kind::idempotency_key_reused, base::outcome::not_run,
                                         "other body"));
        } else if (const std::size_t end = found->value.find(':'); end != std::string::npos) {
            reply_to_waiter(n, request.waiter, response{200, found->value.substr(end + 1)});
        } else {
            after(retry_delay, [=, this, epoch = vms_[n].epoch] {
                run_in_process(n, epoch, [=, this] { resolve_write(n, request, object, nonce); });
            });
        }
    });
}

void simulated_cluster::run_after_write(std::size_t n, const keyed_request& request,
                                        const object_api::object_key& object, std::uint64_t version) {
    const run_id run = vms_[n].next_run++;
    vms_[n].run_ends[run] = [this, n, request, object, version](const ledger::reply& reply) {
        if (const response* as_response = std::get_if<response>(&reply)) {
            send_platform_call(
                n,
                object_api::write_object{object, version, request.body_hash.text() + ":" + as_response->body},
                [](const object_api::answer&) {});
        }
        reply_to_waiter(n, request.waiter, reply);
    };
    execute(n, start_run{run, request});
}

} // namespace rattanbay::ledger::test
