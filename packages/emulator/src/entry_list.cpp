#include <rattanbay/emulator/entry_list.hpp>

#include <nlohmann/json.hpp>

namespace rattanbay::emulator {

namespace {

using json = nlohmann::json;

std::string text_member(const json& object, const char* name) {
    const json value = object.is_object() ? object.value(name, json()) : json();
    return value.is_string() ? value.get<std::string>() : std::string();
}

} // namespace

base::result<entry_list> entry_list::parse(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    const bool valid = document.is_object() && document.contains("entries") &&
                       document["entries"].is_array() && document.contains("max_age_ms") &&
                       document["max_age_ms"].is_number_unsigned();
    if (!valid) {
        return base::fail(base::error_code::invalid_input, "the entry list lacks 'entries' or 'max_age_ms'");
    }
    entry_list out;
    for (const json& row : document["entries"]) {
        const base::result<base::address> address = base::address::parse(text_member(row, "address"));
        if (!address) {
            return tl::unexpected<base::error>(address.error());
        }
        out.entries.push_back(entry{*address, base::failure_domain(text_member(row, "failure_domain")),
                                    text_member(row, "key_prefix")});
    }
    if (out.entries.empty()) {
        return base::fail(base::error_code::invalid_input, "the entry list is empty");
    }
    out.max_age = base::from_milliseconds(document["max_age_ms"].get<std::int64_t>());
    return out;
}

} // namespace rattanbay::emulator
