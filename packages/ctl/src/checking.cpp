#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/config/settings.hpp>
#include <rattanbay/ctl/checking.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace rattanbay::ctl {

namespace {

using nlohmann::json;

/// Keys that occur in only one kind of file.
constexpr std::array<const char*, 4> settings_keys{"vm", "caller_address", "cluster_secret", "seed_peers"};
constexpr std::array<const char*, 4> document_keys{"revision", "pipelines", "services", "accounts"};

file_kind detect_kind(const json& value) {
    const auto has = [&value](const char* key) { return value.contains(key); };
    const bool has_settings_key = std::ranges::any_of(settings_keys, has);
    const bool has_document_key = std::ranges::any_of(document_keys, has);
    if (has_settings_key == has_document_key) {
        return file_kind::unknown;
    }
    return has_settings_key ? file_kind::settings : file_kind::document;
}

} // namespace

file_check check_text(const std::string& path, const std::string& text, file_kind kind) {
    file_check out{path, kind, {}, std::nullopt, ""};
    const json value = json::parse(text, nullptr, false, true);
    if (kind == file_kind::unknown && value.is_object()) {
        out.kind = detect_kind(value);
    }
    if (out.kind == file_kind::unknown && value.is_object()) {
        out.findings.push_back({"",
                                "the keys do not show whether this is a settings file or a document; pass "
                                "--settings or --document"});
        return out;
    }
    if (out.kind == file_kind::settings) {
        config::validation_result<config::settings> parsed = config::settings::parse(text);
        out.findings = parsed ? std::vector<config::finding>() : std::move(parsed.error());
        return out;
    }
    // This parser also reports text that is not a JSON object.
    config::validation_result<config::environment_document> parsed =
        config::environment_document::parse_for_publication(text);
    if (!parsed) {
        out.findings = std::move(parsed.error());
        return out;
    }
    out.revision = parsed->revision;
    out.sha256 = parsed->sha256;
    return out;
}

} // namespace rattanbay::ctl
