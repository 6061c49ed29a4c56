#include "internal/group_committer.hpp"
#include "internal/record.hpp"
#include "internal/window_table.hpp"

#include <rattanbay/ledger/owner.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace rattanbay::ledger {

namespace {

using internal::entry_id;
using internal::group_committer;
using internal::key_entry;
using internal::open_key;
using internal::record_condition;

/// Longest time that a stop waits for the seal.
constexpr base::duration stop_limit = std::chrono::seconds(2);

/// Longest time between the loss of a record and the creation of the next.
constexpr base::duration longest_retire_pause = std::chrono::milliseconds(200);

base::problem not_run(base::problem_kind kind, std::string detail) {
    return {kind, base::outcome::not_run, std::move(detail)};
}

base::problem unknown(base::problem_kind kind, std::string detail) {
    return {kind, base::outcome::unknown, std::move(detail)};
}

/// Due time of an open key: of one waiting request, or of the key's commit.
struct key_timer {
    base::time_point at;
    entry_id id;
    std::optional<waiter_id> waiter;

    friend auto operator<=>(const key_timer&, const key_timer&) = default;
};

} // namespace

class owner::state {
public:
    state(owner_options options, base::random_source random, base::time_point now)
        : options_(std::move(options))
        , random_(random)
        , windows_(options_.window, options_.retention, now)
        , committer_(new_committer(now)) {}

    std::vector<owner_action> handle(const owner_event& happened, base::time_point now) {
        now_ = now;
        advance_windows();
        fire_timers();
        std::visit([this](const auto& event) { on(event); }, happened);
        follow_record();
        make_due_call();
        return std::exchange(actions_, {});
    }

    base::time_point next_wakeup() const {
        base::time_point due = std::min(windows_.next_boundary(), committer_.due());
        if (!timers_.empty()) {
            due = std::min(due, timers_.begin()->at);
        }
        return stop_due_ ? std::min(due, *stop_due_) : due;
    }

    key_prefix current_prefix() const {
        return prefix(committer_.writable() ? record_class::recorded : record_class::unrecorded);
    }

    bool owns(const key_prefix& prefix) const {
        return prefix.incarnation == committer_.ledger() || retired_.contains(prefix.incarnation);
    }

private:
    group_committer new_committer(base::time_point now) {
        return {base::incarnation::generate(random_), options_.commit_interval, options_.segment_bytes,
                windows_.first(), now};
    }

    key_prefix prefix(record_class recording) const {
        return {recording, committer_.ledger(), windows_.current(), options_.peer_address};
    }

    void on(const arrived& event) { take(event.request, std::nullopt); }

    void on(const refusal_asked& event) { take(event.request, event.reason); }

    void on(const run_ended& event) {
        const auto it = runs_.find(event.run);
        if (it == runs_.end()) {
            return;
        }
        const entry_id id = it->second;
        runs_.erase(it);
        settle(id, *windows_.find(id), event.reply);
    }

    void on(const call_answered& event) {
        // Calls of retired ledgers are answered late and change nothing.
        if (call_ == event.call) {
            call_.reset();
            committer_.answered(event.answer, now_, random_);
        }
    }

    void on(const woken& /*event*/) {}

    void on(const stop_asked& /*event*/) {
        if (stopping_) {
            return;
        }
        stopping_ = true;
        stop_due_ = now_ + stop_limit;
        refuse_recording(not_run(base::problem_kind::not_ready, "the VM is stopping"));
        committer_.seal();
    }

    /// Takes a request, or its refusal when there is a reason for one.
    void take(const keyed_request& request, const std::optional<base::problem>& refusal) {
        const std::uint64_t window = request.key.prefix.window;
        if (!owns(request.key.prefix) || window > windows_.current()) {
            send(request.waiter,
                 unknown(base::problem_kind::owner_unreachable, "this VM did not hand out the key prefix"));
            return;
        }
        if (window < windows_.first()) {
            send(request.waiter, unknown(base::problem_kind::invalid_idempotency_key,
                                         "the window of the key is past its retention"));
            return;
        }
        const entry_id id{window, internal::key_hash(request)};
        if (key_entry* seen = windows_.find(id)) {
            take_again(id, *seen, request);
            return;
        }
        if (const std::optional<base::problem> reason = closed_reason(request.key.prefix)) {
            send(request.waiter, *reason);
            return;
        }
        take_first(id, request, refusal);
    }

    /// Why a key that was not seen before can never run, although no refusal of it is stored.
    std::optional<base::problem> closed_reason(const key_prefix& prefix) const {
        if (!windows_.accepts(prefix.window)) {
            return not_run(base::problem_kind::invalid_idempotency_key,
                           "the window of the key takes no new requests");
        }
        if (stopping_) {
            return not_run(base::problem_kind::not_ready, "the VM is stopping");
        }
        if (prefix.incarnation != committer_.ledger()) {
            return not_run(base::problem_kind::record_unavailable, "the record of the key is sealed");
        }
        return std::nullopt;
    }

    void take_again(const entry_id& id, key_entry& entry, const keyed_request& request) {
        if (entry.body_hash != request.body_hash) {
            send(request.waiter, not_run(base::problem_kind::idempotency_key_reused,
                                         "the idempotency key was used with another body"));
            return;
        }
        if (entry.reply) {
            send(request.waiter, *entry.reply);
            return;
        }
        wait(id, *entry.open, request);
    }

    void take_first(const entry_id& id, const keyed_request& request,
                    const std::optional<base::problem>& refusal) {
        key_entry& entry = windows_.add(id, request.body_hash);
        entry.open = std::make_unique<open_key>();
        entry.open->request = request;
        if (refusal) {
            base::problem reason = *refusal;
            reason.outcome = base::outcome::not_run;
            entry.open->waiting.push_back({request.waiter, request.deadline});
            settle(id, entry, reason);
            return;
        }
        if (request.deadline <= now_) {
            entry.open->waiting.push_back({request.waiter, request.deadline});
            settle(id, entry, not_run(base::problem_kind::deadline_exceeded, "the deadline has passed"));
            return;
        }
        wait(id, *entry.open, request);
        if (request.key.prefix.recording == record_class::recorded) {
            entry.open->position = committer_.append({id.key_hash, request.body_hash, id.window, {}});
            entry.open->limit = std::min(now_ + options_.commit_limit, request.deadline);
            timers_.insert({entry.open->limit, id, std::nullopt});
            recording_.push_back({*entry.open->position, id});
        } else {
            run(id, *entry.open);
        }
    }

    void wait(const entry_id& id, open_key& open, const keyed_request& request) {
        if (request.deadline <= now_) {
            send(request.waiter, deadline_passed());
            return;
        }
        open.waiting.push_back({request.waiter, request.deadline});
        timers_.insert({request.deadline, id, request.waiter});
    }

    static base::problem deadline_passed() {
        return unknown(base::problem_kind::deadline_exceeded, "the deadline passed before the run ended");
    }

    void run(const entry_id& id, open_key& open) {
        open.running = true;
        runs_.emplace(next_run_, id);
        actions_.emplace_back(start_run{next_run_, open.request});
        ++next_run_;
    }

    /// Stores the reply of a key, then sends it to all that wait.
    void settle(const entry_id& id, key_entry& entry, const ledger::reply& settled) {
        const std::unique_ptr<open_key> open = std::move(entry.open);
        entry.reply = settled;
        if (!open->running && open->position) {
            timers_.erase({open->limit, id, std::nullopt});
        }
        for (const internal::waiting_request& it : open->waiting) {
            timers_.erase({it.deadline, id, it.waiter});
            send(it.waiter, settled);
        }
        // A refusal is only of use in the record where the entry of the key may be there already.
        const bool in_record = open->position.has_value();
        if ((open->running || in_record) && open->request.key.prefix.incarnation == committer_.ledger()) {
            committer_.append_reply({id.key_hash, entry.body_hash, id.window, settled});
        }
    }

    void send(waiter_id waiter, ledger::reply given) {
        if (base::problem* problem = std::get_if<base::problem>(&given)) {
            if (problem->kind == base::problem_kind::record_unavailable) {
                problem->retry_key_prefix = prefix(record_class::unrecorded).text(options_.cluster_secret);
            }
        }
        actions_.emplace_back(send_reply{waiter, std::move(given)});
    }

    void advance_windows() {
        windows_.advance(now_);
        while (std::optional<internal::key_entries> dropped = windows_.take_dropped()) {
            for (auto& [hash, entry] : *dropped) {
                drop(hash, entry);
            }
        }
        committer_.drop_below(windows_.first());
    }

    /// Ends what still waits for a key whose window is dropped.
    void drop(const base::hash128& hash, key_entry& entry) {
        if (!entry.open) {
            return;
        }
        const entry_id id{entry.open->request.key.prefix.window, hash};
        std::erase_if(runs_, [&id](const auto& run) { return run.second == id; });
        std::erase_if(timers_, [&id](const key_timer& timer) { return timer.id == id; });
        for (const internal::waiting_request& it : entry.open->waiting) {
            send(it.waiter, deadline_passed());
        }
    }

    void fire_timers() {
        while (!timers_.empty() && timers_.begin()->at <= now_) {
            const key_timer timer = *timers_.begin();
            timers_.erase(timers_.begin());
            fire(timer);
        }
    }

    void fire(const key_timer& timer) {
        key_entry& entry = *windows_.find(timer.id);
        if (!timer.waiter) {
            const bool late = entry.open->request.deadline <= now_;
            settle(timer.id, entry,
                   late ? not_run(base::problem_kind::deadline_exceeded,
                                  "the deadline passed before the key was recorded")
                        : not_run(base::problem_kind::record_unavailable,
                                  "the key could not be recorded in time"));
            return;
        }
        std::erase_if(entry.open->waiting, [&timer](const internal::waiting_request& it) {
            return it.waiter == *timer.waiter && it.deadline == timer.at;
        });
        send(*timer.waiter, deadline_passed());
    }

    /// Runs the keys whose entries are in the record, and leaves a record that takes no more.
    void follow_record() {
        while (!recording_.empty() && recording_.front().first <= committer_.confirmed()) {
            const entry_id id = recording_.front().second;
            recording_.pop_front();
            key_entry* entry = windows_.find(id);
            // The key may have been refused, and its window dropped, while the commit was pending.
            if (entry != nullptr && entry->open && !entry->open->running) {
                timers_.erase({entry->open->limit, id, std::nullopt});
                run(id, *entry->open);
            }
        }
        if (stop_due_ && (committer_.condition() != record_condition::open || now_ >= *stop_due_)) {
            stop_due_.reset();
            actions_.emplace_back(stopped{});
        }
        if (committer_.condition() == record_condition::lost && !stopping_) {
            retire();
        }
    }

    void retire() {
        retired_.insert(committer_.ledger());
        call_.reset();
        // Spreads the creation of new ledgers, in case reads wrongly say that the heads are gone.
        const base::duration pause(static_cast<base::duration::rep>(
            random_.below(static_cast<std::uint64_t>(longest_retire_pause.count()))));
        committer_ = new_committer(now_ + pause);
        refuse_recording(not_run(base::problem_kind::record_unavailable, "the record of the key is sealed"));
    }

    /// Refuses all keys that wait for a commit.
    void refuse_recording(const base::problem& reason) {
        for (const auto& [position, id] : std::exchange(recording_, {})) {
            key_entry* entry = windows_.find(id);
            if (entry != nullptr && entry->open && !entry->open->running) {
                settle(id, *entry, reason);
            }
        }
    }

    void make_due_call() {
        if (call_) {
            return;
        }
        if (std::optional<object_api::call> call = committer_.next_call(now_, random_)) {
            call_ = next_call_++;
            actions_.emplace_back(make_call{*call_, std::move(*call)});
        }
    }

    owner_options options_;
    base::random_source random_;
    base::time_point now_;
    internal::window_table windows_;
    group_committer committer_;
    /// Earlier ledgers of this process. Their keys are answered from memory and run no more.
    std::set<base::incarnation> retired_;
    /// Keys that wait for a commit, by position.
    std::deque<std::pair<std::uint64_t, entry_id>> recording_;
    std::map<run_id, entry_id> runs_;
    std::set<key_timer> timers_;
    run_id next_run_ = 1;
    call_id next_call_ = 1;
    /// The call in flight of the current ledger.
    std::optional<call_id> call_;
    bool stopping_ = false;
    std::optional<base::time_point> stop_due_;
    std::vector<owner_action> actions_;
};

owner::owner(owner_options options, base::random_source random, base::time_point now)
    : state_(std::make_unique<state>(std::move(options), random, now)) {}

owner::owner(owner&&) noexcept = default;
owner& owner::operator=(owner&&) noexcept = default;
owner::~owner() = default;

std::vector<owner_action> owner::handle(const owner_event& happened, base::time_point now) {
    return state_->handle(happened, now);
}

base::time_point owner::next_wakeup() const {
    return state_->next_wakeup();
}

key_prefix owner::current_prefix() const {
    return state_->current_prefix();
}

bool owner::owns(const key_prefix& prefix) const {
    return state_->owns(prefix);
}

} // namespace rattanbay::ledger
