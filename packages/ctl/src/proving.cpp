#include "internal/daemon_error.hpp"

#include <rattanbay/ctl/daemon_client.hpp>
#include <rattanbay/ctl/proving.hpp>

#include <optional>

namespace rattanbay::ctl {

namespace {

using base::error_code;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr base::duration poll_interval = std::chrono::milliseconds(500);

template <class T> bool member_equals(const ordered_json& status, const char* key, const T& value) {
    const auto it = status.find(key);
    return it != status.end() && *it == value;
}

std::string format_member(const ordered_json& status, const char* key) {
    const auto it = status.find(key);
    return it == status.end() ? "no " + std::string(key) : std::string(key) + " " + it->dump();
}

/// Runs one trial. Continues after a failure in order to report all reasons.
class trial_runner {
public:
    trial_runner(const config::environment_document& document, const trial_options& options, command_io& io)
        : document_(document)
        , options_(options)
        , io_(io) {}

    trial_result run() {
        out_.proof.revision = document_.revision;
        out_.proof.sha256 = document_.sha256;
        out_.proof.environment = options_.environment;
        wait_for_daemons();
        if (out_.reasons.empty()) {
            run_samples();
        }
        return std::move(out_);
    }

private:
    void add_refusal(std::string reason) {
        out_.code = exit_code::refused;
        out_.reasons.push_back(std::move(reason));
    }

    void add_error(const std::string& subject, const base::error& reason) {
        if (!internal::is_unanswered(reason)) {
            add_refusal(subject + ": " + reason.message);
            return;
        }
        out_.code = out_.code == exit_code::success ? exit_code::unreachable : out_.code;
        out_.reasons.push_back(subject + ": " + reason.message);
    }

    void wait_for_daemons() {
        const base::time_point deadline = io_.now() + options_.adoption_timeout;
        for (const base::address& address : options_.daemons) {
            base::result<void> in_force = check_daemon(address);
            while (!in_force && io_.now() + poll_interval < deadline) {
                io_.sleep_for(poll_interval);
                in_force = check_daemon(address);
            }
            if (in_force) {
                out_.proof.daemons.push_back(address.text());
            } else {
                add_error("daemon " + address.text(), in_force.error());
            }
        }
    }

    base::result<void> check_daemon(const base::address& address) {
        const base::result<ordered_json> status = daemon_client(io_, address).status();
        if (!status) {
            return tl::unexpected<base::error>(status.error());
        }
        if (!member_equals(*status, "revision", document_.revision) ||
            !member_equals(*status, "sha256", document_.sha256)) {
            return base::fail(error_code::conflict,
                              "reports " + format_member(*status, "revision") + " and " +
                                  format_member(*status, "sha256") + ", not revision " +
                                  std::to_string(document_.revision) + " and sha256 " + document_.sha256);
        }
        if (status->contains("environment") && !member_equals(*status, "environment", options_.environment)) {
            return base::fail(error_code::conflict,
                              "belongs to another environment: " + format_member(*status, "environment"));
        }
        return {};
    }

    void run_samples() {
        const base::result<entry_list> list =
            daemon_client(io_, options_.daemons.front(), options_.token).entries();
        if (!list) {
            add_error("entries of daemon " + options_.daemons.front().text(), list.error());
            return;
        }
        if (list->entries.empty()) {
            add_refusal("daemon " + options_.daemons.front().text() + " lists no entry addresses");
            return;
        }
        std::size_t entry_index = 0;
        for (const auto& row : document_.pipelines) {
            run_sample(row.second, list->entries[entry_index % list->entries.size()]);
            ++entry_index;
        }
    }

    void run_sample(const config::pipeline& pipeline, const entry_address& entry) {
        sample_request sample;
        sample.pipeline = pipeline.name.text();
        sample.deadline = pipeline.deadline;
        const auto input = options_.inputs.find(sample.pipeline);
        sample.input = input == options_.inputs.end() ? json::object() : input->second;
        if (!pipeline.idempotent()) {
            sample.idempotency_key = entry.key_prefix + "." + options_.key_suffix;
        }
        const base::result<json> output = daemon_client(io_, entry.address, options_.token).run(sample);
        if (output) {
            out_.proof.pipelines.push_back(sample.pipeline);
        } else {
            add_error("pipeline " + sample.pipeline + " at " + entry.address.text(), output.error());
        }
    }

    const config::environment_document& document_;
    const trial_options& options_;
    command_io& io_;
    trial_result out_;
};

} // namespace

trial_result run_trial(const config::environment_document& document, const trial_options& options,
                       command_io& io) {
    return trial_runner(document, options, io).run();
}

} // namespace rattanbay::ctl
