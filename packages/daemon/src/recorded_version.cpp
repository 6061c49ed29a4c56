#include "internal/recorded_version.hpp"

#include <rattanbay/base/hash.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::string_view digits = "0123456789abcdef";

std::string to_hex(std::string_view text) {
    const std::vector<std::uint8_t> bytes(text.begin(), text.end());
    return base::to_hex(bytes.data(), bytes.size());
}

std::optional<std::string> from_hex(std::string_view text) {
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 2) {
        const std::size_t high = digits.find(text[n]);
        const std::size_t low = digits.find(text[n + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        out.push_back(static_cast<char>(high * digits.size() + low));
    }
    return out;
}

} // namespace

std::string recorded_version::object_name() const {
    return to_hex(service.text()) + "-" + to_hex(version);
}

std::optional<recorded_version> recorded_version::parse(std::string_view object_name) {
    const std::size_t dash = object_name.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::string> service = from_hex(object_name.substr(0, dash));
    const std::optional<std::string> version = from_hex(object_name.substr(dash + 1));
    if (!service || !version) {
        return std::nullopt;
    }
    return recorded_version{base::service_name(*service), *version};
}

} // namespace rattanbay::daemon::internal
