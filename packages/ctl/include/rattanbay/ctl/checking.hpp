#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/config/finding.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::ctl {

/// Kind of a configuration file.
enum class file_kind { unknown, settings, document };

/// Result of checking one file.
struct file_check {
    std::string path;
    /// `unknown` if the kind could not be determined.
    file_kind kind = file_kind::unknown;
    std::vector<config::finding> findings;
    /// Revision of a document without findings.
    std::optional<std::uint64_t> revision;
    /// Hash of a document without findings; empty otherwise.
    std::string sha256;
};

/// Checks the text of a file. If `kind` is `unknown`, it is detected from the top-level keys.
file_check check_text(const std::string& path, const std::string& text, file_kind kind);

} // namespace rattanbay::ctl

template <> struct rattanbay::base::enum_names<rattanbay::ctl::file_kind> {
    static constexpr std::array<enum_name<ctl::file_kind>, 3> table{{
        {ctl::file_kind::unknown, "unknown"},
        {ctl::file_kind::settings, "settings"},
        {ctl::file_kind::document, "document"},
    }};
};
