#include "internal/stream_assembler.hpp"

namespace rattanbay::pipeline::internal {

stream_assembler::stream_assembler(std::vector<std::string> expected_prefix)
    : tokens_(std::move(expected_prefix)) {}

token_status stream_assembler::add(std::uint64_t index, const std::string& text) {
    if (index > next_index_) {
        return token_status::gap;
    }
    if (index < tokens_.size()) {
        if (tokens_[index] != text) {
            return token_status::mismatch;
        }
        next_index_ = index == next_index_ ? next_index_ + 1 : next_index_;
        return token_status::duplicate;
    }
    tokens_.push_back(text);
    ++next_index_;
    return token_status::appended;
}

std::string stream_assembler::text() const {
    std::string joined;
    for (const std::string& token : tokens_) {
        joined += token;
    }
    return joined;
}

} // namespace rattanbay::pipeline::internal
