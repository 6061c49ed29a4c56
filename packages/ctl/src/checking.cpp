#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/config/settings.hpp>
#include <rattanbay/ctl/checking.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace rattanbay::ctl {

namespace {

using nlohmann::json;

/// Keys that only one kind of file has.
constexpr std::array<const char*, 4> settings_keys{"vm", "caller_address", "cluster_secret", "seed_peers"};
constexpr std::array<const char*, 4> document_keys{"revision", "pipelines", "services", "accounts"};

file_kind detect(const json& value) {
    const auto has = [&value](const char* key) { return value.contains(key); };
    const bool like_settings = std::ranges::any_of(settings_keys, has);
    const bool like_document = std::ranges::any_of(document_keys, has);
    if (like_settings == like_document) {
        return file_kind::detect;
    }
    return like_settings ? file_kind::settings : file_kind::document;
}

} // namespace

file_check check_text(const std::string& path, const std::string& text, file_kind kind) {
    file_check out{path, kind, {}, std::nullopt, ""};
    const json value = json::parse(text, nullptr, false, true);
    if (kind == file_kind::detect && value.is_object()) {
        out.kind = detect(value);
    }
    if (out.kind == file_kind::detect && value.is_object()) {
        out.findings.push_back({"", "the keys do not tell whether this is a settings file or a document; say "
                                    "so with --settings or --document"});
        return out;
    }
    if (out.kind == file_kind::settings) {
        config::validation_result<config::settings> read = config::settings::parse(text);
        out.findings = read ? std::vector<config::finding>() : std::move(read.error());
        return out;
    }
    // Text that is not a JSON object gets its finding from this parser too.
    config::validation_result<config::environment_document> read = config::environment_document::parse(text);
    if (!read) {
        out.findings = std::move(read.error());
        return out;
    }
    out.revision = read->revision;
    out.sha256 = read->sha256;
    return out;
}

} // namespace rattanbay::ctl
