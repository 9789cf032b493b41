#include "tarragontrail/ctl/key_issue.hpp"

#include "tarragontrail/config/key_digest.hpp"
#include "tarragontrail/core/error.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <fmt/core.h>
#include <openssl/rand.h>

namespace tarragontrail::ctl {
namespace {

constexpr std::size_t key_bytes = 32;
constexpr std::size_t digest_characters = 64;

/// The random source of the machine gave nothing.
class random_source_error : public core::error
{
public:
    using core::error::error;
};

} // namespace

issued_key issue_key()
{
    std::array<unsigned char, key_bytes> random{};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1)
    {
        throw random_source_error("no random bytes for a key");
    }
    issued_key made;
    made.m_key = "tt-";
    for (const unsigned char byte : random)
    {
        made.m_key += fmt::format("{:02x}", byte);
    }
    made.m_digest = config::to_hex(config::sha256(made.m_key));
    return made;
}

std::string digest_of(const std::string& digest_or_key)
{
    std::string lower = digest_or_key;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    config::sha256_digest digest{};
    if (lower.size() == digest_characters && config::from_hex(lower, digest))
    {
        return lower;
    }
    return config::to_hex(config::sha256(digest_or_key));
}

} // namespace tarragontrail::ctl
