#include "internal/presentation.hpp"

#include "internal/daemon_error.hpp"

#include <algorithm>
#include <sstream>

namespace rattanbay::ctl::internal {

namespace {

using config::publication_status;
using nlohmann::json;
using nlohmann::ordered_json;

exit_code exit_code_for(publication_status status) {
    switch (status) {
    case publication_status::accepted:
    case publication_status::already_accepted:
        return exit_code::success;
    case publication_status::refused:
        return exit_code::refused;
    case publication_status::unreachable:
        return exit_code::unreachable;
    case publication_status::unknown:
        break;
    }
    return exit_code::unknown;
}

/// Strings without quotes; other values as JSON.
std::string to_text(const json& value) {
    return value.is_string() ? value.get<std::string>()
                             : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Appends a "path.to.key: value" line for each nested member, in the order of the object.
void append_lines(std::ostream& out, const std::string& prefix, const ordered_json& value) {
    if (!value.is_object() || value.empty()) {
        out << "  " << prefix << ": " << to_text(value) << "\n";
        return;
    }
    for (const auto& item : value.items()) {
        append_lines(out, prefix.empty() ? item.key() : prefix + "." + item.key(), item.value());
    }
}

/// Formats rows as a table; each column is as wide as its widest cell.
std::string format_table(const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const std::vector<std::string>& row : rows) {
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    std::string out;
    for (const std::vector<std::string>& row : rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n) {
            line += row[n] + std::string(widths[n] - row[n].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

ordered_json to_json(const config::publication_result& result) {
    ordered_json out{{"result", base::to_name(result.status)}};
    if (!result.reason.empty()) {
        out["reason"] = result.reason;
    }
    if (result.revision_in_force) {
        out["revision_in_force"] = *result.revision_in_force;
    }
    if (result.replaced_revision) {
        out["replaced_revision"] = *result.replaced_revision;
    }
    return out;
}

std::string format_fields(const json& fields) {
    std::string out;
    for (const auto& item : fields.items()) {
        out += (out.empty() ? "" : " ") + item.key() + "=" + to_text(item.value());
    }
    return out;
}

} // namespace

report make_report(const std::vector<file_check>& checks) {
    report out;
    std::ostringstream text;
    out.data["files"] = ordered_json::array();
    for (const file_check& check : checks) {
        ordered_json row{{"path", check.path}, {"kind", base::to_name(check.kind)}};
        if (check.revision) {
            row["revision"] = *check.revision;
            row["sha256"] = check.sha256;
        }
        row["findings"] = ordered_json::array();
        for (const config::finding& finding : check.findings) {
            row["findings"].push_back({{"pointer", finding.pointer}, {"message", finding.message}});
            text << check.path << ": " << finding.pointer << (finding.pointer.empty() ? "" : ": ")
                 << finding.message << "\n";
            out.code = exit_code::refused;
        }
        if (check.findings.empty()) {
            text << check.path << ": " << base::to_name(check.kind) << " without findings";
            text << (check.revision
                         ? ", revision " + std::to_string(*check.revision) + ", sha256 " + check.sha256
                         : std::string())
                 << "\n";
        }
        out.data["files"].push_back(std::move(row));
    }
    out.text = text.str();
    return out;
}

report make_report(const publication_outcome& published) {
    report out;
    out.code = exit_code_for(published.result.status);
    out.data = to_json(published.result);
    out.data["environment"] = published.environment;
    out.data["revision"] = published.revision;
    out.data["sha256"] = published.sha256;
    out.text = std::string(base::to_name(published.result.status)) + ": ";
    if (published.result.status != publication_status::accepted) {
        out.text += published.result.reason + "\n";
        return out;
    }
    const std::optional<std::uint64_t> replaced = published.result.replaced_revision;
    out.text += "revision " + std::to_string(published.revision) +
                (replaced ? " replaces revision " + std::to_string(*replaced) + " in "
                          : std::string(" is the first document of ")) +
                published.environment + "\n";
    return out;
}

report make_report(const trial_result& trial, const config::publication_result& proof) {
    report out;
    out.data["daemons"] = trial.proof.daemons;
    out.data["pipelines"] = trial.proof.pipelines;
    out.data["revision"] = trial.proof.revision;
    out.data["sha256"] = trial.proof.sha256;
    if (trial.code != exit_code::success) {
        out.code = trial.code;
        out.data["result"] = "refused";
        out.data["reasons"] = trial.reasons;
        out.text = "not proved:\n";
        for (const std::string& reason : trial.reasons) {
            out.text += "  " + reason + "\n";
        }
        return out;
    }
    out.code = exit_code_for(proof.status);
    out.data.update(to_json(proof));
    out.text = std::string(base::to_name(proof.status)) + ": ";
    if (proof.reason.empty()) {
        out.text += "revision " + std::to_string(trial.proof.revision) +
                    " is proved (daemons: " + std::to_string(trial.proof.daemons.size()) +
                    ", pipelines: " + std::to_string(trial.proof.pipelines.size()) + ")";
    } else {
        out.text += proof.reason;
    }
    out.text += "\n";
    return out;
}

report make_report(const std::vector<daemon_status>& daemons) {
    report out;
    std::ostringstream text;
    out.data["daemons"] = ordered_json::array();
    for (const daemon_status& daemon : daemons) {
        ordered_json row{{"address", daemon.address.text()}};
        text << daemon.address.text();
        if (daemon.status) {
            row["status"] = *daemon.status;
            text << "\n";
            append_lines(text, "", *daemon.status);
        } else {
            row["error"] = daemon.status.error().message;
            text << ": " << daemon.status.error().message << "\n";
            out.code = std::max(out.code, exit_code_for(daemon.status.error()));
        }
        out.data["daemons"].push_back(std::move(row));
    }
    out.text = text.str();
    return out;
}

report make_report(const base::address& daemon, const base::result<entry_list>& entries) {
    report out;
    if (!entries) {
        out.code = exit_code_for(entries.error());
        out.data = {{"address", daemon.text()}, {"error", entries.error().message}};
        out.text = daemon.text() + ": " + entries.error().message + "\n";
        return out;
    }
    std::vector<std::vector<std::string>> rows{{"address", "failure domain", "key prefix"}};
    out.data = {{"max_age_ms", entries->max_age_ms}, {"entries", ordered_json::array()}};
    for (const entry_address& row : entries->entries) {
        rows.push_back({row.address.text(), row.failure_domain, row.key_prefix});
        out.data["entries"].push_back({{"address", row.address.text()},
                                       {"failure_domain", row.failure_domain},
                                       {"key_prefix", row.key_prefix}});
    }
    out.text = format_table(rows) + "valid for " + std::to_string(entries->max_age_ms) + " ms\n";
    return out;
}

report make_drain_report(const base::address& daemon, const base::result<ordered_json>& answer) {
    report out;
    out.data["address"] = daemon.text();
    if (answer) {
        out.data["result"] = "draining";
        out.data["answer"] = *answer;
        out.text = daemon.text() + ": draining\n";
        return out;
    }
    const base::error& reason = answer.error();
    out.code = exit_code_for(reason);
    // Only a refused connection guarantees that the request was not sent.
    if (is_unanswered(reason) && reason.code != base::error_code::connection_refused) {
        out.code = exit_code::unknown;
    }
    out.data["result"] = out.code == exit_code::unknown ? "unknown" : "not draining";
    out.data["error"] = reason.message;
    out.text = daemon.text() + ": " + out.data["result"].get<std::string>() + ": " + reason.message + "\n";
    return out;
}

report make_report(const timeline& merged) {
    report out;
    std::vector<std::vector<std::string>> rows{{"time", "vm", "incarnation", "request", "event", "fields"}};
    out.data["events"] = ordered_json::array();
    for (const timeline_event& row : merged.events) {
        rows.push_back({format_wall_time(row.wall_us), row.vm, row.incarnation, row.request, row.event,
                        format_fields(row.fields)});
        out.data["events"].push_back({{"wall_us", row.wall_us},
                                      {"vm", row.vm},
                                      {"incarnation", row.incarnation},
                                      {"request", row.request},
                                      {"event", row.event},
                                      {"fields", row.fields}});
    }
    out.text = format_table(rows);
    out.data["missing"] = ordered_json::array();
    for (const timeline::unavailable_daemon& daemon : merged.unavailable_daemons) {
        out.data["missing"].push_back({{"address", daemon.address.text()}, {"error", daemon.reason.message}});
        out.text += "no events from " + daemon.address.text() + ": " + daemon.reason.message + "\n";
        out.code = std::max(out.code, exit_code_for(daemon.reason));
    }
    return out;
}

} // namespace rattanbay::ctl::internal
