#pragma once

#include <cstdint>
#include <string_view>

namespace tarragontrail::core {

/// Hash (XXH3) of bytes with a seed.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// Hash of two integers, dependent on their order; used to extend hash chains.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) noexcept;

/// Rendezvous score of a node for a key: the node with the highest score owns the key.
std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t node) noexcept;

} // namespace tarragontrail::core
