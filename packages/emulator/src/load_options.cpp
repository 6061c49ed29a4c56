#include <rattanbay/emulator/load_options.hpp>

#include <nlohmann/json.hpp>

namespace rattanbay::emulator {

namespace {

using json = nlohmann::json;

tl::unexpected<base::error> invalid(const std::string& message) {
    return base::fail(base::error_code::invalid_input, message);
}

base::duration duration_or(const json& object, const char* name, base::duration fallback) {
    return object.contains(name) ? base::from_milliseconds(object.at(name).get<std::int64_t>()) : fallback;
}

base::result<expected_stage> parse_stage(const std::string& text) {
    constexpr std::string_view plain = "plain:";
    if (text == "generate") {
        return generate_stage{};
    }
    if (text.starts_with(plain)) {
        return plain_stage{text.substr(plain.size())};
    }
    const std::optional<worker_role> role = base::from_name<worker_role>(text);
    if (!role) {
        return invalid("stage '" + text + "' must be encode, retrieve, rerank, generate or plain:<service>");
    }
    return *role;
}

base::result<pipeline_load> parse_pipeline(const json& object) {
    pipeline_load out;
    out.name = object.at("name").get<std::string>();
    out.weight = object.value("weight", out.weight);
    out.idempotent = object.value("idempotent", out.idempotent);
    out.stream = object.value("stream", out.stream);
    out.max_tokens = object.value("max_tokens", out.max_tokens);
    if (object.contains("seed")) {
        out.seed = object["seed"].get<std::uint64_t>();
    }
    out.deadline = duration_or(object, "deadline_ms", out.deadline);
    for (const json& row : object.value("stages", json::array())) {
        base::result<expected_stage> stage = parse_stage(row.get<std::string>());
        if (!stage) {
            return tl::unexpected<base::error>(stage.error());
        }
        out.stages.push_back(std::move(*stage));
    }
    return out;
}

account_load parse_account(const json& object) {
    account_load out;
    out.token = object.at("token").get<std::string>();
    out.weight = object.value("weight", out.weight);
    out.callers = object.value("callers", out.callers);
    return out;
}

/// Parses the members; throws `json::exception` if one is missing or has the wrong type.
base::result<load_options> parse_members(const json& document) {
    load_options out;
    for (const json& row : document.at("entries")) {
        const base::result<base::address> address = base::address::parse(row.get<std::string>());
        if (!address) {
            return tl::unexpected<base::error>(address.error());
        }
        out.seeds.push_back(*address);
    }
    out.seed = document.value("seed", out.seed);
    for (const json& row : document.at("phases")) {
        out.phases.push_back({duration_or(row, "duration_ms", {}), row.at("rate").get<double>()});
    }
    for (const json& row : document.at("accounts")) {
        out.accounts.push_back(parse_account(row));
    }
    for (const json& row : document.at("pipelines")) {
        base::result<pipeline_load> pipeline = parse_pipeline(row);
        if (!pipeline) {
            return tl::unexpected<base::error>(pipeline.error());
        }
        out.pipelines.push_back(std::move(*pipeline));
    }
    out.inactivity_timeout = duration_or(document, "silence_limit_ms", out.inactivity_timeout);
    out.max_in_progress = document.value("max_in_progress", out.max_in_progress);
    return out;
}

} // namespace

base::result<load_options> load_options::parse(std::string_view text) {
    const json document = json::parse(text, nullptr, false, true);
    if (!document.is_object()) {
        return invalid("the load options must be a JSON object");
    }
    base::result<load_options> out = invalid("");
    try {
        out = parse_members(document);
    } catch (const json::exception& raised) {
        return invalid(raised.what());
    }
    if (out) {
        const base::result<void> checked = out->validate();
        if (!checked) {
            return tl::unexpected<base::error>(checked.error());
        }
    }
    return out;
}

base::result<void> load_options::validate() const {
    if (seeds.empty() || phases.empty() || accounts.empty() || pipelines.empty()) {
        return invalid("entries, phases, accounts and pipelines must not be empty");
    }
    for (const load_phase& row : phases) {
        if (row.rate < 0 || row.duration < base::duration::zero()) {
            return invalid("rate and duration of a phase must not be negative");
        }
    }
    for (const account_load& row : accounts) {
        if (row.callers == 0 || row.weight < 0) {
            return invalid("an account needs at least one caller and a weight that is not negative");
        }
    }
    for (const pipeline_load& row : pipelines) {
        if (row.name.empty() || row.weight < 0 || row.max_tokens == 0) {
            return invalid("a pipeline needs a name, at least one token and a weight that is not negative");
        }
        if (row.stream && !row.idempotent) {
            return invalid("pipeline '" + row.name + "' cannot be both streamed and non-idempotent here");
        }
    }
    return {};
}

} // namespace rattanbay::emulator
