#pragma once

#include <string_view>

namespace rattanbay::http {

/// Whether a text from another process can be sent unchanged as the value of a header field (RFC 9110): it is
/// not empty, contains no control character, and neither begins nor ends with a space. A line break would end
/// the field and begin another one.
bool is_field_value(std::string_view text);

/// Whether a text can be sent unchanged as an element of a header field with a comma-separated list: it is a
/// field value without spaces and commas.
bool is_list_element(std::string_view text);

} // namespace rattanbay::http
