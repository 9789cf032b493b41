#pragma once

#include "tarragontrail/routing/prefix_identity.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace tarragontrail::routing {

constexpr std::size_t piece_bytes = 4096;  ///< Prompt text in one piece.
constexpr std::size_t bytes_per_token = 4; ///< Prompt text of one token, on average.
constexpr std::size_t max_pieces = 512;    ///< Longest chain; later text is not hashed.
constexpr std::uint64_t tokens_per_piece = piece_bytes / bytes_per_token; ///< Tokens in one piece.

/// Hash chain over the whole pieces of a canonical prompt, rooted in its identity.
///
/// Element i stands for pieces 0 to i of this identity only, so two chains agree at an element
/// exactly when the prompts agree up to there. The storage is kept between calls of `assign`.
class prefix_chain
{
public:
    prefix_chain() { m_hashes.reserve(max_pieces); }

    /// Hashes a prompt; text after the last whole piece or beyond max_pieces is left out.
    void assign(const prefix_identity& identity, std::string_view prompt);

    /// Root of the identity the chain was made for.
    std::uint64_t root() const noexcept { return m_root; }

    /// Hash of each prefix, shortest first.
    std::span<const std::uint64_t> hashes() const noexcept { return m_hashes; }

    /// Number of whole pieces.
    std::size_t size() const noexcept { return m_hashes.size(); }

private:
    std::uint64_t m_root = 0;            ///< Hash before the first piece.
    std::vector<std::uint64_t> m_hashes; ///< Chain; at most max_pieces long.
};

} // namespace tarragontrail::routing
