#pragma once

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace rattanbay::config {

/// A validation error in a settings file or a document.
struct finding {
    /// JSON pointer to the invalid member, for example "/pipelines/plan/stages/0/service"; empty if the error
    /// concerns the whole text.
    std::string pointer;
    /// The error and what is expected instead.
    std::string message;

    friend bool operator==(const finding&, const finding&) = default;
};

/// A validated value, or all validation errors of its text.
template <class T> using validation_result = tl::expected<T, std::vector<finding>>;

} // namespace rattanbay::config
