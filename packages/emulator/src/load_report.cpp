#include <rattanbay/emulator/load_report.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace rattanbay::emulator {

namespace {

using json = nlohmann::json;

double percentile(const std::vector<base::duration>& sorted, double fraction) {
    if (sorted.empty()) {
        return 0;
    }
    const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
    const std::size_t index = std::max<std::size_t>(static_cast<std::size_t>(rank), 1) - 1;
    return base::to_milliseconds(sorted[std::min(index, sorted.size() - 1)]);
}

json to_json(const latency_summary& summary) {
    return json{{"p50", summary.p50_ms}, {"p95", summary.p95_ms}, {"p99", summary.p99_ms}};
}

json to_json(const pipeline_summary& row) {
    return json{{"pipeline", row.pipeline},
                {"requests", row.requests},
                {"attained", row.attained},
                {"attainment", row.attainment()},
                {"late", row.late},
                {"wrong", row.wrong},
                {"refused", row.refused},
                {"unanswered", row.unanswered},
                {"resends", row.resends},
                {"latency_ms", to_json(row.latency)},
                {"first_token_ms", to_json(row.first_token)}};
}

json to_json(const keyed_result& result) {
    return json{{"keys", result.keys},
                {"outcome", std::string(base::to_name(result.outcome))},
                {"problem", result.problem}};
}

/// Name of an outcome for display.
std::string display_name(base::outcome outcome) {
    std::string name(base::to_name(outcome));
    std::replace(name.begin(), name.end(), '_', ' ');
    return name;
}

std::string table_row(const pipeline_summary& row) {
    constexpr std::size_t line_size = 256;
    std::array<char, line_size> line{};
    std::snprintf(
        line.data(), line.size(), "%-24s %9llu %9.2f%% %7llu %7llu %8llu %10llu %8llu %9.1f %9.1f %9.1f\n",
        row.pipeline.c_str(), static_cast<unsigned long long>(row.requests), row.attainment() * 100.0,
        static_cast<unsigned long long>(row.late), static_cast<unsigned long long>(row.wrong),
        static_cast<unsigned long long>(row.refused), static_cast<unsigned long long>(row.unanswered),
        static_cast<unsigned long long>(row.resends), row.latency.p50_ms, row.latency.p95_ms,
        row.latency.p99_ms);
    return line.data();
}

std::string count_lines(const std::string& title, const std::map<std::string, std::uint64_t>& counts) {
    std::string out = counts.empty() ? std::string() : title + ":\n";
    for (const auto& [name, count] : counts) {
        out += "  " + name + ": " + std::to_string(count) + "\n";
    }
    return out;
}

} // namespace

latency_summary latency_summary::of(std::vector<base::duration> times) {
    constexpr double p50 = 0.50;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    std::sort(times.begin(), times.end());
    return latency_summary{percentile(times, p50), percentile(times, p95), percentile(times, p99)};
}

double pipeline_summary::attainment() const {
    return requests == 0 ? 1.0 : static_cast<double>(attained) / static_cast<double>(requests);
}

double load_report::goodput() const {
    constexpr double milliseconds_per_second = 1000.0;
    const double milliseconds = base::to_milliseconds(elapsed);
    return milliseconds <= 0 ? 0.0
                             : static_cast<double>(total.attained) * milliseconds_per_second / milliseconds;
}

json load_report::to_json() const {
    json rows = json::array();
    for (const pipeline_summary& row : pipelines) {
        rows.push_back(emulator::to_json(row));
    }
    json counts = json::object();
    for (const auto& [outcome, count] : outcomes) {
        counts[std::string(base::to_name(outcome))] = count;
    }
    json keyed = json::array();
    for (const keyed_result& row : keyed_requests) {
        keyed.push_back(emulator::to_json(row));
    }
    return json{{"elapsed_ms", base::to_milliseconds(elapsed)},
                {"goodput_per_second", goodput()},
                {"total", emulator::to_json(total)},
                {"pipelines", std::move(rows)},
                {"dropped", dropped},
                {"entry_calls", entry_calls},
                {"wrong_answers", wrong_answers},
                {"problems", problems},
                {"outcomes", std::move(counts)},
                {"keyed_requests", std::move(keyed)}};
}

std::string load_report::to_table() const {
    constexpr std::size_t line_size = 256;
    std::array<char, line_size> line{};
    std::snprintf(line.data(), line.size(), "%-24s %9s %10s %7s %7s %8s %10s %8s %9s %9s %9s\n", "pipeline",
                  "requests", "attainment", "late", "wrong", "refused", "unanswered", "resends", "p50 ms",
                  "p95 ms", "p99 ms");
    std::string out = line.data();
    for (const pipeline_summary& row : pipelines) {
        out += table_row(row);
    }
    out += table_row(total);
    std::snprintf(line.data(), line.size(), "goodput: %.1f/s over %.1f s, %llu arrivals dropped\n", goodput(),
                  base::to_milliseconds(elapsed) / 1000.0, static_cast<unsigned long long>(dropped));
    out += line.data();
    std::map<std::string, std::uint64_t> displayed;
    for (const auto& [outcome, count] : outcomes) {
        displayed[display_name(outcome)] = count;
    }
    return out + count_lines("problems", problems) + count_lines("wrong answers", wrong_answers) +
           count_lines("non-idempotent requests", displayed);
}

} // namespace rattanbay::emulator
