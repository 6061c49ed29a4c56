#include "internal/object_reader.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config/document_object.hpp>

#include <limits>

namespace rattanbay::config {

object_api::object_key document_object::key(const std::string& environment) {
    return {"documents", environment};
}

base::result<document_object> document_object::parse(std::string_view value) {
    return internal::read_object_value<document_object>(value, [](internal::object_reader& reader,
                                                                  document_object& out) {
        out.revision = reader.integer("revision", 1, std::numeric_limits<std::uint64_t>::max()).value_or(0);
        out.sha256 = reader.text("sha256").value_or("");
        out.text = reader.text("text").value_or("");
    });
}

document_object document_object::of(const environment_document& document) {
    return {document.revision, document.sha256, document.text};
}

std::string document_object::serialize() const {
    return nlohmann::json{{"revision", revision}, {"sha256", sha256}, {"text", text}}.dump();
}

bool document_object::hash_matches() const {
    return base::sha256_hex(text) == sha256;
}

} // namespace rattanbay::config
