#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tarragontrail::config {

/// SHA-256 digest of a caller's key or of a document.
using sha256_digest = std::array<std::uint8_t, 32>;

/// Leading half of a key's digest; identifies the key in withdrawals.
struct key_prefix
{
    std::uint64_t m_high = 0; ///< Digest bytes 0..7, big-endian.
    std::uint64_t m_low = 0;  ///< Digest bytes 8..15, big-endian.

    bool operator==(const key_prefix&) const = default;

    /// Lexicographic order of the digest bytes.
    constexpr bool operator<(const key_prefix& other) const noexcept
    {
        return m_high != other.m_high ? m_high < other.m_high : m_low < other.m_low;
    }
};

/// Computes the SHA-256 digest of `bytes`.
sha256_digest sha256(std::string_view bytes);

/// Leading half of a digest.
key_prefix prefix_of(const sha256_digest& digest) noexcept;

/// Lower-case hexadecimal text of a digest, 64 characters.
std::string to_hex(const sha256_digest& digest);

/// Parses 64 lower-case hexadecimal characters. Returns false and leaves `digest` unspecified for
/// any other text.
bool from_hex(std::string_view text, sha256_digest& digest) noexcept;

} // namespace tarragontrail::config
