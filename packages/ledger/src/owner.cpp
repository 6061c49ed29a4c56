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
using internal::pending_key;
using internal::record_state;

/// Maximum time that a shutdown waits for the record to be sealed.
constexpr base::duration stop_timeout = std::chrono::seconds(2);

/// Maximum random delay between the loss of a record and the creation of the next one.
constexpr base::duration max_rotation_delay = std::chrono::milliseconds(200);

base::problem not_run(base::problem_kind kind, std::string detail) {
    return {kind, base::outcome::not_run, std::move(detail)};
}

base::problem unknown(base::problem_kind kind, std::string detail) {
    return {kind, base::outcome::unknown, std::move(detail)};
}

/// Deadline of one waiting request or, without a waiter, of the commit of a key.
struct key_timer {
    base::time_point due_time;
    entry_id id;
    std::optional<waiter_id> waiter;

    friend auto operator<=>(const key_timer&, const key_timer&) = default;
};

} // namespace

class owner::impl {
public:
    impl(owner_options options, base::random_source random, base::time_point now)
        : options_(std::move(options))
        , random_(random)
        , windows_(options_.window_length, options_.retention, now)
        , committer_(new_committer(now)) {}

    std::vector<owner_action> handle(const owner_event& event, base::time_point now) {
        now_ = now;
        advance_windows();
        handle_due_timers();
        std::visit([this](const auto& alternative) { handle_event(alternative); }, event);
        process_record_state();
        make_due_call();
        return std::exchange(actions_, {});
    }

    base::time_point next_wakeup() const {
        base::time_point due = std::min(windows_.next_window_start(), committer_.next_call_time());
        if (!timers_.empty()) {
            due = std::min(due, timers_.begin()->due_time);
        }
        return stop_deadline_ ? std::min(due, *stop_deadline_) : due;
    }

    key_prefix current_prefix() const {
        return prefix(committer_.is_writable() ? record_class::recorded : record_class::unrecorded);
    }

    bool owns(const key_prefix& prefix) const {
        return prefix.incarnation == committer_.ledger() || previous_ledgers_.contains(prefix.incarnation);
    }

private:
    group_committer new_committer(base::time_point now) {
        return {base::incarnation::generate(random_), options_.commit_interval,
                options_.segment_threshold_bytes, windows_.first_window(), now};
    }

    key_prefix prefix(record_class recording) const {
        return {recording, committer_.ledger(), windows_.current_window(), options_.peer_address};
    }

    void handle_event(const request_arrived& event) { handle_request(event.request, std::nullopt); }

    void handle_event(const refusal_requested& event) { handle_request(event.request, event.reason); }

    void handle_event(const run_ended& event) {
        const auto it = runs_.find(event.run);
        if (it == runs_.end()) {
            return;
        }
        const entry_id id = it->second;
        runs_.erase(it);
        complete_key(id, *windows_.find(id), event.reply);
    }

    void handle_event(const call_answered& event) {
        // Ignores late answers to calls of previous ledgers.
        if (call_in_flight_ == event.call) {
            call_in_flight_.reset();
            committer_.handle_answer(event.answer, now_, random_);
        }
    }

    void handle_event(const timer_expired& /*event*/) {}

    void handle_event(const stop_requested& /*event*/) {
        if (stopping_) {
            return;
        }
        stopping_ = true;
        stop_deadline_ = now_ + stop_timeout;
        refuse_uncommitted_keys(not_run(base::problem_kind::not_ready, "the VM is stopping"));
        committer_.request_seal();
    }

    /// Handles a request, which is refused if `refusal` is set and the key is new.
    void handle_request(const keyed_request& request, const std::optional<base::problem>& refusal) {
        const std::uint64_t window = request.key.prefix.window;
        if (!owns(request.key.prefix) || window > windows_.current_window()) {
            queue_reply(request.waiter, unknown(base::problem_kind::owner_unreachable,
                                                "this VM did not hand out the key prefix"));
            return;
        }
        if (window < windows_.first_window()) {
            queue_reply(request.waiter, unknown(base::problem_kind::invalid_idempotency_key,
                                                "the window of the key is past its retention"));
            return;
        }
        const entry_id id{window, internal::key_hash(request)};
        if (key_entry* seen = windows_.find(id)) {
            handle_known_key(id, *seen, request);
            return;
        }
        if (const std::optional<base::problem> reason = new_key_problem(request.key.prefix)) {
            queue_reply(request.waiter, *reason);
            return;
        }
        handle_new_key(id, request, refusal);
    }

    /// Reason why a key that was not seen before can never run. Such a refusal need not be stored.
    std::optional<base::problem> new_key_problem(const key_prefix& prefix) const {
        if (!windows_.accepts_new_keys(prefix.window)) {
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

    void handle_known_key(const entry_id& id, key_entry& entry, const keyed_request& request) {
        if (entry.body_hash != request.body_hash) {
            queue_reply(request.waiter, not_run(base::problem_kind::idempotency_key_reused,
                                                "the idempotency key was used with another body"));
            return;
        }
        if (entry.reply) {
            queue_reply(request.waiter, *entry.reply);
            return;
        }
        add_waiter(id, *entry.pending, request);
    }

    void handle_new_key(const entry_id& id, const keyed_request& request,
                        const std::optional<base::problem>& refusal) {
        key_entry& entry = windows_.insert(id, request.body_hash);
        entry.pending = std::make_unique<pending_key>();
        entry.pending->request = request;
        if (refusal) {
            base::problem reason = *refusal;
            reason.outcome = base::outcome::not_run;
            entry.pending->waiting.push_back({request.waiter, request.deadline});
            complete_key(id, entry, reason);
            return;
        }
        if (request.deadline <= now_) {
            entry.pending->waiting.push_back({request.waiter, request.deadline});
            complete_key(id, entry,
                         not_run(base::problem_kind::deadline_exceeded, "the deadline has passed"));
            return;
        }
        add_waiter(id, *entry.pending, request);
        if (request.key.prefix.recording == record_class::recorded) {
            entry.pending->position = committer_.append({id.key_hash, request.body_hash, id.window, {}});
            entry.pending->commit_deadline = std::min(now_ + options_.commit_timeout, request.deadline);
            timers_.insert({entry.pending->commit_deadline, id, std::nullopt});
            uncommitted_keys_.push_back({*entry.pending->position, id});
        } else {
            begin_run(id, *entry.pending);
        }
    }

    void add_waiter(const entry_id& id, pending_key& pending, const keyed_request& request) {
        if (request.deadline <= now_) {
            queue_reply(request.waiter, deadline_passed());
            return;
        }
        pending.waiting.push_back({request.waiter, request.deadline});
        timers_.insert({request.deadline, id, request.waiter});
    }

    static base::problem deadline_passed() {
        return unknown(base::problem_kind::deadline_exceeded, "the deadline passed before the run ended");
    }

    void begin_run(const entry_id& id, pending_key& pending) {
        pending.running = true;
        runs_.emplace(next_run_, id);
        actions_.emplace_back(start_run{next_run_, pending.request});
        ++next_run_;
    }

    /// Stores the reply of a key and sends it to all waiting requests.
    void complete_key(const entry_id& id, key_entry& entry, const ledger::reply& final_reply) {
        const std::unique_ptr<pending_key> pending = std::move(entry.pending);
        entry.reply = final_reply;
        if (!pending->running && pending->position) {
            timers_.erase({pending->commit_deadline, id, std::nullopt});
        }
        for (const internal::waiting_request& it : pending->waiting) {
            timers_.erase({it.deadline, id, it.waiter});
            queue_reply(it.waiter, final_reply);
        }
        // A refusal is written to the record only if the record may already contain an entry for the key.
        const bool may_be_recorded = pending->position.has_value();
        if ((pending->running || may_be_recorded) &&
            pending->request.key.prefix.incarnation == committer_.ledger()) {
            committer_.append_reply({id.key_hash, entry.body_hash, id.window, final_reply});
        }
    }

    void queue_reply(waiter_id waiter, ledger::reply message) {
        if (base::problem* problem = std::get_if<base::problem>(&message)) {
            if (problem->kind == base::problem_kind::record_unavailable) {
                problem->retry_key_prefix =
                    prefix(record_class::unrecorded).signed_text(options_.cluster_secret);
            }
        }
        actions_.emplace_back(send_reply{waiter, std::move(message)});
    }

    void advance_windows() {
        windows_.advance(now_);
        while (std::optional<internal::key_entries> expired = windows_.take_expired()) {
            for (auto& [hash, entry] : *expired) {
                expire_key(hash, entry);
            }
        }
        committer_.drop_windows_before(windows_.first_window());
    }

    /// Drops the run of a key whose window expired and replies to its waiting requests.
    void expire_key(const base::hash128& hash, key_entry& entry) {
        if (!entry.pending) {
            return;
        }
        const entry_id id{entry.pending->request.key.prefix.window, hash};
        std::erase_if(runs_, [&id](const auto& run) { return run.second == id; });
        std::erase_if(timers_, [&id](const key_timer& timer) { return timer.id == id; });
        for (const internal::waiting_request& it : entry.pending->waiting) {
            queue_reply(it.waiter, deadline_passed());
        }
    }

    void handle_due_timers() {
        while (!timers_.empty() && timers_.begin()->due_time <= now_) {
            const key_timer timer = *timers_.begin();
            timers_.erase(timers_.begin());
            handle_timer(timer);
        }
    }

    void handle_timer(const key_timer& timer) {
        key_entry& entry = *windows_.find(timer.id);
        if (!timer.waiter) {
            const bool late = entry.pending->request.deadline <= now_;
            complete_key(timer.id, entry,
                         late ? not_run(base::problem_kind::deadline_exceeded,
                                        "the deadline passed before the key was recorded")
                              : not_run(base::problem_kind::record_unavailable,
                                        "the key could not be recorded in time"));
            return;
        }
        std::erase_if(entry.pending->waiting, [&timer](const internal::waiting_request& it) {
            return it.waiter == *timer.waiter && it.deadline == timer.due_time;
        });
        queue_reply(*timer.waiter, deadline_passed());
    }

    /// Runs the keys whose entries are committed, finishes a shutdown, and replaces a lost record.
    void process_record_state() {
        while (!uncommitted_keys_.empty() &&
               uncommitted_keys_.front().first <= committer_.committed_position()) {
            const entry_id id = uncommitted_keys_.front().second;
            uncommitted_keys_.pop_front();
            key_entry* entry = windows_.find(id);
            // The key may have been refused or its window may have expired while the commit was pending.
            if (entry != nullptr && entry->pending && !entry->pending->running) {
                timers_.erase({entry->pending->commit_deadline, id, std::nullopt});
                begin_run(id, *entry->pending);
            }
        }
        if (stop_deadline_ && (committer_.state() != record_state::open || now_ >= *stop_deadline_)) {
            stop_deadline_.reset();
            actions_.emplace_back(stopped{});
        }
        if (committer_.state() == record_state::lost && !stopping_) {
            rotate_ledger();
        }
    }

    void rotate_ledger() {
        previous_ledgers_.insert(committer_.ledger());
        call_in_flight_.reset();
        // Spreads the creation of new ledgers over time if the platform wrongly reports all heads as absent.
        const base::duration delay(static_cast<base::duration::rep>(
            random_.below(static_cast<std::uint64_t>(max_rotation_delay.count()))));
        committer_ = new_committer(now_ + delay);
        refuse_uncommitted_keys(
            not_run(base::problem_kind::record_unavailable, "the record of the key is sealed"));
    }

    /// Refuses all keys whose entries are not committed yet.
    void refuse_uncommitted_keys(const base::problem& reason) {
        for (const auto& [position, id] : std::exchange(uncommitted_keys_, {})) {
            key_entry* entry = windows_.find(id);
            if (entry != nullptr && entry->pending && !entry->pending->running) {
                complete_key(id, *entry, reason);
            }
        }
    }

    void make_due_call() {
        if (call_in_flight_) {
            return;
        }
        if (std::optional<object_api::call> call = committer_.next_call(now_, random_)) {
            call_in_flight_ = next_call_++;
            actions_.emplace_back(make_call{*call_in_flight_, std::move(*call)});
        }
    }

    owner_options options_;
    base::random_source random_;
    base::time_point now_;
    internal::window_table windows_;
    group_committer committer_;
    /// Earlier ledgers of this process. Their known keys are answered from memory; new keys are refused.
    std::set<base::incarnation> previous_ledgers_;
    /// Keys whose entries are not committed yet, by position.
    std::deque<std::pair<std::uint64_t, entry_id>> uncommitted_keys_;
    std::map<run_id, entry_id> runs_;
    std::set<key_timer> timers_;
    run_id next_run_ = 1;
    call_id next_call_ = 1;
    /// The platform call in flight for the current ledger.
    std::optional<call_id> call_in_flight_;
    bool stopping_ = false;
    std::optional<base::time_point> stop_deadline_;
    std::vector<owner_action> actions_;
};

owner::owner(owner_options options, base::random_source random, base::time_point now)
    : impl_(std::make_unique<impl>(std::move(options), random, now)) {}

owner::owner(owner&&) noexcept = default;
owner& owner::operator=(owner&&) noexcept = default;
owner::~owner() = default;

std::vector<owner_action> owner::handle(const owner_event& event, base::time_point now) {
    return impl_->handle(event, now);
}

base::time_point owner::next_wakeup() const {
    return impl_->next_wakeup();
}

key_prefix owner::current_prefix() const {
    return impl_->current_prefix();
}

bool owner::owns(const key_prefix& prefix) const {
    return impl_->owns(prefix);
}

} // namespace rattanbay::ledger
