#include <rattanbay/base/utf8.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace rattanbay::base {

namespace {

/// Form of a sequence by its first byte: the number of bytes, and the range of the second one.
struct sequence_form {
    std::uint8_t first = 0;
    std::uint8_t last = 0;
    std::size_t bytes = 0;
    std::uint8_t min_second = 0x80;
    std::uint8_t max_second = 0xBF;
};

constexpr std::array<sequence_form, 9> forms{{
    {0x00, 0x7F, 1},
    {0xC2, 0xDF, 2},
    {0xE0, 0xE0, 3, 0xA0},
    {0xE1, 0xEC, 3},
    {0xED, 0xED, 3, 0x80, 0x9F},
    {0xEE, 0xEF, 3},
    {0xF0, 0xF0, 4, 0x90},
    {0xF1, 0xF3, 4},
    {0xF4, 0xF4, 4, 0x80, 0x8F},
}};

const sequence_form* find_form(std::uint8_t first) {
    for (const sequence_form& form : forms) {
        if (first >= form.first && first <= form.last) {
            return &form;
        }
    }
    return nullptr;
}

} // namespace

bool is_utf8(std::string_view text) {
    std::size_t n = 0;
    while (n < text.size()) {
        const sequence_form* const form = find_form(static_cast<std::uint8_t>(text[n]));
        if (form == nullptr || form->bytes > text.size() - n) {
            return false;
        }
        for (std::size_t k = 1; k < form->bytes; ++k) {
            const std::uint8_t byte = static_cast<std::uint8_t>(text[n + k]);
            const std::uint8_t min = k == 1 ? form->min_second : 0x80;
            const std::uint8_t max = k == 1 ? form->max_second : 0xBF;
            if (byte < min || byte > max) {
                return false;
            }
        }
        n += form->bytes;
    }
    return true;
}

} // namespace rattanbay::base
