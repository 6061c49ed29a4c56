#include <rattanbay/base/hash.hpp>
#include <rattanbay/emulator/expected_output.hpp>

namespace rattanbay::emulator {

namespace {

using json = nlohmann::json;

constexpr std::size_t identity_digits = 16;

/// Returns the JSON object contained in a string, or the input itself.
json parse_embedded_object(const json& input) {
    if (input.is_string()) {
        json held = json::parse(input.get<std::string>(), nullptr, false);
        if (held.is_object()) {
            return held;
        }
    }
    return input;
}

std::string digest(const std::string& data) {
    return base::fast_hash(data).text().substr(0, identity_digits);
}

json make_embedding(const std::string& seed) {
    constexpr std::size_t dimensions = 8;
    constexpr double scale = 0x1.0p-32;
    constexpr unsigned unused_bits = 32;
    json out = json::array();
    for (std::size_t n = 0; n < dimensions; ++n) {
        const base::hash128 hash = base::fast_hash(seed + std::to_string(n));
        out.push_back(static_cast<double>(hash.low >> unused_bits) * scale);
    }
    return out;
}

json make_document_ids(const std::string& seed) {
    constexpr std::size_t count = 5;
    json out = json::array();
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back("doc-" + digest(seed + std::to_string(n)));
    }
    return out;
}

json make_items(worker_role role, const json& input, const std::string& seed) {
    if (role == worker_role::encode) {
        return make_embedding(seed);
    }
    const bool has_items = input.is_object() && input.contains("items") && input["items"].is_array();
    if (role == worker_role::retrieve || !has_items) {
        return make_document_ids(seed);
    }
    std::vector<json> items(input["items"].begin(), input["items"].end());
    std::stable_sort(items.begin(), items.end(), [&seed](const json& left, const json& right) {
        return digest(seed + left.dump()) < digest(seed + right.dump());
    });
    return items;
}

} // namespace

std::string identity_of(const json& input) {
    const json object = parse_embedded_object(input);
    if (object.is_object() && object.contains("identity") && object["identity"].is_string()) {
        return object["identity"].get<std::string>();
    }
    return digest(object.dump());
}

json worker_output(worker_role role, const json& input) {
    const json object = parse_embedded_object(input);
    const std::string name(base::to_name(role));
    const std::string seed = digest(name + object.dump());
    return json{{"identity", identity_of(object)},
                {"role", name},
                {"items", make_items(role, object, seed)},
                {"digest", seed}};
}

json plain_output(std::string_view service, const json& input) {
    const json object = parse_embedded_object(input);
    const std::string name(service);
    return json{
        {"identity", identity_of(object)}, {"service", name}, {"receipt", digest(name + object.dump())}};
}

token_generator::token_generator(const json& prompt, std::uint64_t seed)
    : identity_(identity_of(prompt))
    , hash_(digest(std::to_string(seed) + ":" + parse_embedded_object(prompt).dump())) {}

std::string token_generator::token(std::uint64_t index) const {
    if (index == 0) {
        return identity_;
    }
    constexpr std::size_t min_letters = 2;
    constexpr std::size_t length_choices = 6;
    constexpr std::uint64_t letters = 26;
    const base::hash128 hash = base::fast_hash(hash_ + ":" + std::to_string(index));
    std::uint64_t remaining = hash.low;
    std::string out(" ");
    for (std::size_t n = 0; n < min_letters + hash.high % length_choices; ++n) {
        out += static_cast<char>('a' + remaining % letters);
        remaining /= letters;
    }
    return out;
}

std::string token_generator::text(std::uint64_t count) const {
    std::string out;
    for (std::uint64_t n = 0; n < count; ++n) {
        out += token(n);
    }
    return out;
}

} // namespace rattanbay::emulator
