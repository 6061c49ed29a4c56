#pragma once

#include <rattanbay/base/enum_names.hpp>

namespace rattanbay::base {

/// Whether a request was executed, as far as is known.
enum class outcome {
    /// It was not executed and never will be.
    not_run,
    /// It was executed completely.
    ran,
    /// It may or may not have been executed.
    unknown,
};

template <> struct enum_names<outcome> {
    static constexpr std::array<enum_name<outcome>, 3> table{{
        {outcome::not_run, "not_run"},
        {outcome::ran, "ran"},
        {outcome::unknown, "unknown"},
    }};
};

} // namespace rattanbay::base
