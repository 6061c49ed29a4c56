#pragma once

#include <string_view>

namespace rattanbay::base {

/// Whether a text is well-formed UTF-8: no overlong forms, surrogates or code points beyond U+10FFFF.
bool is_utf8(std::string_view text);

} // namespace rattanbay::base
