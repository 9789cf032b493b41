#include "tarragontrail/relay/cache_salt.hpp"

#include <charconv>
#include <fmt/format.h>

namespace tarragontrail::relay {

std::string to_string(const cache_salt& salt)
{
    const auto version = static_cast<std::uint64_t>(salt.m_version);
    return salt.m_isolation_id == 0 ? fmt::format("v{}", version)
                                    : fmt::format("v{}-{:x}", version, salt.m_isolation_id);
}

std::optional<cache_salt> parse_cache_salt(std::string_view text)
{
    if (!text.starts_with('v'))
    {
        return std::nullopt;
    }
    const char* end = text.data() + text.size();
    std::uint64_t version = 0;
    std::uint64_t isolation_id = 0;
    auto [at, failure] = std::from_chars(text.data() + 1, end, version);
    if (failure != std::errc())
    {
        return std::nullopt;
    }
    if (at != end && *at == '-')
    {
        constexpr int hexadecimal = 16;
        const auto read = std::from_chars(at + 1, end, isolation_id, hexadecimal);
        at = read.ptr;
        failure = read.ec;
    }
    if (failure != std::errc() || at != end)
    {
        return std::nullopt;
    }
    return cache_salt{placement::weights_version{version}, isolation_id};
}

} // namespace tarragontrail::relay
