#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/finding.hpp>
#include <rattanbay/config/relay_document.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// Texts of the parts of a document as the platform keeps it. The views point into the document's text.
struct relay_outline {
    std::uint64_t revision = 0;
    std::vector<std::string_view> routes;
    std::vector<std::string_view> services;
    std::vector<std::string_view> accounts;
    std::optional<std::string_view> limits;
    /// Whether requests on non-public routes need an account key.
    bool keys_required = false;
};

/// A part that was read. If there are findings, the value is incomplete.
template <class Part> struct part_reading {
    Part value;
    std::vector<finding> findings;
};

/// Reads documents that the platform keeps in a form of its own. The parts are read one by one, so that a
/// document can be read step by step and one unreadable part does not affect the others. Pointers of findings
/// are relative to the part.
class document_translator {
public:
    virtual ~document_translator() = default;

    /// Finds the parts. Errors: `invalid_input` if the text has no revision or is not well-formed.
    virtual base::result<relay_outline> outline(std::string_view text) const = 0;

    virtual part_reading<relay_route> read_route(std::string_view text) const = 0;
    virtual part_reading<relay_service> read_service(std::string_view text) const = 0;
    virtual part_reading<relay_account> read_account(std::string_view text) const = 0;
    virtual part_reading<client_limits> read_limits(std::string_view text) const = 0;
};

} // namespace rattanbay::config
