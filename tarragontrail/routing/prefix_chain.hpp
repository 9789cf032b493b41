#pragma once

#include "tarragontrail/routing/prefix_identity.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace tarragontrail::routing {

constexpr std::size_t piece_bytes = 4096;  ///< Bytes of prompt text in one piece.
constexpr std::size_t bytes_per_token = 4; ///< Average bytes of prompt text in one token.
constexpr std::size_t max_pieces = 512;    ///< Limit of a chain's length; later text is not hashed.
constexpr std::uint64_t tokens_per_piece = piece_bytes / bytes_per_token;

/// Hash chain over the pieces of a canonical prompt, with the root of its identity as start value.
///
/// A piece is piece_bytes of prompt text; a depth counts leading pieces. Element i depends on the
/// identity and pieces 0 to i, so two chains have the same element at a position exactly if
/// identity and text are equal up to there. The memory is reused by later calls of `assign`.
class prefix_chain
{
public:
    prefix_chain() { m_hashes.reserve(max_pieces); }

    /// Hashes a prompt; text after the last complete piece or beyond max_pieces is ignored.
    void assign(const prefix_identity& identity, std::string_view prompt);

    /// Root of the identity passed to `assign`.
    std::uint64_t root() const noexcept { return m_root; }

    /// Hashes of all prefixes, shortest first.
    std::span<const std::uint64_t> hashes() const noexcept { return m_hashes; }

    /// Number of complete pieces.
    std::size_t size() const noexcept { return m_hashes.size(); }

private:
    std::uint64_t m_root = 0;            ///< Hash before the first piece.
    std::vector<std::uint64_t> m_hashes; ///< At most max_pieces hashes.
};

} // namespace tarragontrail::routing
