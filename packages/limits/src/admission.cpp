#include <rattanbay/limits/admission.hpp>

#include <cassert>
#include <iterator>

namespace rattanbay::limits {

admission_controller::admission_controller(std::size_t max_running, std::size_t max_waiting)
    : max_running_(max_running)
    , max_waiting_(max_waiting) {
    assert(max_running > 0);
}

admission_decisions admission_controller::configure(std::size_t max_running, std::size_t max_waiting) {
    assert(max_running > 0);
    const std::lock_guard lock(mutex_);
    max_running_ = max_running;
    max_waiting_ = max_waiting;
    admission_decisions decisions;
    start_waiting(decisions);
    refuse_excess(decisions);
    return decisions;
}

admission_decisions admission_controller::submit(const base::request_id& id, const base::account_id& account,
                                                 base::time_point deadline, base::time_point now,
                                                 base::duration min_run_time) {
    const std::lock_guard lock(mutex_);
    assert(!requests_.contains(id));
    admission_decisions decisions;
    refuse_expired(now, decisions);
    enqueue(id, account, {deadline - min_run_time, ++arrival_count_});
    refuse_expired(now, decisions);
    start_waiting(decisions);
    refuse_excess(decisions);
    return decisions;
}

admission_decisions admission_controller::finish(const base::request_id& id, base::time_point now) {
    const std::lock_guard lock(mutex_);
    admission_decisions decisions;
    const auto it = requests_.find(id);
    if (it == requests_.end()) {
        return decisions;
    }
    if (it->second.key) {
        remove_waiting(id);
        return decisions;
    }
    const base::account_id account = it->second.account;
    requests_.erase(it);
    account_queue& queue = accounts_.at(account);
    grant_order_.erase(grant_key_of(account));
    --queue.running;
    --running_;
    if (!queue.waiting.empty()) {
        grant_order_.insert(grant_key_of(account));
    }
    remove_if_idle(account);
    refuse_expired(now, decisions);
    start_waiting(decisions);
    return decisions;
}

admission_decisions admission_controller::expire(base::time_point now) {
    const std::lock_guard lock(mutex_);
    admission_decisions decisions;
    refuse_expired(now, decisions);
    return decisions;
}

std::optional<base::time_point> admission_controller::next_expiry() const {
    const std::lock_guard lock(mutex_);
    if (waiting_.empty()) {
        return std::nullopt;
    }
    // A request may still start exactly at its latest start; it expires one clock tick later.
    return waiting_.begin()->first.first + base::duration(1);
}

std::size_t admission_controller::running() const {
    const std::lock_guard lock(mutex_);
    return running_;
}

std::size_t admission_controller::waiting() const {
    const std::lock_guard lock(mutex_);
    return waiting_.size();
}

void admission_controller::enqueue(const base::request_id& id, const base::account_id& account,
                                   const queue_key& key) {
    account_queue& queue = accounts_[account];
    queue_lengths_.erase({queue.waiting.size(), account});
    queue.waiting.emplace(key, id);
    queue_lengths_.emplace(queue.waiting.size(), account);
    grant_order_.insert(grant_key_of(account));
    waiting_.emplace(key, id);
    requests_.emplace(id, request_state{account, key});
}

void admission_controller::remove_waiting(const base::request_id& id) {
    const auto it = requests_.find(id);
    const base::account_id account = it->second.account;
    const queue_key key = *it->second.key;
    requests_.erase(it);
    waiting_.erase(key);
    account_queue& queue = accounts_.at(account);
    queue_lengths_.erase({queue.waiting.size(), account});
    queue.waiting.erase(key);
    if (queue.waiting.empty()) {
        grant_order_.erase(grant_key_of(account));
    } else {
        queue_lengths_.emplace(queue.waiting.size(), account);
    }
    remove_if_idle(account);
}

void admission_controller::refuse_expired(base::time_point now, admission_decisions& decisions) {
    while (!waiting_.empty() && waiting_.begin()->first.first < now) {
        const base::request_id id = waiting_.begin()->second;
        remove_waiting(id);
        decisions.refuse.push_back(id);
    }
}

void admission_controller::refuse_excess(admission_decisions& decisions) {
    while (waiting_.size() > max_waiting_) {
        const account_queue& longest = accounts_.at(std::prev(queue_lengths_.end())->second);
        const base::request_id id = std::prev(longest.waiting.end())->second;
        remove_waiting(id);
        decisions.refuse.push_back(id);
    }
}

void admission_controller::start_waiting(admission_decisions& decisions) {
    while (running_ < max_running_ && !grant_order_.empty()) {
        const base::account_id account = std::get<base::account_id>(*grant_order_.begin());
        start(accounts_.at(account).waiting.begin()->second, decisions);
    }
}

void admission_controller::start(base::request_id id, admission_decisions& decisions) {
    const base::account_id account = requests_.at(id).account;
    account_queue& queue = accounts_.at(account);
    grant_order_.erase(grant_key_of(account));
    // Increment before the removal, so that remove_waiting does not remove the account as idle.
    ++queue.running;
    ++running_;
    queue.last_grant = ++grant_count_;
    remove_waiting(id);
    requests_.emplace(id, request_state{account, std::nullopt});
    if (!queue.waiting.empty()) {
        grant_order_.insert(grant_key_of(account));
    }
    decisions.start.push_back(id);
}

admission_controller::grant_key admission_controller::grant_key_of(const base::account_id& account) const {
    const account_queue& queue = accounts_.at(account);
    return {queue.running, queue.last_grant, account};
}

void admission_controller::remove_if_idle(const base::account_id& account) {
    const auto it = accounts_.find(account);
    if (it->second.running == 0 && it->second.waiting.empty()) {
        accounts_.erase(it);
    }
}

} // namespace rattanbay::limits
