#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::config {

/// A document as it travels: its text with the revision and hash that its sender states. The
/// content is not checked yet.
struct document_object {
    std::uint64_t revision = 0;
    std::string sha256;
    std::string text;

    /// Key of the platform object that holds an environment's document.
    static object_api::object_key key(const std::string& environment);

    /// Reads the value of the platform object; `invalid_input` when a member is missing, unknown or
    /// of the wrong type.
    static base::result<document_object> parse(std::string_view value);

    /// The object of a checked document.
    static document_object of(const environment_document& document);

    /// Value of the platform object; `text` has to be UTF-8, as that of a checked document is.
    std::string value() const;

    /// Whether `sha256` is the hash of `text`.
    bool intact() const;
};

} // namespace rattanbay::config
