#include "internal/object_reader.hpp"

#include <rattanbay/config/proof.hpp>

#include <algorithm>
#include <limits>

namespace rattanbay::config {

namespace {

using nlohmann::json;

std::vector<std::string> read_strings(internal::object_reader& reader, std::string_view key) {
    const json* list = reader.member(key);
    std::vector<std::string> out;
    if (list == nullptr) {
        return out;
    }
    const auto is_string = [](const json& row) { return row.is_string(); };
    if (!list->is_array() || !std::ranges::all_of(*list, is_string)) {
        reader.report(key, "must be an array of strings");
        return out;
    }
    return list->get<std::vector<std::string>>();
}

} // namespace

object_api::object_key proof::key(const std::string& sha256) {
    return {"proofs", sha256};
}

base::result<proof> proof::parse(std::string_view value) {
    return internal::read_object_value<proof>(value, [](internal::object_reader& reader, proof& out) {
        out.revision = reader.integer("revision", 1, std::numeric_limits<std::uint64_t>::max()).value_or(0);
        out.sha256 = reader.text("sha256").value_or("");
        out.environment = reader.text("environment").value_or("");
        out.daemons = read_strings(reader, "daemons");
        out.pipelines = read_strings(reader, "pipelines");
    });
}

std::string proof::serialize() const {
    return json{{"revision", revision},
                {"sha256", sha256},
                {"environment", environment},
                {"daemons", daemons},
                {"pipelines", pipelines}}
        .dump();
}

base::result<void> proof::check(const environment_document& document) const {
    using base::error_code;
    if (sha256 != document.sha256 || revision != document.revision) {
        return base::fail(error_code::conflict, "the proof is for revision " + std::to_string(revision) +
                                                    " with sha256 " + sha256 +
                                                    ", which is a different document");
    }
    if (daemons.empty()) {
        return base::fail(error_code::conflict, "the proof names no daemon that had the document in force");
    }
    for (const auto& row : document.pipelines) {
        if (std::ranges::find(pipelines, row.first.text()) == pipelines.end()) {
            return base::fail(error_code::conflict,
                              "pipeline " + row.first.text() + " did not answer in the trial");
        }
    }
    return {};
}

} // namespace rattanbay::config
