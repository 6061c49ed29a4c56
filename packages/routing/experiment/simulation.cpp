#include <simulation.hpp>

#include <algorithm>
#include <limits>

namespace rattanbay::routing::experiment {

namespace {

using namespace std::chrono_literals;
using pipeline::attempt_purpose;
using pipeline::attempt_result;

constexpr base::duration request_deadline = 3s;
constexpr base::duration local_one_way_delay = 250us;
/// Interval of the load reports of endpoints and delay until they arrive.
constexpr base::duration report_interval = 250ms;
constexpr base::duration report_delay = 300ms;
/// Delay until the VM list reflects the loss or the return of a failure domain.
constexpr base::duration vm_list_delay = 3s;
/// Timeout of the response head, in addition to the expected time of the call; see section 5 of
/// docs/design.md.
constexpr base::duration response_timeout_margin = 1s;
/// Per entry VM: its share of the requests that the slowest service can process concurrently, times 1.5.
constexpr std::size_t max_admitted_requests = 32;
constexpr std::size_t admission_queue_capacity = 256;
constexpr std::uint32_t max_plain_attempts = 4;

const std::vector<std::string> pipeline_stages{"encoder", "retriever", "reranker", "writer"};
const std::vector<std::string> booking_stages{"desk"};

} // namespace

simulation::simulation(run_options options)
    : options_(std::move(options))
    , document_(make_document(options_.site, options_.cost_weight))
    , vm_list_(make_vm_list(options_.site)) {
    initialize();
}

measurements simulation::run() {
    for (const arrival& source : make_arrivals(options_.site, options_.conditions, options_.seed)) {
        request_state request;
        request.source = source;
        request.vm_index = source.entry_vm;
        request.deadline = source.at + request_deadline;
        requests_.push_back(std::move(request));
    }
    for (std::uint64_t id = 0; id < requests_.size(); ++id) {
        events_.schedule_at(requests_[id].source.at, [this, id] { on_arrival(id); });
    }
    schedule_faults();
    events_.schedule_after(report_interval, [this] { report_loads(); });
    events_.run();
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        result_.busy_time_us += endpoint->busy_time_us();
        result_.prefix_hits += endpoint->prefix_hits();
    }
    return std::move(result_);
}

void simulation::initialize() {
    for (const object_api::vm& vm : vm_list_.vms) {
        const auto spec =
            std::find_if(options_.site.services.begin(), options_.site.services.end(),
                         [&](const service_spec& candidate) { return candidate.name == vm.service.text(); });
        endpoint_indices_.emplace(base::endpoint_id(vm.id.text()), endpoints_.size());
        endpoints_.push_back(std::make_unique<endpoint_model>(events_, vm, *spec));
    }
    listed_.assign(endpoints_.size(), true);
    for (std::size_t n = 0; n < options_.site.entry_vm_count; ++n) {
        auto vm = std::make_unique<entry_vm>();
        vm->domain = domain(n % options_.site.domain_count);
        vm->router = std::make_unique<routing::router>(vm->domain);
        for (const auto& [name, service] : document_.services) {
            vm->retry_budgets[name].set_cost_weight(options_.cost_weight);
        }
        vm->accounts.configure(document_, options_.site.entry_vm_count);
        vm->admission =
            std::make_unique<limits::admission_controller>(max_admitted_requests, admission_queue_capacity);
        vm->outstanding.assign(endpoints_.size(), 0);
        vm->random.emplace(options_.seed * options_.site.entry_vm_count + n);
        vms_.push_back(std::move(vm));
    }
    publish();
}

void simulation::schedule_faults() {
    const base::time_point begin{};
    for (const fault& injected : options_.conditions.faults) {
        events_.schedule_at(begin + disturbance_start, [this, injected] { apply_fault(injected, true); });
        events_.schedule_at(begin + disturbance_end, [this, injected] { apply_fault(injected, false); });
    }
}

void simulation::apply_fault(const fault& injected, bool active) {
    if (injected.kind == fault_kind::lost_domain) {
        set_domain_lost(domain(injected.index), active);
        return;
    }
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        const bool matches = endpoint->vm.id.text() == injected.service + std::to_string(injected.index);
        if (injected.kind == fault_kind::failing && endpoint->spec.name == injected.service) {
            endpoint->failure_ratio = active ? 0.5 : 0;
        } else if (injected.kind == fault_kind::slow && matches) {
            endpoint->slowdown = active ? slowdown_factor : 1;
        } else if (injected.kind == fault_kind::flapping && matches) {
            endpoint->refusing = active;
        }
    }
    const bool continues = events_.now() < base::time_point{} + disturbance_end;
    if (injected.kind == fault_kind::flapping && continues) {
        events_.schedule_after(1s, [this, injected, active] { apply_fault(injected, !active); });
    }
}

void simulation::set_domain_lost(const base::failure_domain& domain, bool lost) {
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        if (endpoint->vm.failure_domain == domain) {
            endpoint->set_silent(lost);
        }
    }
    for (const std::unique_ptr<entry_vm>& vm : vms_) {
        vm->lost = lost && vm->domain == domain;
    }
    if (lost) {
        // Requests in progress on the lost VMs fail.
        for (std::uint64_t id = 0; id < requests_.size(); ++id) {
            if (vm_of(requests_[id]).lost && requests_[id].running) {
                finish(id, false);
            }
        }
    }
    events_.schedule_after(vm_list_delay, [this, domain, lost] {
        for (std::size_t n = 0; n < endpoints_.size(); ++n) {
            listed_[n] = !lost || endpoints_[n]->vm.failure_domain != domain;
        }
        publish();
    });
}

void simulation::publish() {
    object_api::vm_list list = vm_list_;
    std::erase_if(list.vms, [this](const object_api::vm& vm) {
        return !listed_[endpoint_indices_.at(base::endpoint_id(vm.id.text()))];
    });
    const routing::endpoint_table table(list, document_);
    for (const std::unique_ptr<entry_vm>& vm : vms_) {
        vm->router->publish(table);
    }
}

void simulation::report_loads() {
    for (const std::unique_ptr<endpoint_model>& endpoint : endpoints_) {
        if (!endpoint->spec.reports_load) {
            continue;
        }
        const routing::load_report report{endpoint->running(), endpoint->waiting(), report_delay};
        const base::endpoint_id id(endpoint->vm.id.text());
        events_.schedule_after(report_delay, [this, report, id] {
            for (const std::unique_ptr<entry_vm>& vm : vms_) {
                vm->router->load_reported(id, report, events_.now());
            }
        });
    }
    if (events_.now() < base::time_point{} + run_length) {
        events_.schedule_after(report_interval, [this] { report_loads(); });
    }
}

void simulation::on_arrival(std::uint64_t id) {
    request_state& request = requests_[id];
    ++result_.offered;
    result_.offered_small += request.source.small_account ? 1 : 0;
    // Callers try another entry address when theirs does not respond.
    while (vm_of(request).lost) {
        request.vm_index = (request.vm_index + 1) % vms_.size();
    }
    events_.schedule_at(request.deadline, [this, id] { finish(id, false); });
    if (options_.limits == limit_policy::plain_retries) {
        request.running = true;
        start_stage(id);
        return;
    }
    tl::expected<limits::permit, limits::refusal> permit =
        vm_of(request).accounts.admit(request.source.account, events_.now());
    if (!permit) {
        refuse(id);
        return;
    }
    request.permit.emplace(std::move(*permit));
    const base::duration needed = sum_of_medians(request);
    events_.schedule_at(request.deadline - needed + 1us,
                        [this, id] { apply(vm_of(requests_[id]).admission->expire(events_.now())); });
    apply(vm_of(request).admission->submit(request_id_of(id), request.source.account, request.deadline,
                                           events_.now(), needed));
}

void simulation::apply(const limits::admission_decisions& decisions) {
    for (const base::request_id& id : decisions.refuse) {
        refuse(std::stoull(id.text()));
    }
    for (const base::request_id& id : decisions.start) {
        const std::uint64_t request_number = std::stoull(id.text());
        requests_[request_number].running = true;
        start_stage(request_number);
    }
}

void simulation::refuse(std::uint64_t id) {
    request_state& request = requests_[id];
    request.ended = true;
    request.permit.reset();
    ++result_.refused;
}

void simulation::start_stage(std::uint64_t id) {
    request_state& request = requests_[id];
    request.stage_attempts = 0;
    request.hedged = false;
    request.tried_endpoints.clear();
    vm_of(request).retry_budgets[service_of(request)].count_call(events_.now());
    if (!send(id, attempt_purpose::first)) {
        finish(id, false);
    }
}

bool simulation::send(std::uint64_t id, attempt_purpose purpose) {
    request_state& request = requests_[id];
    const std::optional<std::size_t> chosen = choose(request, purpose);
    if (!chosen) {
        return false;
    }
    entry_vm& vm = vm_of(request);
    endpoint_model& endpoint = *endpoints_[*chosen];
    const base::endpoint_id endpoint_id(endpoint.vm.id.text());
    auto new_call = std::make_shared<call>();
    new_call->request = id;
    new_call->stage = request.stage;
    new_call->purpose = purpose;
    new_call->endpoint = *chosen;
    new_call->sent_at = events_.now();
    new_call->prefix = request.source.prefix;
    new_call->work_factor = work_factor(request.source.seed, request.stage, request.stage_attempts);
    ++request.stage_attempts;
    request.tried_endpoints.push_back(endpoint_id);
    request.calls.push_back(new_call);
    ++result_.calls;
    result_.retries += purpose == attempt_purpose::retry ? 1 : 0;
    result_.hedges += purpose == attempt_purpose::hedge ? 1 : 0;
    result_.crossing_calls += endpoint.vm.failure_domain != vm.domain ? 1 : 0;
    result_.prefix_calls += endpoint.spec.kind == config::service_kind::model_engine ? 1 : 0;
    ++vm.outstanding[*chosen];
    vm.router->attempt_started(endpoint_id);
    const base::duration delay = one_way_delay(vm, endpoint);
    events_.schedule_after(delay, [this, new_call, &endpoint, delay] {
        endpoint.enqueue(new_call, [this, delay](const call_ptr& finished, attempt_result result) {
            events_.schedule_after(delay, [this, finished, result] { on_result(finished, result); });
        });
    });
    schedule_response_timeout(new_call);
    if (purpose != attempt_purpose::hedge && options_.limits == limit_policy::limits &&
        !request.source.booking) {
        schedule_hedge(id);
    }
    return true;
}

std::optional<std::size_t> simulation::choose(const request_state& request, attempt_purpose purpose) {
    if (options_.selection == selection_policy::random ||
        options_.selection == selection_policy::least_outstanding) {
        return choose_baseline(request);
    }
    entry_vm& vm = *vms_[request.vm_index];
    routing::route_request query;
    query.service = service_of(request);
    query.excluded = request.tried_endpoints;
    query.purpose = purpose;
    query.time_left = request.deadline - events_.now();
    query.retryable = !request.source.booking;
    if (options_.selection == selection_policy::router_with_affinity && query.service.text() == "writer") {
        query.affinity = request.source.prefix;
    }
    const std::optional<routing::route> chosen = vm.router->choose(query, events_.now(), *vm.random);
    return chosen ? std::optional(endpoint_indices_.at(chosen->endpoint)) : std::nullopt;
}

std::optional<std::size_t> simulation::choose_baseline(const request_state& request) {
    entry_vm& vm = *vms_[request.vm_index];
    std::vector<std::size_t> best;
    int min_load = std::numeric_limits<int>::max();
    for (std::size_t n = 0; n < endpoints_.size(); ++n) {
        const base::endpoint_id id(endpoints_[n]->vm.id.text());
        const bool tried = std::find(request.tried_endpoints.begin(), request.tried_endpoints.end(), id) !=
                           request.tried_endpoints.end();
        if (!listed_[n] || tried || endpoints_[n]->vm.service != service_of(request)) {
            continue;
        }
        const int load = options_.selection == selection_policy::random ? 0 : vm.outstanding[n];
        if (load < min_load) {
            best.clear();
            min_load = load;
        }
        if (load == min_load) {
            best.push_back(n);
        }
    }
    return best.empty() ? std::nullopt : std::optional(best[vm.random->below(best.size())]);
}

void simulation::schedule_hedge(std::uint64_t id) {
    const request_state& request = requests_[id];
    const std::size_t stage = request.stage;
    const base::duration delay = vm_of(request).router->latency_percentiles(service_of(request)).p95;
    events_.schedule_after(delay, [this, id, stage] {
        request_state& pending = requests_[id];
        if (pending.ended || pending.stage != stage || pending.hedged || pending.calls.empty()) {
            return;
        }
        // While requests wait for admission, a hedge would delay work that could still meet its deadline.
        const bool busy = vm_of(pending).admission->waiting() > 0;
        if (!busy && vm_of(pending).retry_budgets[service_of(pending)].try_spend(
                         events_.now(), limits::retry_cause::hedge)) {
            pending.hedged = true;
            send(id, attempt_purpose::hedge);
        }
    });
}

void simulation::schedule_response_timeout(const call_ptr& sent) {
    const endpoint_model& endpoint = *endpoints_[sent->endpoint];
    events_.schedule_after(endpoint.spec.mean_processing_time + response_timeout_margin, [this, sent] {
        const endpoint_model& target = *endpoints_[sent->endpoint];
        // An engine sends comment lines during a call, so it is silent only if it is unreachable.
        const bool is_engine = target.spec.kind == config::service_kind::model_engine;
        if (!sent->ended && (!is_engine || target.silent())) {
            on_result(sent, attempt_result::went_silent);
        }
    });
}

void simulation::on_result(const call_ptr& finished, attempt_result result) {
    if (finished->ended) {
        return;
    }
    end_call(finished, result);
    request_state& request = requests_[finished->request];
    std::erase(request.calls, finished);
    if (result == attempt_result::succeeded) {
        advance(finished->request, finished);
    } else if (request.calls.empty()) {
        retry(finished->request, result);
    }
}

void simulation::end_call(const call_ptr& target, attempt_result result) {
    target->ended = true;
    entry_vm& vm = vm_of(requests_[target->request]);
    --vm.outstanding[target->endpoint];
    vm.router->attempt_ended(base::endpoint_id(endpoints_[target->endpoint]->vm.id.text()), result,
                             events_.now() - target->sent_at, events_.now());
}

void simulation::retry(std::uint64_t id, attempt_result failure) {
    request_state& request = requests_[id];
    const limits::retry_cause cause = failure == attempt_result::went_silent
                                          ? limits::retry_cause::no_response
                                          : limits::retry_cause::failure_reported;
    const bool allowed =
        options_.limits == limit_policy::plain_retries
            ? request.stage_attempts < max_plain_attempts
            : vm_of(request).retry_budgets[service_of(request)].try_spend(events_.now(), cause);
    if (request.source.booking || !allowed || !send(id, attempt_purpose::retry)) {
        finish(id, false);
    }
}

void simulation::advance(std::uint64_t id, const call_ptr& finished) {
    request_state& request = requests_[id];
    vm_of(request).retry_budgets[service_of(request)].count_success(events_.now());
    request.useful_time_us += static_cast<double>(finished->processing_time.count());
    cancel_calls(id);
    ++request.stage;
    if (request.stage == stages_of(request).size()) {
        finish(id, true);
    } else {
        start_stage(id);
    }
}

void simulation::cancel_calls(std::uint64_t id) {
    for (const call_ptr& cancelled : std::exchange(requests_[id].calls, {})) {
        end_call(cancelled, attempt_result::cancelled);
        endpoint_model& endpoint = *endpoints_[cancelled->endpoint];
        events_.schedule_after(one_way_delay(vm_of(requests_[id]), endpoint),
                               [cancelled, &endpoint] { endpoint.cancel(cancelled); });
    }
}

void simulation::finish(std::uint64_t id, bool attained) {
    request_state& request = requests_[id];
    if (request.ended) {
        return;
    }
    request.ended = true;
    cancel_calls(id);
    if (attained) {
        ++result_.attained;
        result_.attained_small += request.source.small_account ? 1 : 0;
        result_.useful_time_us += request.useful_time_us;
        result_.latencies_ms.push_back(base::to_milliseconds(events_.now() - request.source.at));
    }
    request.permit.reset();
    if (options_.limits == limit_policy::limits) {
        apply(vm_of(request).admission->finish(request_id_of(id), events_.now()));
    }
}

const std::vector<std::string>& simulation::stages_of(const request_state& request) const {
    return request.source.booking ? booking_stages : pipeline_stages;
}

base::service_name simulation::service_of(const request_state& request) const {
    return base::service_name(stages_of(request)[request.stage]);
}

base::duration simulation::sum_of_medians(const request_state& request) {
    base::duration sum{};
    for (const std::string& stage : stages_of(request)) {
        sum += vm_of(request).router->latency_percentiles(base::service_name(stage)).p50;
    }
    return sum;
}

base::duration simulation::one_way_delay(const entry_vm& vm, const endpoint_model& endpoint) const {
    return vm.domain == endpoint.vm.failure_domain ? local_one_way_delay : options_.site.one_way_delay;
}

} // namespace rattanbay::routing::experiment
