#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragontrail::core {

/// Whole number in decimal digits that make up all of a text; nothing when the text is another.
inline std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    return failure == std::errc() && stop == end ? std::make_optional(number) : std::nullopt;
}

} // namespace tarragontrail::core
