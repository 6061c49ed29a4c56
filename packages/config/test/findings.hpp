#pragma once

#include <rattanbay/config/finding.hpp>

#include <algorithm>
#include <string>
#include <vector>

/// Pointers of the findings in alphabetical order.
inline std::vector<std::string> sorted_pointers(const std::vector<rattanbay::config::finding>& findings) {
    std::vector<std::string> out;
    out.reserve(findings.size());
    for (const rattanbay::config::finding& row : findings) {
        out.push_back(row.pointer);
    }
    std::ranges::sort(out);
    return out;
}

/// Formats the findings, one per line, for the message of a failed test.
template <class T> std::string format_findings(const rattanbay::config::validation_result<T>& read) {
    std::string out;
    if (!read) {
        for (const rattanbay::config::finding& row : read.error()) {
            out += row.pointer + ": " + row.message + "\n";
        }
    }
    return out;
}
