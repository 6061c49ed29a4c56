#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rattanbay::pipeline::internal {

/// Result of adding a token to a stream.
enum class token_status {
    /// The token is new and was appended.
    appended,
    /// A token with this index and text is known already.
    duplicate,
    /// Earlier tokens are missing.
    gap,
    /// A token with this index but another text is known already.
    mismatch,
};

/// Assembles the tokens of one generation by index.
class stream_assembler {
public:
    stream_assembler() = default;

    /// For a repeated generation, which must begin with the tokens `expected_prefix`.
    explicit stream_assembler(std::vector<std::string> expected_prefix);

    token_status add(std::uint64_t index, const std::string& text);

    /// Whether a token of the current generation was received.
    bool has_tokens() const { return next_index_ > 0; }

    /// Whether the current generation has produced all tokens known from earlier generations.
    bool caught_up() const { return next_index_ == tokens_.size(); }

    /// Number of distinct tokens received from the current generation.
    std::uint64_t token_count() const { return next_index_; }

    /// All known tokens, in order.
    const std::vector<std::string>& tokens() const { return tokens_; }

    /// All known tokens, concatenated.
    std::string text() const;

private:
    std::vector<std::string> tokens_;
    std::size_t next_index_ = 0;
};

} // namespace rattanbay::pipeline::internal
