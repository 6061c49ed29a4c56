#include "internal/json_text.hpp"
#include "internal/object_reader.hpp"
#include "internal/relay_reader.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config/environment_document.hpp>

#include <algorithm>
#include <cassert>
#include <set>

namespace rattanbay::config {

namespace {

using internal::child_pointer;
using internal::object_reader;
using internal::presence;
using nlohmann::json;

// Tools that store JSON numbers as doubles cannot represent all integers above 2^53 - 1.
constexpr std::uint64_t max_revision = (std::uint64_t{1} << 53U) - 1;
constexpr double min_expected_ms = 0.1;
constexpr double max_expected_ms = 600'000;
constexpr std::uint64_t max_deadline_ms = 3'600'000;
constexpr double min_rate = 0.001;
constexpr double max_rate = 1'000'000;
constexpr std::int64_t max_priority = 100;
constexpr std::size_t max_stages = 16;
constexpr std::size_t sha256_digits = 64;
// The platform accepts values of up to 1 MB; 256 bytes are reserved for the other members of the object.
constexpr std::size_t max_quoted_text_bytes = 1'000'000 - 256;

base::duration from_milliseconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>(value));
}

std::string quote(const std::string& text) {
    return "\"" + text + "\"";
}

/// Reads the kind of a service into `out`; returns false if it is missing or unknown.
bool read_kind(object_reader& reader, service_kind& out) {
    const std::optional<std::string> name = reader.text("kind");
    if (!name) {
        return false;
    }
    const std::optional<service_kind> kind = base::from_name<service_kind>(*name);
    if (!kind) {
        reader.report("kind", "must be one of worker_pool, model_engine, plain_service");
        return false;
    }
    out = *kind;
    return true;
}

service read_service(const std::string& name, const json& value, const std::string& pointer,
                     std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    service out;
    out.name = base::service_name(name);
    const bool kind_is_known = read_kind(reader, out.kind);
    out.expected_duration =
        from_milliseconds(reader.number("expected_ms", min_expected_ms, max_expected_ms).value_or(0));
    out.max_concurrency = reader.integer("concurrency", 1, max_concurrent_requests).value_or(1);
    out.reports_load = reader.boolean("reports_load", presence::optional).value_or(false);
    const std::optional<bool> checks_fencing = reader.boolean("checks_fencing", presence::optional);
    if (checks_fencing && kind_is_known && out.kind != service_kind::model_engine) {
        reader.report("checks_fencing", "is only valid for services of kind model_engine; remove it");
    }
    out.checks_fencing = checks_fencing.value_or(false);
    reader.report_unknown_keys();
    return out;
}

bool is_sha256(std::string_view text) {
    const auto is_digit = [](char symbol) {
        return (symbol >= '0' && symbol <= '9') || (symbol >= 'a' && symbol <= 'f');
    };
    return text.size() == sha256_digits && std::ranges::all_of(text, is_digit);
}

account read_account(const std::string& name, const json& value, const std::string& pointer,
                     std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    account out;
    out.name = base::account_id(name);
    const std::optional<std::string> token = reader.text("token_sha256");
    if (token && !is_sha256(*token)) {
        reader.report("token_sha256", "must be 64 lower-case hexadecimal digits");
    }
    out.token_sha256 = token.value_or("");
    out.requests_per_second = reader.number("requests_per_second", min_rate, max_rate).value_or(0);
    out.burst = reader.number("burst", 1, max_rate).value_or(0);
    out.max_concurrency = reader.integer("concurrency", 1, max_concurrent_requests).value_or(0);
    out.priority = static_cast<int>(
        reader.signed_integer("priority", -max_priority, max_priority, presence::optional).value_or(0));
    reader.report_unknown_keys();
    return out;
}

/// Reads and validates a document. Services are read first because stages refer to them.
class document_reader {
public:
    document_reader(environment_document& out, std::vector<finding>& findings)
        : out_(out)
        , findings_(findings) {}

    void read(const json& value) {
        object_reader reader(value, "", findings_);
        out_.revision = reader.integer("revision", 1, max_revision).value_or(0);
        out_.cost_weight = reader.number("cost_weight", 0, 1).value_or(0);
        out_.max_concurrent_requests =
            reader.integer("max_concurrent_requests", 1, max_concurrent_requests).value_or(0);
        const json* const relay = reader.member("relay", presence::optional);
        if (relay != nullptr) {
            out_.relay = internal::read_relay(*relay, reader.pointer_to("relay"), findings_);
        } else {
            read_services(reader);
            read_pipelines(reader);
            read_accounts(reader);
        }
        reader.report_unknown_keys();
    }

private:
    void read_services(object_reader& reader) {
        const json* members = reader.named_objects("services");
        if (members == nullptr) {
            return;
        }
        for (const auto& item : members->items()) {
            const std::string pointer = child_pointer("/services", item.key());
            const service read = read_service(item.key(), item.value(), pointer, findings_);
            out_.services.emplace(read.name, read);
        }
    }

    void read_pipelines(object_reader& reader) {
        const json* members = reader.named_objects("pipelines");
        if (members == nullptr) {
            return;
        }
        for (const auto& item : members->items()) {
            const std::string pointer = child_pointer("/pipelines", item.key());
            pipeline read = read_pipeline(item.key(), item.value(), pointer);
            out_.pipelines.emplace(read.name, std::move(read));
        }
    }

    pipeline read_pipeline(const std::string& name, const json& value, const std::string& pointer) {
        object_reader reader(value, pointer, findings_);
        pipeline out;
        out.name = base::pipeline_name(name);
        out.deadline =
            std::chrono::milliseconds(reader.integer("deadline_ms", 1, max_deadline_ms).value_or(0));
        const json* list = reader.member("stages");
        if (list != nullptr && (!list->is_array() || list->empty() || list->size() > max_stages)) {
            reader.report("stages", "must be an array of 1 to " + std::to_string(max_stages) + " stages");
        } else if (list != nullptr) {
            out.stages = read_stages(*list, reader.pointer_to("stages"));
        }
        reader.report_unknown_keys();
        return out;
    }

    std::vector<stage> read_stages(const json& list, const std::string& pointer) {
        std::vector<stage> out;
        std::set<std::string> names;
        for (std::size_t n = 0; n < list.size(); ++n) {
            const std::string stage_pointer = child_pointer(pointer, n);
            stage read = read_stage(list[n], stage_pointer, n + 1 == list.size());
            if (!read.name.empty() && !names.insert(read.name).second) {
                findings_.push_back({child_pointer(stage_pointer, "name"),
                                     quote(read.name) + " names an earlier stage of the pipeline; "
                                                        "stage names must be unique"});
            }
            out.push_back(std::move(read));
        }
        return out;
    }

    stage read_stage(const json& value, const std::string& pointer, bool last) {
        object_reader reader(value, pointer, findings_);
        stage out;
        out.name = reader.name("name").value_or("");
        const std::optional<std::string> service_text = reader.text("service");
        out.service = base::service_name(service_text.value_or(""));
        out.idempotent = reader.boolean("idempotent", presence::optional).value_or(true);
        if (service_text) {
            check_service(reader, out, last);
        }
        reader.report_unknown_keys();
        return out;
    }

    void check_service(object_reader& reader, const stage& read, bool last) {
        const auto it = out_.services.find(read.service);
        if (it == out_.services.end()) {
            if (!out_.services.empty()) {
                reader.report("service", "is not a known service; known services are " + service_names());
            }
            return;
        }
        if (it->second.kind != service_kind::model_engine) {
            return;
        }
        if (!last) {
            reader.report("service", quote(read.service.text()) +
                                         " is a model_engine, which only the last stage may use");
        }
        if (!read.idempotent) {
            reader.report("idempotent",
                          "a stage of a model_engine must be idempotent; remove the key or set it to true");
        }
    }

    std::string service_names() const {
        std::string out;
        for (const auto& row : out_.services) {
            out += (out.empty() ? "" : ", ") + row.first.text();
        }
        return out;
    }

    void read_accounts(object_reader& reader) {
        const json* members = reader.named_objects("accounts");
        if (members == nullptr) {
            return;
        }
        for (const auto& item : members->items()) {
            const std::string pointer = child_pointer("/accounts", item.key());
            account read = read_account(item.key(), item.value(), pointer, findings_);
            const auto [it, is_new] = out_.account_ids_by_token.emplace(read.token_sha256, read.name);
            if (!is_new && is_sha256(read.token_sha256)) {
                findings_.push_back({child_pointer(pointer, "token_sha256"),
                                     "account " + quote(it->second.text()) +
                                         " has the same token; each account needs its own"});
            }
            out_.accounts.emplace(read.name, std::move(read));
        }
    }

    environment_document& out_;
    std::vector<finding>& findings_;
};

/// Size of the text as a JSON string; nothing if it is not UTF-8.
std::optional<std::size_t> quoted_size(const std::string& text) {
    try {
        return json(text).dump().size();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

bool pipeline::idempotent() const {
    return std::ranges::all_of(stages, [](const stage& step) { return step.idempotent; });
}

validation_result<environment_document> environment_document::parse(std::string text) {
    internal::parsed_json parsed = internal::parse_json_with_comments(text);
    std::vector<finding>& findings = parsed.findings;
    if (!parsed.well_formed) {
        return tl::unexpected(std::move(findings));
    }
    environment_document out;
    document_reader(out, findings).read(parsed.value);
    if (!quoted_size(text)) {
        findings.push_back({"", "the text must be UTF-8, including comments"});
    }
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    out.sha256 = base::sha256_hex(text);
    out.text = std::move(text);
    return out;
}

validation_result<environment_document> environment_document::parse_for_publication(std::string text) {
    const std::size_t size = quoted_size(text).value_or(0);
    validation_result<environment_document> out = parse(std::move(text));
    if (size > max_quoted_text_bytes) {
        std::vector<finding> findings = out ? std::vector<finding>() : std::move(out.error());
        findings.push_back({"", "the text takes " + std::to_string(size) +
                                    " bytes as a JSON string; at most " +
                                    std::to_string(max_quoted_text_bytes) + " fit into one object"});
        return tl::unexpected(std::move(findings));
    }
    return out;
}

const account* environment_document::find_account_by_token(std::string_view token_sha256) const {
    assert(account_ids_by_token.size() == accounts.size());
    const auto it = account_ids_by_token.find(token_sha256);
    if (it == account_ids_by_token.end()) {
        return nullptr;
    }
    return &accounts.at(it->second);
}

} // namespace rattanbay::config
