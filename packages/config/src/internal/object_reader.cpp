#include "internal/object_reader.hpp"

#include <rattanbay/config/name.hpp>

#include <algorithm>

namespace rattanbay::config::internal {

namespace {

using nlohmann::json;

std::string to_text(double value) {
    return json(value).dump();
}

std::string range_message(const std::string& what, const std::string& low, const std::string& high) {
    return "must be " + what + " from " + low + " to " + high;
}

std::string describe_actual(const json& value) {
    return std::string("; got ") + (value.is_primitive() && !value.is_string()
                                        ? value.dump(-1, ' ', false, json::error_handler_t::replace)
                                        : std::string("a value of type ") + value.type_name());
}

} // namespace

object_reader::object_reader(const json& value, std::string pointer, std::vector<finding>& findings)
    : value_(value)
    , pointer_(std::move(pointer))
    , findings_(findings) {
    if (!value_.is_object()) {
        findings_.push_back({pointer_, "must be an object" + describe_actual(value_)});
    }
}

std::optional<std::uint64_t> object_reader::integer(std::string_view key, std::uint64_t low,
                                                    std::uint64_t high, presence requirement) {
    const json* it = member(key, requirement);
    if (it == nullptr) {
        return std::nullopt;
    }
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() < low || it->get<std::uint64_t>() > high) {
        report(key,
               range_message("an integer", std::to_string(low), std::to_string(high)) + describe_actual(*it));
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

std::optional<std::int64_t> object_reader::signed_integer(std::string_view key, std::int64_t low,
                                                          std::int64_t high, presence requirement) {
    const json* it = member(key, requirement);
    if (it == nullptr) {
        return std::nullopt;
    }
    const bool too_large = it->is_number_unsigned() && !std::in_range<std::int64_t>(it->get<std::uint64_t>());
    if (!it->is_number_integer() || too_large || it->get<std::int64_t>() < low ||
        it->get<std::int64_t>() > high) {
        report(key,
               range_message("an integer", std::to_string(low), std::to_string(high)) + describe_actual(*it));
        return std::nullopt;
    }
    return it->get<std::int64_t>();
}

std::optional<double> object_reader::number(std::string_view key, double low, double high,
                                            presence requirement) {
    const json* it = member(key, requirement);
    if (it == nullptr) {
        return std::nullopt;
    }
    if (!it->is_number() || it->get<double>() < low || it->get<double>() > high) {
        report(key, range_message("a number", to_text(low), to_text(high)) + describe_actual(*it));
        return std::nullopt;
    }
    return it->get<double>();
}

std::optional<bool> object_reader::boolean(std::string_view key, presence requirement) {
    const json* it = member(key, requirement);
    if (it == nullptr) {
        return std::nullopt;
    }
    if (!it->is_boolean()) {
        report(key, "must be true or false" + describe_actual(*it));
        return std::nullopt;
    }
    return it->get<bool>();
}

std::optional<std::string> object_reader::text(std::string_view key, presence requirement) {
    const json* it = member(key, requirement);
    if (it == nullptr) {
        return std::nullopt;
    }
    if (!it->is_string()) {
        report(key, "must be a string" + describe_actual(*it));
        return std::nullopt;
    }
    return it->get<std::string>();
}

std::optional<std::string> object_reader::name(std::string_view key) {
    std::optional<std::string> value = text(key);
    if (value && !is_valid_name(*value)) {
        report(key, std::string(name_rule));
        return std::nullopt;
    }
    return value;
}

std::optional<base::address> object_reader::address(std::string_view key) {
    const std::optional<std::string> value = text(key);
    if (!value) {
        return std::nullopt;
    }
    const base::result<base::address> parsed = base::address::parse(*value);
    if (!parsed) {
        report(key, "must be an IPv4 address and port such as 127.0.1.1:8080");
        return std::nullopt;
    }
    return *parsed;
}

std::vector<std::optional<base::address>> object_reader::addresses(std::string_view key,
                                                                   std::size_t min_size) {
    std::vector<std::optional<base::address>> out;
    const json* list = member(key);
    if (list == nullptr) {
        return out;
    }
    if (!list->is_array() || list->size() < min_size) {
        report(key,
               "must be an array of addresses such as 127.0.0.1:2379, at least " + std::to_string(min_size));
        return out;
    }
    for (std::size_t n = 0; n < list->size(); ++n) {
        const json& row = (*list)[n];
        const base::result<base::address> parsed =
            row.is_string() ? base::address::parse(row.get_ref<const std::string&>())
                            : base::fail(base::error_code::invalid_input, "");
        out.push_back(parsed ? std::optional(*parsed) : std::nullopt);
        if (!parsed) {
            findings_.push_back({child_pointer(pointer_to(key), n),
                                 "must be an IPv4 address and port such as 127.0.0.1:2379"});
        }
    }
    return out;
}

const json* object_reader::member(std::string_view key, presence requirement) {
    known_keys_.emplace(key);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto it = value_.find(key);
    if (it != value_.end()) {
        return &*it;
    }
    if (requirement == presence::required) {
        report(key, "is missing");
    }
    return nullptr;
}

const json* object_reader::named_objects(std::string_view key) {
    const json* value = member(key);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_object() || value->empty()) {
        report(key, "must be an object with at least one member");
        return nullptr;
    }
    for (const auto& item : value->items()) {
        if (!is_valid_name(item.key())) {
            findings_.push_back({child_pointer(pointer_to(key), item.key()), std::string(name_rule)});
        }
    }
    return value;
}

void object_reader::report_unknown_keys() {
    if (!value_.is_object()) {
        return;
    }
    for (const auto& item : value_.items()) {
        if (!known_keys_.contains(item.key())) {
            std::string known;
            for (const std::string& key : known_keys_) {
                known += (known.empty() ? "" : ", ") + key;
            }
            report(item.key(), "is not a known key; known keys are " + known);
        }
    }
}

void object_reader::report(std::string_view key, std::string message) {
    findings_.push_back({pointer_to(key), std::move(message)});
}

} // namespace rattanbay::config::internal
