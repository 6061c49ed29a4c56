#include "world.hpp"

#include "internal/record.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace rattanbay::ledger::test {

namespace {

constexpr std::string_view secret = "secret of the test cluster";
/// Leaves time to settle a lost commit answer within the commit limit of 250 ms.
constexpr base::duration platform_timeout = std::chrono::milliseconds(100);
constexpr base::duration connect_timeout = std::chrono::milliseconds(300);
/// Shortest deadline within which an undisturbed booking has to be answered.
constexpr base::duration fair_deadline = std::chrono::milliseconds(1500);
constexpr base::duration seal_reserve = std::chrono::milliseconds(500);
constexpr base::duration fixed_hop = std::chrono::milliseconds(1);

std::string outcome_text(const ledger::reply& given) {
    if (const answer* whole = std::get_if<answer>(&given)) {
        return std::to_string(whole->status) + " " + whole->body;
    }
    const base::problem& problem = std::get<base::problem>(given);
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
    const auto& removal = std::get<object_api::delete_object>(call);
    return "delete " + removal.key.kind + "/" + removal.key.name;
}

std::string answer_text(const object_api::answer& given) {
    if (const auto* object = std::get_if<object_api::object>(&given)) {
        return "version " + std::to_string(object->version) + " " + object->value;
    }
    if (const auto* written = std::get_if<object_api::written>(&given)) {
        return "written as version " + std::to_string(written->version);
    }
    if (const auto* conflict = std::get_if<object_api::conflict>(&given)) {
        return "conflict with version " + std::to_string(conflict->version);
    }
    if (std::holds_alternative<object_api::not_found>(given)) {
        return "absent";
    }
    return std::holds_alternative<object_api::deleted>(given) ? "deleted" : "failed";
}

object_api::answer no_answer() {
    return object_api::failed{{base::error_code::timed_out, "no answer"}};
}

ledger::reply problem(base::problem_kind kind, base::outcome outcome, std::string detail) {
    return base::problem{kind, outcome, std::move(detail)};
}

} // namespace

world::world(world_options options)
    : options_(std::move(options))
    , random_(options_.seed) {
    // Far enough from zero that clock offsets do not matter for the arithmetic.
    now_ = base::time_point(std::chrono::hours(24));
    options_.owner.cluster_secret = secret;
    for (std::size_t n = 0; n < vm_count; ++n) {
        vms_[n].address = {{127, 0, 1, static_cast<std::uint8_t>(n + 1)}, 7100};
        start(n);
    }
    disturbed_at_ = now_;
}

// Time and network.

void world::at(base::time_point when, std::function<void()> step) {
    queue_.push({std::max(when, now_), order_++, std::move(step)});
}

base::duration world::draw(base::duration least, base::duration most) {
    if (options_.fixed_delays) {
        return fixed_hop;
    }
    return least + base::duration(static_cast<base::duration::rep>(
                       random_.below(static_cast<std::uint64_t>((most - least).count()) + 1)));
}

base::duration world::hop() {
    const bool late = network_faulty_ && chance(0.2);
    return draw(std::chrono::microseconds(200),
                late ? std::chrono::milliseconds(4000) : std::chrono::milliseconds(2));
}

void world::transmit(const std::function<void()>& step) {
    if (network_faulty_ && chance(0.15)) {
        return;
    }
    after(hop(), step);
    if (network_faulty_ && chance(0.15)) {
        after(hop(), step);
    }
}

void world::run_for(base::duration time) {
    const base::time_point end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
        const scheduled next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.step();
    }
    now_ = end;
}

void world::input(std::size_t n, std::uint64_t epoch, std::function<void()> step) {
    vm& v = vms_[n];
    if (!v.up || v.epoch != epoch) {
        return;
    }
    if (v.paused) {
        v.held_inputs.push_back([this, n, epoch, step] { input(n, epoch, step); });
        return;
    }
    step();
}

void world::output(std::size_t n, std::function<void()> step) {
    const std::uint64_t epoch = vms_[n].epoch;
    auto go_out = std::make_shared<std::function<void()>>();
    *go_out = [this, n, epoch, step] {
        vm& v = vms_[n];
        if (v.epoch == epoch && v.up && v.paused) {
            v.held_outputs.push_back(step);
        } else if ((v.epoch == epoch && v.up) || chance(0.5)) {
            step();
        }
    };
    after(options_.fixed_delays ? base::duration(0) : draw(base::duration(0), std::chrono::microseconds(300)),
          [go_out] { (*go_out)(); });
}

// Faults.

void world::start(std::size_t n) {
    vm& v = vms_[n];
    const base::address address = v.address;
    const std::uint64_t epoch = v.epoch + 1;
    std::string kept = v.kept_prefix;
    v = vm();
    v.address = address;
    v.epoch = epoch;
    v.up = true;
    v.clock_offset =
        options_.fixed_delays ? base::duration(0) : draw(base::duration(0), std::chrono::hours(2000));
    owner_options own = options_.owner;
    own.peer_address = address;
    v.owner.emplace(own, base::random_source(random_.bits()), local(v));
    v.successor.emplace(base::random_source(random_.bits()));
    v.kept_prefix = kept.empty() ? v.owner->current_prefix().text(secret) : kept;
    trace(n, "starts");
    arm(n);
}

void world::kill(std::size_t n) {
    vm& v = vms_[n];
    if (!v.up) {
        return;
    }
    disturb();
    trace(n, "is killed");
    v.up = false;
    v.owner.reset();
    v.successor.reset();
    v.waiting.clear();
    v.forwards.clear();
    v.held_inputs.clear();
    // What a paused process had handed to the kernel still goes out.
    for (const std::function<void()>& step : std::exchange(v.held_outputs, {})) {
        if (chance(0.5)) {
            step();
        }
    }
    for (std::size_t other = 0; other < vm_count; ++other) {
        for (const auto& it : vms_[other].forwards) {
            if (it.second.target == n && (options_.fixed_delays || chance(0.5))) {
                after(hop(), [this, other, id = it.first, epoch = vms_[other].epoch] {
                    input(other, epoch, [this, other, id] { forward_failed(other, id); });
                });
            }
        }
    }
}

void world::replace(std::size_t n) {
    if (!vms_[n].up) {
        disturb();
        start(n);
    }
}

void world::pause(std::size_t n) {
    if (vms_[n].up && !vms_[n].paused) {
        disturb();
        trace(n, "is paused");
        vms_[n].paused = true;
    }
}

void world::resume(std::size_t n) {
    vm& v = vms_[n];
    if (!v.paused) {
        return;
    }
    disturb();
    trace(n, "resumes");
    v.paused = false;
    std::deque<std::function<void()>> first = std::exchange(v.held_outputs, {});
    std::deque<std::function<void()>> second = std::exchange(v.held_inputs, {});
    if (chance(0.5)) {
        std::swap(first, second);
    }
    for (std::deque<std::function<void()>>* steps : {&first, &second}) {
        for (const std::function<void()>& step : *steps) {
            step();
        }
    }
    arm(n);
}

void world::drain(std::size_t n) {
    if (vms_[n].up && !vms_[n].paused) {
        disturb();
        trace(n, "stops");
        tell_owner(n, stop_asked{});
    }
}

void world::set_platform(platform_mode mode) {
    if (mode != mode_) {
        disturb();
        mode_ = mode;
    }
}

void world::set_network_faulty(bool faulty) {
    disturb();
    network_faulty_ = faulty;
}

void world::set_endpoint_faulty(bool faulty) {
    disturb();
    endpoint_faulty_ = faulty;
}

void world::heal() {
    set_platform(platform_mode::up);
    set_network_faulty(false);
    set_endpoint_faulty(false);
    for (std::size_t n = 0; n < vm_count; ++n) {
        resume(n);
        replace(n);
    }
}

bool world::undisturbed() const {
    // The backoff after a fault is at most 10 s, and a call that is under way ends within a second.
    constexpr base::duration settling = std::chrono::seconds(12);
    const bool platform_steady = mode_ == platform_mode::up || mode_ == platform_mode::down;
    const bool vms_up = std::all_of(vms_.begin(), vms_.end(), [](const vm& v) { return v.up && !v.paused; });
    return now_ - disturbed_at_ > settling && platform_steady && vms_up && !network_faulty_ &&
           !endpoint_faulty_;
}

// Callers.

booking_id world::book(std::size_t key_vm, std::size_t n, base::duration deadline, bool refused) {
    vm& v = vms_[key_vm];
    if (v.up && !v.paused) {
        v.kept_prefix = v.owner->current_prefix().text(secret);
    }
    const std::string number = std::to_string(bookings_.size());
    const booking_id id = send(
        {"account-" + std::to_string(bookings_.size() % 2),
         v.kept_prefix + ".order-" + std::string(6 - std::min<std::size_t>(number.size(), 6), '0') + number,
         "meal-" + number},
        key_vm, n, deadline, refused);
    if (undisturbed() && !refused && deadline >= fair_deadline) {
        bookings_[id].undisturbed = disturbance_;
    }
    return id;
}

booking_id world::book_with_kept_prefix(std::size_t key_vm, std::size_t n, base::duration deadline) {
    const std::string number = std::to_string(bookings_.size());
    return send({"account-0", vms_[key_vm].kept_prefix + ".old-prefix-" + number, "meal-" + number}, key_vm,
                n, deadline, false);
}

booking_id world::resend(booking_id earlier, std::size_t n, base::duration deadline, bool other_body,
                         bool other_account) {
    booking what = bookings_[earlier].what;
    what.body += other_body ? "-changed" : "";
    if (other_body || deadline < fair_deadline) {
        // It may arrive first, and the run then has its body or its deadline.
        bookings_[earlier].undisturbed.reset();
    }
    what.account += other_account ? "-b" : "";
    return send(what, bookings_[earlier].key_vm, n, deadline, false);
}

booking_id world::send(booking what, std::size_t key_vm, std::size_t n, base::duration deadline,
                       bool refused) {
    const booking_id id = bookings_.size();
    bookings_.push_back({std::move(what), {}, {}, false, key_vm, n, deadline});
    transmit([this, n, id, deadline, refused] {
        input(n, vms_[n].epoch, [this, n, id, deadline, refused] { receive(n, id, deadline, refused); });
    });
    return id;
}

void world::told(booking_id id, const ledger::reply& given) {
    sent_booking& sent = bookings_[id];
    if (options_.trace != nullptr) {
        trace_line("caller of " + sent.what.body + " is told " + outcome_text(given));
    }
    oracle_.replied(sent.what, given);
    sent.reply = given;
    if (sent.undisturbed) {
        expect_answer(id, given);
    }
}

void world::expect_answer(booking_id id, const ledger::reply& given) {
    const sent_booking sent = bookings_[id];
    if (*sent.undisturbed != disturbance_) {
        return;
    }
    const base::problem* problem = std::get_if<base::problem>(&given);
    if (problem == nullptr) {
        ++expected_answers_;
        return;
    }
    // An idle owner learns from its next commit that the platform is down, or that its record was
    // sealed by a VM whose forwarded request had failed; the refusal offers a usable prefix.
    const bool retry =
        !sent.retried && problem->retry_key_prefix && problem->outcome == base::outcome::not_run;
    if (!retry) {
        oracle_.violate(sent.what, "had to be answered, but: " + outcome_text(given));
        return;
    }
    booking again = sent.what;
    again.key = *problem->retry_key_prefix + again.key.substr(again.key.find('.'));
    const booking_id next = send(again, sent.key_vm, sent.vm, sent.deadline, false);
    bookings_[next].undisturbed = disturbance_;
    bookings_[next].retried = true;
}

// Entry VMs.

void world::receive(std::size_t n, booking_id id, base::duration deadline, bool refused) {
    vm& v = vms_[n];
    const booking& what = bookings_[id].what;
    const base::result<key> parsed = key::parse(what.key, secret);
    if (!parsed) {
        oracle_.violate(what, "key rejected: " + parsed.error().message);
        return;
    }
    const waiter_id waiter = v.next_waiter++;
    const keyed_request request{waiter, base::account_id(what.account), *parsed, base::fast_hash(what.body),
                                local(v) + deadline};
    v.waiting[waiter] = {id, 0, 0, 0};
    trace(n, "receives " + what.body + " with key " + what.key + " of " + what.account);
    if (options_.way == approach::write_per_request) {
        write_and_run(n, request);
    } else if (!v.owner->owns(parsed->prefix)) {
        forward(n, request);
    } else if (refused) {
        tell_owner(
            n, refusal_asked{request,
                             {base::problem_kind::limit_exceeded, base::outcome::not_run, "over the limit"}});
    } else {
        tell_owner(n, arrived{request});
    }
}

void world::forward(std::size_t n, const keyed_request& request) {
    vm& v = vms_[n];
    const std::uint64_t id = v.next_forward++;
    const std::uint64_t epoch = v.epoch;
    const auto target = static_cast<std::size_t>(request.key.prefix.peer_address.ip[3] - 1);
    v.forwards[id] = {request, target};
    const base::duration left = request.deadline - local(v);
    // Without time for a connection and a seal, a seal would only harm a live owner.
    const bool can_seal = left >= connect_timeout + seal_reserve;
    base::duration timeout = can_seal ? left - seal_reserve : std::max(left, base::duration(0));
    if (vms_[target].up) {
        transmit([this, n, epoch, id, target, request, left] {
            deliver_forward(n, epoch, id, target, request, left);
        });
    } else {
        timeout = std::min(timeout, connect_timeout);
    }
    after(timeout, [this, n, epoch, id] { input(n, epoch, [this, n, id] { forward_failed(n, id); }); });
}

void world::deliver_forward(std::size_t n, std::uint64_t epoch, std::uint64_t id, std::size_t target,
                            const keyed_request& sent, base::duration left) {
    // The sender may have given up or died meanwhile; the message still arrives.
    input(target, vms_[target].epoch, [this, n, epoch, id, target, request = sent, left]() mutable {
        vm& v = vms_[target];
        if (!v.owner->owns(request.key.prefix)) {
            transmit([this, n, epoch, id] { input(n, epoch, [this, n, id] { forward_failed(n, id); }); });
            return;
        }
        request.waiter = v.next_waiter++;
        request.deadline = local(v) + left;
        v.waiting[request.waiter] = {std::nullopt, n, epoch, id};
        tell_owner(target, arrived{request});
    });
}

void world::forward_failed(std::size_t n, std::uint64_t id) {
    vm& v = vms_[n];
    const auto it = v.forwards.find(id);
    if (it == v.forwards.end()) {
        return;
    }
    const keyed_request request = it->second.request;
    v.forwards.erase(it);
    if (options_.way == approach::incarnation_only) {
        reply(n, request.waiter,
              problem(base::problem_kind::owner_unreachable, base::outcome::unknown, "no record"));
        return;
    }
    tell_successor(n, owner_lost{request});
}

void world::forward_replied(std::size_t n, std::uint64_t id, const ledger::reply& given) {
    vm& v = vms_[n];
    const auto it = v.forwards.find(id);
    if (it == v.forwards.end()) {
        return;
    }
    const waiter_id waiter = it->second.request.waiter;
    v.forwards.erase(it);
    reply(n, waiter, given);
}

void world::reply(std::size_t n, waiter_id waiter, const ledger::reply& given) {
    vm& v = vms_[n];
    const auto it = v.waiting.find(waiter);
    if (it == v.waiting.end()) {
        oracle_.violate({}, "a request was replied twice");
        return;
    }
    const reply_target target = it->second;
    v.waiting.erase(it);
    output(n, [this, target, given] {
        transmit([this, target, given] {
            if (target.booking) {
                told(*target.booking, given);
                return;
            }
            input(target.vm, target.epoch,
                  [this, target, given] { forward_replied(target.vm, target.forward, given); });
        });
    });
}

std::size_t world::waiting() const {
    std::size_t count = 0;
    for (const vm& v : vms_) {
        count += v.waiting.size();
    }
    return count;
}

void world::tell_owner(std::size_t n, const owner_event& event) {
    vm& v = vms_[n];
    for (const owner_action& action : v.owner->handle(event, local(v))) {
        std::visit(
            [this, n]<class Action>(const Action& it) {
                if constexpr (std::is_same_v<Action, make_call>) {
                    call_platform(n, it, true);
                } else {
                    perform(n, it);
                }
            },
            action);
    }
    arm(n);
}

void world::tell_successor(std::size_t n, const successor_event& event) {
    vm& v = vms_[n];
    for (const successor_action& action : v.successor->handle(event, local(v))) {
        if (const make_call* call = std::get_if<make_call>(&action)) {
            call_platform(n, *call, false);
        } else {
            perform(n, std::get<send_reply>(action));
        }
    }
    arm(n);
}

void world::arm(std::size_t n) {
    vm& v = vms_[n];
    if (!v.up || v.paused) {
        return;
    }
    const std::uint64_t epoch = v.epoch;
    const auto arm_one = [this, n, epoch, &v](base::time_point due, base::time_point& armed, auto wake) {
        if (due == base::time_point::max() || (armed <= due && armed > local(v))) {
            return;
        }
        // A wake-up that is due at once would hide a loop, so time moves on a little.
        armed = std::max(due, local(v) + std::chrono::microseconds(50));
        after(armed - local(v), [this, n, epoch, wake] { input(n, epoch, wake); });
    };
    arm_one(v.owner->next_wakeup(), v.owner_wake, [this, n] { tell_owner(n, woken{}); });
    arm_one(v.successor->next_wakeup(), v.successor_wake, [this, n] { tell_successor(n, woken{}); });
}

void world::perform(std::size_t n, const send_reply& action) {
    trace(n, "replies to request " + std::to_string(action.waiter) + ": " + outcome_text(action.reply));
    reply(n, action.waiter, action.reply);
}

void world::perform(std::size_t n, const stopped& /*action*/) {
    trace(n, "has stopped");
    output(n, [this, n] { kill(n); });
}

void world::perform(std::size_t n, const start_run& action) {
    vm& v = vms_[n];
    const std::uint64_t epoch = v.epoch;
    const run_id run = action.run;
    v.runs.insert(run);
    trace(n, "starts run " + std::to_string(run));
    // The body travels with the request; here it is found again by the hash.
    booking what;
    for (const sent_booking& it : bookings_) {
        const std::size_t dot = it.what.key.find('.');
        if (it.what.account == action.request.account.text() &&
            base::fast_hash(it.what.body) == action.request.body_hash &&
            it.what.key.substr(dot + 1) == action.request.key.caller_part &&
            it.what.key.substr(0, dot) == action.request.key.prefix.text(secret)) {
            what = it.what;
        }
    }
    after(std::max(action.request.deadline - local(v), base::duration(0)), [this, n, epoch, run] {
        run_ended_at(n, epoch, run,
                     problem(base::problem_kind::deadline_exceeded, base::outcome::unknown, "no answer"));
    });
    output(n, [this, n, epoch, run, what] {
        if (endpoint_faulty_ && chance(0.1)) {
            run_ended_at(n, epoch, run,
                         problem(base::problem_kind::no_endpoint, base::outcome::not_run, "refused"));
            return;
        }
        const bool slow = endpoint_faulty_ && chance(0.2);
        after(draw(std::chrono::microseconds(200),
                   slow ? std::chrono::seconds(3) : std::chrono::milliseconds(2)),
              [this, n, epoch, run, what] {
                  const answer given = oracle_.ran(what);
                  if (options_.trace != nullptr) {
                      trace_line("order desk runs " + what.body);
                  }
                  if (endpoint_faulty_ && chance(0.1)) {
                      run_ended_at(n, epoch, run,
                                   problem(base::problem_kind::stage_failed, base::outcome::unknown,
                                           "connection broke"));
                      return;
                  }
                  const bool late = endpoint_faulty_ && chance(0.2);
                  after(draw(std::chrono::milliseconds(1),
                             late ? std::chrono::seconds(8) : std::chrono::milliseconds(20)),
                        [this, n, epoch, run, given] { run_ended_at(n, epoch, run, given); });
              });
    });
}

void world::run_ended_at(std::size_t n, std::uint64_t epoch, run_id run, const ledger::reply& given) {
    input(n, epoch, [this, n, run, given] {
        // Only the first end of a run reaches the ledger; the driver drops the others.
        if (vms_[n].runs.erase(run) > 0) {
            trace(n, "run " + std::to_string(run) + " ends: " + outcome_text(given));
            if (options_.way == approach::write_per_request) {
                vms_[n].run_ends[run](given);
            } else {
                tell_owner(n, run_ended{run, given});
            }
        }
    });
}

// The platform.

void world::call_platform(std::size_t n, const make_call& action, bool of_owner) {
    const call_id call = action.call;
    trace(n, (of_owner ? "owner calls " : "successor calls ") + call_text(action.request));
    const auto answered = [this, n, call, of_owner](const object_api::answer& given) {
        trace(n, std::string(of_owner ? "owner" : "successor") + " is answered " + answer_text(given));
        if (of_owner) {
            tell_owner(n, call_answered{call, given});
        } else {
            tell_successor(n, call_answered{call, given});
        }
    };
    if (options_.way == approach::incarnation_only) {
        after(platform_timeout, [this, n, epoch = vms_[n].epoch, answered] {
            input(n, epoch, [answered] { answered(no_answer()); });
        });
        return;
    }
    ask_platform(n, action.request, answered);
}

void world::ask_platform(std::size_t n, const object_api::call& request,
                         const std::function<void(const object_api::answer&)>& then) {
    auto is_answered = std::make_shared<bool>(false);
    const auto answer = [this, n, epoch = vms_[n].epoch, then, is_answered](const object_api::answer& given) {
        if (!std::exchange(*is_answered, true)) {
            input(n, epoch, [then, given] { then(given); });
        }
    };
    after(platform_timeout, [answer] { answer(no_answer()); });
    output(n, [this, request, answer] {
        if (mode_ == platform_mode::down) {
            after(draw(std::chrono::milliseconds(1), platform_timeout), [answer] { answer(no_answer()); });
            return;
        }
        const bool late = mode_ != platform_mode::up && chance(0.15);
        const base::duration longest = late ? std::chrono::milliseconds(3000) : std::chrono::milliseconds(3);
        after(draw(std::chrono::milliseconds(1), longest),
              [this, request, answer] { answer_of_platform(request, answer); });
    });
}

void world::answer_of_platform(const object_api::call& request,
                               const std::function<void(const object_api::answer&)>& answer) {
    const bool lost = mode_ == platform_mode::losing_answers && (options_.fixed_delays || chance(0.5));
    const bool old = mode_ == platform_mode::old_copies && chance(0.5);
    const bool slow = mode_ == platform_mode::slow && chance(0.5);
    const object_api::answer given =
        platform_.apply(request, old ? std::optional(random_.bits()) : std::nullopt);
    if (!lost) {
        const base::duration longest = slow ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(2);
        after(draw(std::chrono::microseconds(500), longest), [answer, given] { answer(given); });
    }
}

// Text of sessions.

void world::trace(std::size_t n, const std::string& text) {
    if (options_.trace != nullptr) {
        trace_line("vm" + std::to_string(n + 1) + " " + text);
    }
}

void world::trace_line(const std::string& text) {
    if (silent_) {
        ++left_out_;
        return;
    }
    const double elapsed = base::to_milliseconds(now_ - base::time_point(std::chrono::hours(24)));
    std::ostringstream line;
    line << std::fixed << std::setprecision(1) << elapsed << " ms ";
    *options_.trace << line.str() << readable(text) << '\n';
}

void world::silence(bool silent) {
    silent_ = silent;
    if (!silent) {
        *options_.trace << "(" << left_out_ << " lines left out)\n";
        left_out_ = 0;
    }
}

void world::remark(const std::string& text) {
    *options_.trace << "# " << text << '\n';
}

std::string world::readable(std::string text) {
    // Random identities and hashes become numbered names, so that a session reads well.
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (std::size_t n = 0; n < text.size();) {
        const std::size_t end = std::min(text.find_first_not_of(digits, n), text.size());
        const std::string run = text.substr(n, end - n);
        const char* kind = run.size() == 32 ? "<hash " : run.size() == 24 ? "<ledger " : "<code ";
        if (run.size() == 32 || run.size() == 24 || run.size() == 16) {
            out += names_.try_emplace(run, kind + std::to_string(names_.size() + 1) + ">").first->second;
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

// Conditional write per request: the alternative that section 4.1 compares with. The object holds
// the body, a random number that settles a lost answer, and the reply once there is one.

void world::write_and_run(std::size_t n, const keyed_request& request) {
    const std::string name = internal::key_hash(request).text();
    const std::string number = std::to_string(random_.bits());
    const object_api::object_key object{"requests", name};
    ask_platform(n, object_api::write_object{object, std::nullopt, request.body_hash.text() + number},
                 [this, n, request, object, number](const object_api::answer& given) {
                     if (const auto* written = std::get_if<object_api::written>(&given)) {
                         run_written(n, request, object, written->version);
                     } else {
                         read_written(n, request, object, number);
                     }
                 });
}

void world::read_written(std::size_t n, const keyed_request& request, const object_api::object_key& object,
                         const std::string& number) {
    constexpr base::duration pause = std::chrono::milliseconds(50);
    if (request.deadline <= local(vms_[n])) {
        reply(n, request.waiter, problem(base::problem_kind::deadline_exceeded, base::outcome::unknown, ""));
        return;
    }
    ask_platform(n, object_api::read_object{object}, [=, this](const object_api::answer& given) {
        const auto* found = std::get_if<object_api::object>(&given);
        const std::string body = request.body_hash.text();
        if (found == nullptr) {
            after(pause, [=, this, epoch = vms_[n].epoch] {
                input(n, epoch, [=, this] { read_written(n, request, object, number); });
            });
        } else if (found->value == body + number) {
            run_written(n, request, object, found->version);
        } else if (found->value.substr(0, body.size()) != body) {
            reply(n, request.waiter,
                  problem(base::problem_kind::idempotency_key_reused, base::outcome::not_run, "other body"));
        } else if (const std::size_t end = found->value.find(':'); end != std::string::npos) {
            reply(n, request.waiter, answer{200, found->value.substr(end + 1)});
        } else {
            after(pause, [=, this, epoch = vms_[n].epoch] {
                input(n, epoch, [=, this] { read_written(n, request, object, number); });
            });
        }
    });
}

void world::run_written(std::size_t n, const keyed_request& request, const object_api::object_key& object,
                        std::uint64_t version) {
    const run_id run = vms_[n].next_run++;
    vms_[n].run_ends[run] = [this, n, request, object, version](const ledger::reply& given) {
        if (const answer* whole = std::get_if<answer>(&given)) {
            ask_platform(
                n, object_api::write_object{object, version, request.body_hash.text() + ":" + whole->body},
                [](const object_api::answer&) {});
        }
        reply(n, request.waiter, given);
    };
    perform(n, start_run{run, request});
}

} // namespace rattanbay::ledger::test
