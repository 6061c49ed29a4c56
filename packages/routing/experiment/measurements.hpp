#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rattanbay::routing::experiment {

/// Measurements of one or more runs.
struct measurements {
    std::uint64_t offered = 0;
    std::uint64_t offered_small = 0;
    /// Requests with a complete response before the deadline.
    std::uint64_t attained = 0;
    std::uint64_t attained_small = 0;
    /// Requests refused before any of their calls started.
    std::uint64_t refused = 0;
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t crossing_calls = 0;
    std::uint64_t prefix_hits = 0;
    std::uint64_t prefix_calls = 0;
    /// Processing time of the endpoints in microseconds: the total, and the part that contributed to a
    /// response before the deadline.
    double busy_time_us = 0;
    double useful_time_us = 0;
    /// Time from arrival to response of the attained requests, in milliseconds.
    std::vector<double> latencies_ms;

    void add(const measurements& other);
};

/// Returns the header of the result table in Markdown.
std::string table_header();

/// Returns a row of the table. `label` holds the first columns, `seconds` is the total length of the runs.
std::string table_row(const std::string& label, measurements result, double seconds);

} // namespace rattanbay::routing::experiment
