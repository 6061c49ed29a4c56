#include <rattanbay/emulator/answer_check.hpp>

namespace rattanbay::emulator {

namespace {

using json = nlohmann::json;

/// Computes the output of one stage.
struct stage_output {
    const pipeline_load& pipeline;
    const json& input;

    json operator()(worker_role role) const { return worker_output(role, input); }

    json operator()(const generate_stage&) const {
        return token_generator(input, pipeline.seed.value_or(0)).text(pipeline.max_tokens);
    }

    json operator()(const plain_stage& stage) const { return plain_output(stage.service, input); }
};

} // namespace

json expected_answer(const pipeline_load& pipeline, const json& input) {
    if (pipeline.stages.empty()) {
        return nullptr;
    }
    json value = input;
    for (const expected_stage& stage : pipeline.stages) {
        json output = std::visit(stage_output{pipeline, value}, stage);
        value = std::move(output);
    }
    return value;
}

answer_verdict check_output(const pipeline_load& pipeline, const json& input, const json& output) {
    if (output.is_null() || output.is_discarded()) {
        return answer_verdict::malformed;
    }
    if (output.dump(-1, ' ', false, json::error_handler_t::replace).find(identity_of(input)) ==
        std::string::npos) {
        return answer_verdict::crossed;
    }
    const json expected = expected_answer(pipeline, input);
    return expected.is_null() || expected == output ? answer_verdict::correct : answer_verdict::incomplete;
}

} // namespace rattanbay::emulator
