#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/emulator/load_options.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace rattanbay::emulator {

/// Result of checking an answer.
enum class answer_verdict {
    /// The expected output of this request.
    correct,
    /// Carries the identity of this request but differs from the expected output.
    incomplete,
    /// Lacks the identity of this request, so it belongs to another one.
    crossed,
    /// Contains no output.
    malformed,
};

/// Computes the output of a pipeline of emulated endpoints; null if the pipeline's stages are not
/// configured.
nlohmann::json expected_answer(const pipeline_load& pipeline, const nlohmann::json& input);

/// Checks the output of a pipeline, or the text of a stream passed as a JSON string.
answer_verdict check_output(const pipeline_load& pipeline, const nlohmann::json& input,
                            const nlohmann::json& output);

} // namespace rattanbay::emulator

template <> struct rattanbay::base::enum_names<rattanbay::emulator::answer_verdict> {
    static constexpr std::array<enum_name<emulator::answer_verdict>, 4> table{{
        {emulator::answer_verdict::correct, "correct"},
        {emulator::answer_verdict::incomplete, "incomplete"},
        {emulator::answer_verdict::crossed, "crossed"},
        {emulator::answer_verdict::malformed, "malformed"},
    }};
};
