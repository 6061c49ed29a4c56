#pragma once

#include <rattanbay/base/enum_names.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::emulator {

/// Computation of a worker pool.
enum class worker_role { encode, retrieve, rerank };

/// Returns the identity of an input: its member "identity" if present, else a hash of its JSON text
/// with 16 hexadecimal digits. Outputs carry the identity of their input, so the identity of a
/// pipeline's input reaches the output of its last stage. A string that contains a JSON object is
/// treated as that object, because a caller may forward an output as text.
std::string identity_of(const nlohmann::json& input);

/// Output of a worker pool: {"identity", "role", "items", "digest"}.
nlohmann::json worker_output(worker_role role, const nlohmann::json& input);

/// Output of a plain service: {"identity", "service", "receipt"}.
nlohmann::json plain_output(std::string_view service, const nlohmann::json& input);

/// Deterministic token sequence of a model engine for a prompt and seed. The first token is the
/// identity of the prompt; every other token starts with a space.
class token_generator {
public:
    token_generator(const nlohmann::json& prompt, std::uint64_t seed);

    /// Returns the token at a zero-based index.
    std::string token(std::uint64_t index) const;

    /// Returns the concatenation of the first `count` tokens.
    std::string text(std::uint64_t count) const;

private:
    std::string identity_;
    std::string hash_;
};

} // namespace rattanbay::emulator

template <> struct rattanbay::base::enum_names<rattanbay::emulator::worker_role> {
    static constexpr std::array<enum_name<emulator::worker_role>, 3> table{{
        {emulator::worker_role::encode, "encode"},
        {emulator::worker_role::retrieve, "retrieve"},
        {emulator::worker_role::rerank, "rerank"},
    }};
};
