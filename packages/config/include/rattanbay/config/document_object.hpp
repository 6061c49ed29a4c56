#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::config {

/// Transfer form of a document: its text with the revision and hash stated by the sender. The content is not
/// validated.
struct document_object {
    std::uint64_t revision = 0;
    std::string sha256;
    std::string text;

    /// Key of the platform object that holds an environment's document.
    static object_api::object_key key(const std::string& environment);

    /// Parses the value of the platform object; returns `invalid_input` if a member is missing, unknown or of
    /// the wrong type.
    static base::result<document_object> parse(std::string_view value);

    /// Creates the object for a validated document.
    static document_object of(const environment_document& document);

    /// Serializes to the value of the platform object. `text` must be UTF-8; this holds for every validated
    /// document.
    std::string serialize() const;

    /// Whether `sha256` is the hash of `text`.
    bool hash_matches() const;
};

} // namespace rattanbay::config
