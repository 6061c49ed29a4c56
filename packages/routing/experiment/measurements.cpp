#include <measurements.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace rattanbay::routing::experiment {

namespace {

double percent(double part, double total) {
    return total > 0 ? 100 * part / total : 0;
}

double percentile(const std::vector<double>& sorted, double quantile) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

void measurements::add(const measurements& other) {
    offered += other.offered;
    offered_small += other.offered_small;
    attained += other.attained;
    attained_small += other.attained_small;
    refused += other.refused;
    calls += other.calls;
    retries += other.retries;
    hedges += other.hedges;
    crossing_calls += other.crossing_calls;
    prefix_hits += other.prefix_hits;
    prefix_calls += other.prefix_calls;
    busy_time_us += other.busy_time_us;
    useful_time_us += other.useful_time_us;
    latencies_ms.insert(latencies_ms.end(), other.latencies_ms.begin(), other.latencies_ms.end());
}

std::string table_header() {
    return "| site | scenario | limits | routing | cost weight | attained % | small accounts % | goodput/s | "
           "p50 ms "
           "| p95 ms | p99 ms | refused % | retries % | hedges % | discarded % | crossing % | prefix hits % "
           "|\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string table_row(const std::string& label, measurements result, double seconds) {
    std::sort(result.latencies_ms.begin(), result.latencies_ms.end());
    const auto to_double = [](std::uint64_t value) { return static_cast<double>(value); };
    std::ostringstream out;
    out << "| " << label << " | " << std::fixed << std::setprecision(2);
    out << percent(to_double(result.attained), to_double(result.offered)) << " | ";
    out << percent(to_double(result.attained_small), to_double(result.offered_small)) << " | ";
    out << std::setprecision(0) << to_double(result.attained) / seconds << " | ";
    out << percentile(result.latencies_ms, 0.5) << " | ";
    out << percentile(result.latencies_ms, 0.95) << " | ";
    out << percentile(result.latencies_ms, 0.99) << " | " << std::setprecision(1);
    out << percent(to_double(result.refused), to_double(result.offered)) << " | ";
    out << percent(to_double(result.retries), to_double(result.calls)) << " | ";
    out << percent(to_double(result.hedges), to_double(result.calls)) << " | ";
    out << percent(result.busy_time_us - result.useful_time_us, result.busy_time_us) << " | ";
    out << percent(to_double(result.crossing_calls), to_double(result.calls)) << " | ";
    out << percent(to_double(result.prefix_hits), to_double(result.prefix_calls)) << " |\n";
    return out.str();
}

} // namespace rattanbay::routing::experiment
