#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/load_options.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace rattanbay::emulator {

/// One scheduled request.
struct request_arrival {
    /// Scheduled time, relative to the start of the run.
    base::duration at{};
    std::uint64_t sequence = 0;
    std::size_t pipeline = 0;
    std::size_t account = 0;
    /// Index of the account's caller that sends it.
    std::size_t caller = 0;
    /// Input of the pipeline, unique within the run.
    std::string input;
};

/// Open-loop Poisson arrivals: interarrival times are exponential with the rate of each phase and
/// independent of the responses. Equal options produce equal arrivals.
class arrival_process {
public:
    explicit arrival_process(const load_options& options);

    /// Returns the next arrival, or `std::nullopt` after the last phase.
    std::optional<request_arrival> next();

private:
    template <class Row> std::size_t pick_weighted(const std::vector<Row>& rows);

    std::vector<load_phase> phases_;
    std::vector<pipeline_load> pipelines_;
    std::vector<account_load> accounts_;
    std::uint64_t seed_;
    base::random_source random_;
    std::size_t phase_ = 0;
    base::duration phase_start_{};
    base::duration time_{};
    std::uint64_t sequence_ = 0;
};

} // namespace rattanbay::emulator
