#include <simulation.hpp>

#include <algorithm>
#include <limits>

namespace rattanbay::routing::experiment {

namespace {

using namespace std::chrono_literals;
using pipeline::attempt_purpose;
using pipeline::attempt_result;

constexpr base::duration request_deadline = 3s;
constexpr base::duration local_way = 250us;
/// Endpoints count their load this often, and the counts arrive this much later.
constexpr base::duration report_interval = 250ms;
constexpr base::duration report_lag = 300ms;
/// The VM list names a change of a failure domain this much later.
constexpr base::duration list_lag = 3s;
/// A head of a response is awaited this much longer than the expected time (section 5).
constexpr base::duration silence_limit = 1s;
/// The requests that the slowest service can hold at work, spread over the entry VMs, and half as many again.
constexpr std::size_t admission_bound = 32;
constexpr std::size_t admission_queue = 256;
constexpr std::uint32_t plain_attempts = 4;

const std::vector<std::string> pipeline_stages{"encoder", "retriever", "reranker", "writer"};
const std::vector<std::string> booking_stages{"desk"};

} // namespace

simulation::simulation(run_options options)
    : options_(std::move(options))
    , document_(make_document(options_.site, options_.cost_weight))
    , vm_list_(make_vm_list(options_.site)) {
    set_up();
}

measurements simulation::run() {
    for (const arrival& origin : make_arrivals(options_.site, options_.script, options_.seed)) {
        request work;
        work.origin = origin;
        work.vm = origin.entry_vm;
        work.deadline = origin.at + request_deadline;
        requests_.push_back(std::move(work));
    }
    for (std::uint64_t id = 0; id < requests_.size(); ++id) {
        events_.at(requests_[id].origin.at, [this, id] { arrive(id); });
    }
    schedule_faults();
    events_.after(report_interval, [this] { report_loads(); });
    events_.run();
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        result_.busy_us += endpoint->busy_us();
        result_.prefix_hits += endpoint->prefix_hits();
    }
    return std::move(result_);
}

void simulation::set_up() {
    for (const object_api::vm& listed : vm_list_.vms) {
        const auto plan =
            std::find_if(options_.site.services.begin(), options_.site.services.end(),
                         [&](const service_plan& one) { return one.name == listed.service.text(); });
        endpoint_numbers_.emplace(base::endpoint_id(listed.id.text()), endpoints_.size());
        endpoints_.push_back(std::make_unique<endpoint_model>(events_, listed, *plan));
    }
    listed_.assign(endpoints_.size(), true);
    for (std::size_t n = 0; n < options_.site.entry_vms; ++n) {
        auto vm = std::make_unique<entry_vm>();
        vm->domain = domain(n % options_.site.domains);
        vm->routes = std::make_unique<routing::router>(vm->domain);
        for (const auto& [name, service] : document_.services) {
            vm->retries[name].set_cost_weight(options_.cost_weight);
        }
        vm->accounts.configure(document_, options_.site.entry_vms);
        vm->admission = std::make_unique<limits::admission_controller>(admission_bound, admission_queue);
        vm->outstanding.assign(endpoints_.size(), 0);
        vm->random.emplace(options_.seed * options_.site.entry_vms + n);
        vms_.push_back(std::move(vm));
    }
    publish();
}

void simulation::schedule_faults() {
    const base::time_point begin{};
    for (const fault& wrong : options_.script.faults) {
        events_.at(begin + disturbed_from, [this, wrong] { set_fault(wrong, true); });
        events_.at(begin + disturbed_until, [this, wrong] { set_fault(wrong, false); });
    }
}

void simulation::set_fault(const fault& wrong, bool begins) {
    if (wrong.kind == fault_kind::lost_domain) {
        set_domain_lost(domain(wrong.number), begins);
        return;
    }
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        const bool meant = endpoint->listed.id.text() == wrong.service + std::to_string(wrong.number);
        if (wrong.kind == fault_kind::failing && endpoint->plan.name == wrong.service) {
            endpoint->failing_share = begins ? 0.5 : 0;
        } else if (wrong.kind == fault_kind::slow && meant) {
            endpoint->slowness = begins ? slow_factor : 1;
        } else if (wrong.kind == fault_kind::flapping && meant) {
            endpoint->refusing = begins;
        }
    }
    const bool goes_on = events_.now() < base::time_point{} + disturbed_until;
    if (wrong.kind == fault_kind::flapping && goes_on) {
        events_.after(1s, [this, wrong, begins] { set_fault(wrong, !begins); });
    }
}

void simulation::set_domain_lost(const base::failure_domain& domain, bool lost) {
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        if (endpoint->listed.failure_domain == domain) {
            endpoint->set_silent(lost);
        }
    }
    for (const std::unique_ptr<entry_vm>& vm : vms_) {
        vm->lost = lost && vm->domain == domain;
    }
    if (lost) {
        // The requests in progress on these VMs end with them.
        for (std::uint64_t id = 0; id < requests_.size(); ++id) {
            if (vm_of(requests_[id]).lost && requests_[id].running) {
                finish(id, false);
            }
        }
    }
    events_.after(list_lag, [this, domain, lost] {
        for (std::size_t n = 0; n < endpoints_.size(); ++n) {
            listed_[n] = !lost || endpoints_[n]->listed.failure_domain != domain;
        }
        publish();
    });
}

void simulation::publish() {
    object_api::vm_list list = vm_list_;
    std::erase_if(list.vms, [this](const object_api::vm& one) {
        return !listed_[endpoint_numbers_.at(base::endpoint_id(one.id.text()))];
    });
    const routing::endpoint_table table(list, document_);
    for (const std::unique_ptr<entry_vm>& vm : vms_) {
        vm->routes->publish(table);
    }
}

void simulation::report_loads() {
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        if (!endpoint->plan.reports_load) {
            continue;
        }
        const routing::load_report report{endpoint->running(), endpoint->waiting(), report_lag};
        const base::endpoint_id id(endpoint->listed.id.text());
        events_.after(report_lag, [this, report, id] {
            for (const std::unique_ptr<entry_vm>& vm : vms_) {
                vm->routes->load_reported(id, report, events_.now());
            }
        });
    }
    if (events_.now() < base::time_point{} + run_length) {
        events_.after(report_interval, [this] { report_loads(); });
    }
}

void simulation::arrive(std::uint64_t id) {
    request& work = requests_[id];
    ++result_.offered;
    result_.offered_small += work.origin.small_account ? 1 : 0;
    // Callers take another address when theirs does not answer.
    while (vm_of(work).lost) {
        work.vm = (work.vm + 1) % vms_.size();
    }
    events_.at(work.deadline, [this, id] { finish(id, false); });
    if (options_.limits == limit_policy::plain_retries) {
        work.running = true;
        begin_stage(id);
        return;
    }
    tl::expected<limits::permit, limits::refusal> permit =
        vm_of(work).accounts.admit(work.origin.account, events_.now());
    if (!permit) {
        refuse(id);
        return;
    }
    work.permit.emplace(std::move(*permit));
    const base::duration needed = median_of_rest(work);
    events_.at(work.deadline - needed + 1us,
               [this, id] { apply(vm_of(requests_[id]).admission->expire(events_.now())); });
    apply(vm_of(work).admission->submit(name(id), work.origin.account, work.deadline, events_.now(), needed));
}

void simulation::apply(const limits::admission_decisions& decisions) {
    for (const base::request_id& id : decisions.refuse) {
        refuse(std::stoull(id.text()));
    }
    for (const base::request_id& id : decisions.start) {
        const std::uint64_t number = std::stoull(id.text());
        requests_[number].running = true;
        begin_stage(number);
    }
}

void simulation::refuse(std::uint64_t id) {
    request& work = requests_[id];
    work.ended = true;
    work.permit.reset();
    ++result_.refused;
}

void simulation::begin_stage(std::uint64_t id) {
    request& work = requests_[id];
    work.attempts_of_stage = 0;
    work.hedged = false;
    work.tried.clear();
    vm_of(work).retries[service_of(work)].count_call(events_.now());
    if (!send(id, attempt_purpose::first)) {
        finish(id, false);
    }
}

bool simulation::send(std::uint64_t id, attempt_purpose purpose) {
    request& work = requests_[id];
    const std::optional<std::size_t> chosen = choose(work, purpose);
    if (!chosen) {
        return false;
    }
    entry_vm& vm = vm_of(work);
    endpoint_model& endpoint = *endpoints_[*chosen];
    const base::endpoint_id endpoint_id(endpoint.listed.id.text());
    auto sent = std::make_shared<call>();
    sent->request = id;
    sent->stage = work.stage;
    sent->purpose = purpose;
    sent->endpoint = *chosen;
    sent->sent = events_.now();
    sent->prefix = work.origin.prefix;
    sent->work = work_factor(work.origin.seed, work.stage, work.attempts_of_stage);
    ++work.attempts_of_stage;
    work.tried.push_back(endpoint_id);
    work.calls.push_back(sent);
    ++result_.calls;
    result_.retries += purpose == attempt_purpose::retry ? 1 : 0;
    result_.hedges += purpose == attempt_purpose::hedge ? 1 : 0;
    result_.crossing_calls += endpoint.listed.failure_domain != vm.domain ? 1 : 0;
    result_.prefix_calls += endpoint.plan.kind == config::service_kind::model_engine ? 1 : 0;
    ++vm.outstanding[*chosen];
    vm.routes->attempt_started(endpoint_id);
    const base::duration one_way = way(vm, endpoint);
    events_.after(one_way, [this, sent, &endpoint, one_way] {
        endpoint.arrive(sent, [this, one_way](const call_pointer& done, attempt_result result) {
            events_.after(one_way, [this, done, result] { answered(done, result); });
        });
    });
    schedule_silence_limit(sent);
    if (purpose != attempt_purpose::hedge && options_.limits == limit_policy::limits &&
        !work.origin.booking) {
        schedule_hedge(id);
    }
    return true;
}

std::optional<std::size_t> simulation::choose(const request& work, attempt_purpose purpose) {
    if (options_.selection == selection_policy::random ||
        options_.selection == selection_policy::least_outstanding) {
        return choose_baseline(work);
    }
    entry_vm& vm = *vms_[work.vm];
    routing::route_request question;
    question.service = service_of(work);
    question.excluded = work.tried;
    question.purpose = purpose;
    question.time_left = work.deadline - events_.now();
    question.repeatable = !work.origin.booking;
    if (options_.selection == selection_policy::router_with_affinity && question.service.text() == "writer") {
        question.affinity = work.origin.prefix;
    }
    const std::optional<routing::route> chosen = vm.routes->choose(question, events_.now(), *vm.random);
    return chosen ? std::optional(endpoint_numbers_.at(chosen->endpoint)) : std::nullopt;
}

std::optional<std::size_t> simulation::choose_baseline(const request& work) {
    entry_vm& vm = *vms_[work.vm];
    std::vector<std::size_t> best;
    int lowest = std::numeric_limits<int>::max();
    for (std::size_t n = 0; n < endpoints_.size(); ++n) {
        const base::endpoint_id id(endpoints_[n]->listed.id.text());
        const bool tried = std::find(work.tried.begin(), work.tried.end(), id) != work.tried.end();
        if (!listed_[n] || tried || endpoints_[n]->listed.service != service_of(work)) {
            continue;
        }
        const int load = options_.selection == selection_policy::random ? 0 : vm.outstanding[n];
        if (load < lowest) {
            best.clear();
            lowest = load;
        }
        if (load == lowest) {
            best.push_back(n);
        }
    }
    return best.empty() ? std::nullopt : std::optional(best[vm.random->below(best.size())]);
}

void simulation::schedule_hedge(std::uint64_t id) {
    const request& work = requests_[id];
    const std::size_t stage = work.stage;
    const base::duration wait = vm_of(work).routes->times(service_of(work)).p95;
    events_.after(wait, [this, id, stage] {
        request& late = requests_[id];
        if (late.ended || late.stage != stage || late.hedged || late.calls.empty()) {
            return;
        }
        // While requests wait for admission, a hedge takes the place of work that would else be in time.
        const bool busy = vm_of(late).admission->waiting() > 0;
        if (!busy &&
            vm_of(late).retries[service_of(late)].try_spend(events_.now(), limits::retry_cause::hedge)) {
            late.hedged = true;
            send(id, attempt_purpose::hedge);
        }
    });
}

void simulation::schedule_silence_limit(const call_pointer& sent) {
    const endpoint_model& endpoint = *endpoints_[sent->endpoint];
    events_.after(endpoint.plan.mean + silence_limit, [this, sent] {
        const endpoint_model& there = *endpoints_[sent->endpoint];
        // Engines send comment lines while they work, so only those that cannot be reached are silent.
        const bool engine = there.plan.kind == config::service_kind::model_engine;
        if (!sent->ended && (!engine || there.silent())) {
            answered(sent, attempt_result::went_silent);
        }
    });
}

void simulation::answered(const call_pointer& done, attempt_result result) {
    if (done->ended) {
        return;
    }
    end_call(done, result);
    request& work = requests_[done->request];
    std::erase(work.calls, done);
    if (result == attempt_result::succeeded) {
        advance(done->request, done);
    } else if (work.calls.empty()) {
        retry(done->request, result);
    }
}

void simulation::end_call(const call_pointer& ended, attempt_result result) {
    ended->ended = true;
    entry_vm& vm = vm_of(requests_[ended->request]);
    --vm.outstanding[ended->endpoint];
    vm.routes->attempt_ended(base::endpoint_id(endpoints_[ended->endpoint]->listed.id.text()), result,
                             events_.now() - ended->sent, events_.now());
}

void simulation::retry(std::uint64_t id, attempt_result failure) {
    request& work = requests_[id];
    const limits::retry_cause cause = failure == attempt_result::went_silent
                                          ? limits::retry_cause::no_response
                                          : limits::retry_cause::failure_reported;
    const bool allowed = options_.limits == limit_policy::plain_retries
                             ? work.attempts_of_stage < plain_attempts
                             : vm_of(work).retries[service_of(work)].try_spend(events_.now(), cause);
    if (work.origin.booking || !allowed || !send(id, attempt_purpose::retry)) {
        finish(id, false);
    }
}

void simulation::advance(std::uint64_t id, const call_pointer& done) {
    request& work = requests_[id];
    vm_of(work).retries[service_of(work)].count_success(events_.now());
    work.useful_us += static_cast<double>(done->busy.count());
    cancel_calls(id);
    ++work.stage;
    if (work.stage == stages_of(work).size()) {
        finish(id, true);
    } else {
        begin_stage(id);
    }
}

void simulation::cancel_calls(std::uint64_t id) {
    for (const call_pointer& given_up : std::exchange(requests_[id].calls, {})) {
        end_call(given_up, attempt_result::cancelled);
        endpoint_model& endpoint = *endpoints_[given_up->endpoint];
        events_.after(way(vm_of(requests_[id]), endpoint),
                      [given_up, &endpoint] { endpoint.cancel(given_up); });
    }
}

void simulation::finish(std::uint64_t id, bool attained) {
    request& work = requests_[id];
    if (work.ended) {
        return;
    }
    work.ended = true;
    cancel_calls(id);
    if (attained) {
        ++result_.attained;
        result_.attained_small += work.origin.small_account ? 1 : 0;
        result_.useful_us += work.useful_us;
        result_.latencies.push_back(base::to_milliseconds(events_.now() - work.origin.at));
    }
    work.permit.reset();
    if (options_.limits == limit_policy::limits) {
        apply(vm_of(work).admission->finish(name(id), events_.now()));
    }
}

const std::vector<std::string>& simulation::stages_of(const request& work) const {
    return work.origin.booking ? booking_stages : pipeline_stages;
}

base::service_name simulation::service_of(const request& work) const {
    return base::service_name(stages_of(work)[work.stage]);
}

base::duration simulation::median_of_rest(const request& work) {
    base::duration sum{};
    for (const std::string& stage : stages_of(work)) {
        sum += vm_of(work).routes->times(base::service_name(stage)).p50;
    }
    return sum;
}

base::duration simulation::way(const entry_vm& vm, const endpoint_model& endpoint) const {
    return vm.domain == endpoint.listed.failure_domain ? local_way : options_.site.one_way;
}

} // namespace rattanbay::routing::experiment
