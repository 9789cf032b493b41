#include "tarragontrail/core/hash.hpp"

#include "tarragontrail/core/ids.hpp"

#include <array>
#include <xxhash.h>

namespace tarragontrail::core {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) noexcept
{
    const std::array<std::uint64_t, 2> words{first, second};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t node) noexcept
{
    return hash_pair(key, node);
}

std::uint64_t hash_name(std::string_view name) noexcept
{
    return hash_bytes(name);
}

} // namespace tarragontrail::core
