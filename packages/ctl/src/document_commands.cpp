#include "internal/command_line.hpp"
#include "internal/commands.hpp"
#include "internal/presentation.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/ctl/publishing.hpp>

namespace rattanbay::ctl::internal {

namespace {

using nlohmann::json;

/// `apply` refuses this environment, so that only documents proved in trial reach production.
constexpr const char* production = "production";
constexpr std::uint32_t default_timeout_ms = 30'000;
constexpr std::uint32_t default_wait_ms = 10'000;

/// Arguments shared by the commands that write to the platform.
struct platform_arguments {
    explicit platform_arguments(TCLAP::CmdLine& parser)
        : addresses("", "platform", "Address of the platform; may be repeated.", true, "address:port", parser)
        , timeout("", "timeout-ms", "Time limit for retries while the platform fails.", false,
                  default_timeout_ms, "ms", parser) {}

    platform_client client(command_io& io) const {
        return platform_client(io, parse_addresses(addresses.getValue()));
    }

    config::retry_policy policy() const {
        config::retry_policy out;
        out.timeout = std::chrono::milliseconds(timeout.getValue());
        return out;
    }

    TCLAP::MultiArg<std::string> addresses;
    TCLAP::ValueArg<std::uint32_t> timeout;
};

/// Parses a document file and returns the report of `action`, or the findings if the document is invalid.
template <class Action> report with_document(command_io& io, const std::string& path, Action action) {
    const config::validation_result<config::environment_document> document =
        config::environment_document::parse_for_publication(read_file(io, path));
    if (document) {
        return action(*document);
    }
    const file_check check{path, file_kind::document, document.error(), std::nullopt, ""};
    return make_report(std::vector<file_check>{check});
}

/// Publishes a document and returns the report of the result.
template <class Publication>
report publish(const std::string& environment, const config::environment_document& document,
               const platform_arguments& arguments, command_io& io) {
    platform_client client = arguments.client(io);
    Publication publication(environment, document, arguments.policy(), base::random_source(io.random_seed()));
    const config::publication_result result = run_publication(std::move(publication), client, io);
    return make_report(publication_outcome{environment, document.revision, document.sha256, result});
}

/// Reads sample inputs by pipeline name; throws `usage_error` for a pipeline that the document lacks.
std::map<std::string, json> read_inputs(command_io& io, const std::string& path,
                                        const config::environment_document& document) {
    if (path.empty()) {
        return {};
    }
    const json value = json::parse(read_file(io, path), nullptr, false, true);
    if (!value.is_object()) {
        throw usage_error{path + " must be a JSON object with pipeline names as keys and inputs as values"};
    }
    for (const auto& item : value.items()) {
        if (!document.pipelines.contains(base::pipeline_name(item.key()))) {
            throw usage_error{path + " has an input for " + item.key() +
                              ", which is not a pipeline of the document"};
        }
    }
    return value.get<std::map<std::string, json>>();
}

/// Returns the first line of the token file, or an empty string without a path.
std::string read_token(command_io& io, const std::string& path) {
    const std::string content = path.empty() ? "" : read_file(io, path);
    return content.substr(0, content.find_first_of("\r\n"));
}

std::string short_hash(std::uint64_t value) {
    constexpr std::size_t hash_digits = 16;
    return base::sha256_hex(std::to_string(value)).substr(0, hash_digits);
}

} // namespace

int run_check(const invocation& call) {
    command_line line(call, "Checks settings files and documents and lists all errors.");
    TCLAP::SwitchArg settings("", "settings", "The files are settings files.", line.parser());
    TCLAP::SwitchArg document("", "document", "The files are documents.", line.parser());
    TCLAP::UnlabeledMultiArg<std::string> paths("files", "Files to check.", true, "FILE", line.parser());
    return line.run([&]() {
        if (settings.getValue() && document.getValue()) {
            throw usage_error{"--settings and --document are mutually exclusive"};
        }
        const file_kind kind = settings.getValue()   ? file_kind::settings
                               : document.getValue() ? file_kind::document
                                                     : file_kind::unknown;
        std::vector<file_check> checks;
        for (const std::string& path : paths.getValue()) {
            checks.push_back(check_text(path, read_file(call.io, path), kind));
        }
        return make_report(checks);
    });
}

int run_apply(const invocation& call) {
    command_line line(call, "Publishes a document in an environment if its revision is higher than the "
                            "accepted one. Production accepts documents through promote only.");
    TCLAP::ValueArg<std::string> environment("", "environment", "Name of the environment.", true, "", "name",
                                             line.parser());
    const platform_arguments platform(line.parser());
    TCLAP::UnlabeledValueArg<std::string> path("file", "Document to apply.", true, "", "FILE", line.parser());
    return line.run([&]() {
        const std::string name = parse_environment(environment.getValue());
        return with_document(call.io, path.getValue(), [&](const config::environment_document& document) {
            if (name == production) {
                const config::publication_result refused{
                    config::publication_status::refused,
                    "production accepts proved documents only; use prove and promote"};
                return make_report(publication_outcome{name, document.revision, document.sha256, refused});
            }
            return publish<config::document_publication>(name, document, platform, call.io);
        });
    });
}

int run_promote(const invocation& call) {
    command_line line(call, "Publishes a document in production if the same bytes were proved in trial and "
                            "its revision is higher than the accepted one.");
    TCLAP::ValueArg<std::string> environment("", "environment", "Name of the environment.", false, production,
                                             "name", line.parser());
    const platform_arguments platform(line.parser());
    TCLAP::UnlabeledValueArg<std::string> path("file", "Document to promote.", true, "", "FILE",
                                               line.parser());
    return line.run([&]() {
        const std::string name = parse_environment(environment.getValue());
        return with_document(call.io, path.getValue(), [&](const config::environment_document& document) {
            return publish<config::document_promotion>(name, document, platform, call.io);
        });
    });
}

int run_prove(const invocation& call) {
    command_line line(call, "Checks that all given daemons have the document in force and that each pipeline "
                            "answers, and writes the proof that promote requires.");
    TCLAP::MultiArg<std::string> daemons("", "daemon",
                                         "Operator address of a trial daemon; repeat it for all of them.",
                                         true, "address:port", line.parser());
    TCLAP::ValueArg<std::string> environment("", "environment", "Environment of the daemons.", false, "trial",
                                             "name", line.parser());
    TCLAP::ValueArg<std::string> sample("", "sample",
                                        "JSON object with pipeline names as keys and inputs as values; other "
                                        "pipelines receive an empty object.",
                                        false, "", "FILE", line.parser());
    TCLAP::ValueArg<std::string> token(
        "", "token-file", "File with the bearer token of a client account for the sample requests.", false,
        "", "FILE", line.parser());
    TCLAP::ValueArg<std::uint32_t> adoption_timeout("", "wait-ms",
                                                    "Time limit for the daemons to adopt the document.",
                                                    false, default_wait_ms, "ms", line.parser());
    const platform_arguments platform(line.parser());
    TCLAP::UnlabeledValueArg<std::string> path("file", "Document to prove.", true, "", "FILE", line.parser());
    return line.run([&]() {
        return with_document(call.io, path.getValue(), [&](const config::environment_document& document) {
            platform_client client = platform.client(call.io);
            trial_options options;
            options.environment = parse_environment(environment.getValue());
            options.daemons = parse_addresses(daemons.getValue());
            options.inputs = read_inputs(call.io, sample.getValue(), document);
            options.token = read_token(call.io, token.getValue());
            options.adoption_timeout = std::chrono::milliseconds(adoption_timeout.getValue());
            options.key_suffix = "prove-" + short_hash(call.io.random_seed());
            const trial_result trial = run_trial(document, options, call.io);
            if (trial.code != exit_code::success) {
                return make_report(trial, {});
            }
            config::proof_publication publication(trial.proof, document, platform.policy(),
                                                  base::random_source(call.io.random_seed()));
            return make_report(trial, run_publication(std::move(publication), client, call.io));
        });
    });
}

} // namespace rattanbay::ctl::internal
