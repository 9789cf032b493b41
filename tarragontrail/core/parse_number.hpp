#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragontrail::core {

/// Parses an unsigned decimal number. Returns nothing if the text contains anything but digits, is
/// empty, or the number exceeds 64 bits.
inline std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    return failure == std::errc() && stop == end ? std::make_optional(number) : std::nullopt;
}

} // namespace tarragontrail::core
