#include <rattanbay/emulator/load_recorder.hpp>

#include <cassert>

namespace rattanbay::emulator {

namespace {

constexpr const char* no_answer = "no_answer";

} // namespace

load_recorder::load_recorder(std::vector<pipeline_load> pipelines)
    : pipelines_(std::move(pipelines))
    , pipeline_samples_(pipelines_.size()) {
    report_.total.pipeline = "all";
    for (const pipeline_load& row : pipelines_) {
        pipeline_summary empty;
        empty.pipeline = row.name;
        report_.pipelines.push_back(std::move(empty));
    }
}

void load_recorder::add(const request_result& result) {
    assert(result.pipeline < pipelines_.size());
    add_to(report_.total, total_samples_, result);
    add_to(report_.pipelines[result.pipeline], pipeline_samples_[result.pipeline], result);
    if (!result.verdict) {
        ++report_.problems[result.problem];
    } else if (*result.verdict != answer_verdict::correct) {
        ++report_.wrong_answers[std::string(base::to_name(*result.verdict))];
    }
    if (!pipelines_[result.pipeline].idempotent) {
        ++report_.outcomes[result.outcome];
        report_.keyed_requests.push_back(keyed_result{result.keys, result.outcome, result.problem});
    }
}

load_report load_recorder::report(base::duration elapsed) const {
    load_report out = report_;
    out.elapsed = elapsed;
    out.total.latency = latency_summary::of(total_samples_.latency);
    out.total.first_token = latency_summary::of(total_samples_.first_token);
    for (std::size_t n = 0; n < out.pipelines.size(); ++n) {
        out.pipelines[n].latency = latency_summary::of(pipeline_samples_[n].latency);
        out.pipelines[n].first_token = latency_summary::of(pipeline_samples_[n].first_token);
    }
    return out;
}

void load_recorder::add_to(pipeline_summary& row, latency_samples& samples, const request_result& result) {
    ++row.requests;
    row.resends += result.send_count > 1 ? result.send_count - 1 : 0;
    if (!result.verdict) {
        ++(result.problem == no_answer ? row.unanswered : row.refused);
        return;
    }
    if (*result.verdict != answer_verdict::correct) {
        ++row.wrong;
        return;
    }
    ++(result.before_deadline ? row.attained : row.late);
    samples.latency.push_back(result.latency);
    if (result.first_token) {
        samples.first_token.push_back(*result.first_token);
    }
}

} // namespace rattanbay::emulator
