#include "oracle.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanbay::pipeline::test {

namespace {

std::uint64_t fnv1a_hash(std::size_t stage, const std::string& text, std::uint64_t variant) {
    constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
    constexpr std::uint64_t fnv_prime = 1099511628211ULL;
    std::uint64_t hash = fnv_offset ^ (stage * 31 + variant * 1009);
    for (const char it : text) {
        hash = (hash ^ static_cast<unsigned char>(it)) * fnv_prime;
    }
    return hash;
}

} // namespace

std::string stage_function(std::size_t stage, const std::string& input) {
    return "{\"h\":\"" + std::to_string(fnv1a_hash(stage, input, 0)) +
           "\",\"stage\":" + std::to_string(stage) + "}";
}

std::vector<std::string> generate(std::size_t stage, const std::string& prompt, std::uint64_t variant) {
    constexpr std::uint64_t max_tokens = 9;
    const std::uint64_t seed = fnv1a_hash(stage, prompt, variant);
    std::vector<std::string> tokens;
    for (std::uint64_t n = 0; n <= seed % max_tokens; ++n) {
        tokens.push_back("t" + std::to_string(fnv1a_hash(n, prompt, variant) % 1000) + " ");
    }
    return tokens;
}

oracle::oracle(std::vector<test_stage> stages, request req)
    : stages_(std::move(stages))
    , request_(std::move(req))
    , outputs_(stages_.size())
    , sent_(stages_.size())
    , executed_(stages_.size())
    , answered_(stages_.size()) {}

void oracle::expect(bool holds, const std::string& rule) {
    if (!holds && !violation_) {
        violation_ = rule;
    }
}

bool oracle::idempotent() const {
    return std::all_of(stages_.begin(), stages_.end(), [](const test_stage& it) { return it.idempotent; });
}

base::duration oracle::min_remaining_time(std::size_t stage) const {
    base::duration sum{};
    for (; stage < stages_.size(); ++stage) {
        sum += stages_[stage].times.p50;
    }
    return sum;
}

base::time_point oracle::stage_budget_end(std::size_t stage, base::time_point now) const {
    base::duration sum{};
    for (std::size_t n = stage; n < stages_.size(); ++n) {
        sum += stages_[n].times.p90;
    }
    return now + (request_.deadline - now) * stages_[stage].times.p90.count() / sum.count();
}

std::size_t oracle::stage_of(const base::service_name& service) const {
    std::size_t n = 0;
    while (stages_[n].name + "-service" != service.text()) {
        ++n;
    }
    return n;
}

void oracle::on_executed(std::size_t stage, const std::string& output) {
    ++executed_[stage];
    outputs_[stage].insert(output);
    expect(stages_[stage].idempotent || executed_[stage] == 1,
           "a non-idempotent call is executed at most once");
}

void oracle::on_generation(const std::vector<std::string>& tokens) {
    generations_.push_back(tokens);
}

void oracle::check_input(std::size_t stage, const std::string& input) {
    expect(stage == 0 ? input == request_.input : outputs_[stage - 1].contains(input),
           "the input of a stage is the output of the stage before it, for this request");
}

void oracle::check(const request_route& requested, base::time_point now) {
    const std::size_t stage = stage_of(requested.service);
    expect(!ended(), "no route is requested after the end");
    counts_.retries += requested.purpose == attempt_purpose::retry ? 1U : 0U;
    counts_.hedges += requested.purpose == attempt_purpose::hedge ? 1U : 0U;
    expect(stage == furthest_stage_ || stage == furthest_stage_ + 1, "stages run in order");
    if (!stage_budget_end_ || stage > furthest_stage_) {
        stage_budget_end_ = stage_budget_end(stage, now);
    }
    expect(requested.purpose == attempt_purpose::first || now <= *stage_budget_end_,
           "a stage is retried and hedged only within its time budget");
    furthest_stage_ = std::max(furthest_stage_, stage);
    expect(stage == 0 || first_stage_ended_, "a stage ends with a correct response to a current attempt");
    expect(stages_[stage].idempotent || requested.purpose == attempt_purpose::first,
           "a non-idempotent stage is neither retried nor hedged");
    expect(request_.deadline - now >= min_remaining_time(stage),
           "no route is requested when the time left is less than the p50 of the remaining stages");
    expect(!caller_disconnected_ || !idempotent(), "no route is requested after the caller disconnected");
}

void oracle::check(const start_attempt& requested, bool resumed) {
    counts_.resumes += resumed ? 1U : 0U;
    counts_.restarts += !resumed && !emitted_.empty() ? 1U : 0U;
    counts_.reconnections +=
        !resumed && requested.new_connection && stages_[requested.stage].idempotent ? 1U : 0U;
    expect(!ended(), "no attempt is started after the end");
    expect(requested.stage == furthest_stage_, "an attempt belongs to the current stage");
    expect(headers_.insert(requested.attempt_header).second, "an attempt header is used once");
    expect(requested.deadline <= request_.deadline, "an attempt's deadline is within the request's");
    expect(resumed || emitted_.empty() || request_.seed,
           "a generation is restarted after tokens were emitted only with a seed");
    if (!stages_[requested.stage].idempotent) {
        expect(requested.new_connection, "a non-idempotent attempt gets a new connection");
        expect(++sent_[requested.stage] == 1, "at most one non-idempotent attempt may have been sent");
    }
}

void oracle::check_resume(bool same_endpoint, int count) {
    expect(same_endpoint, "a stream is resumed at its own engine");
    expect(count <= 2, "a stream is resumed at most twice");
}

void oracle::on_not_sent(std::size_t stage) {
    sent_[stage] -= stages_[stage].idempotent ? 0 : 1;
}

void oracle::on_response(std::size_t stage, bool right) {
    ++answered_[stage];
    first_stage_ended_ = first_stage_ended_ || (stage == 0 && right);
}

bool oracle::is_output(std::size_t stage, const std::string& output) const {
    return outputs_[stage].contains(output);
}

void oracle::check(const emit_token& requested) {
    expect(!ended(), "no token is emitted after the end");
    expect(request_.streamed, "tokens are emitted only for a streamed request");
    expect(requested.index == emitted_.size(), "each token is emitted once and in order");
    emitted_.push_back(requested.text);
    const auto agrees = [this](const std::vector<std::string>& tokens) {
        return tokens.size() >= emitted_.size() &&
               std::equal(emitted_.begin(), emitted_.end(), tokens.begin());
    };
    expect(std::any_of(generations_.begin(), generations_.end(), agrees),
           "the emitted tokens are a prefix of one generation for this request");
}

void oracle::check(const complete& requested) {
    expect(!ended(), "an execution ends once");
    completed_ = true;
    expect(furthest_stage_ + 1 == stages_.size(), "all stages run before completion");
    expect(outputs_.back().contains(requested.output), "the output is the composition of the stages");
    expect(requested.stages.size() == stages_.size(), "each stage is reported");
    if (request_.streamed && stages_.back().kind == config::service_kind::model_engine) {
        std::string text;
        for (const std::string& token : emitted_) {
            text += token;
        }
        expect(nlohmann::json(text).dump() == requested.output, "the emitted tokens are the complete output");
    }
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        expect(stages_[n].idempotent || executed_[n] == 1,
               "a completed request ran each non-idempotent stage once");
    }
}

void oracle::check(const fail& requested, base::time_point now) {
    expect(!ended(), "an execution ends once");
    const bool by_deadline = requested.problem.kind == base::problem_kind::deadline_exceeded;
    counts_.early_refusals += by_deadline && now < request_.deadline ? 1U : 0U;
    problem_ = requested.problem;
    expect(fault_injected_ || by_deadline, "without a fault a request fails only because of its deadline");
    bool open = false;
    bool answered = false;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        open = open || (!stages_[n].idempotent && sent_[n] > 0 && answered_[n] == 0);
        answered = answered || (!stages_[n].idempotent && answered_[n] > 0);
    }
    const base::outcome outcome = requested.problem.outcome;
    if (idempotent()) {
        expect(outcome == (first_stage_ended_ ? base::outcome::ran : base::outcome::not_run),
               "an idempotent request ran if one of its stages completed");
    } else if (!open) {
        expect(outcome == (answered ? base::outcome::ran : base::outcome::not_run),
               "the outcome of a settled non-idempotent request is known");
    } else {
        expect(outcome == base::outcome::unknown, "the outcome of a pending non-idempotent call is unknown");
    }
}

void oracle::check(const report_endpoint_result&) {
    ++reports_;
}

void oracle::check_progress(base::time_point now, const std::optional<base::time_point>& timer) {
    expect(ended() || now < request_.deadline, "an execution ends by its deadline");
    expect(ended() || (timer && *timer <= request_.deadline), "the timer covers the deadline");
    const bool sent = std::any_of(sent_.begin(), sent_.end(), [](int count) { return count > 0; });
    expect(ended() || !caller_disconnected_ || (!idempotent() && sent),
           "work without side effects ends when the caller disconnects");
}

void oracle::check_end() {
    expect(ended(), "an execution ends");
    expect(reports_ == routes_, "each chosen route is reported once");
    if (!problem_ || idempotent()) {
        return;
    }
    int runs = 0;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        runs += stages_[n].idempotent ? 0 : executed_[n];
    }
    expect(problem_->outcome != base::outcome::not_run || runs == 0,
           "the outcome not_run means that nothing ran");
    expect(problem_->outcome != base::outcome::ran || runs > 0, "the outcome ran means that a call ran");
}

} // namespace rattanbay::pipeline::test
