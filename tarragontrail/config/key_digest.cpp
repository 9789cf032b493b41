#include "tarragontrail/config/key_digest.hpp"

#include "tarragontrail/core/error.hpp"

#include <openssl/evp.h>

namespace tarragontrail::config {

namespace {

/// OpenSSL could not compute a digest.
class digest_error : public core::error
{
public:
    digest_error() : error("SHA-256 is not available") {}
};

/// Value of a lower-case hexadecimal digit, or -1.
int digit_value(char digit) noexcept
{
    if (digit >= '0' && digit <= '9')
    {
        return digit - '0';
    }
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

/// Eight bytes as a big-endian integer.
std::uint64_t load_big_endian(const std::uint8_t* bytes) noexcept
{
    std::uint64_t value = 0;
    for (int i = 0; i < 8; ++i)
    {
        value = (value << 8) | bytes[i];
    }
    return value;
}

} // namespace

sha256_digest sha256(std::string_view bytes)
{
    // Fetched once, as looking up the algorithm takes longer than hashing a key.
    static const EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    sha256_digest digest{};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, algorithm, nullptr) != 1)
    {
        throw digest_error();
    }
    return digest;
}

key_prefix prefix_of(const sha256_digest& digest) noexcept
{
    return {load_big_endian(digest.data()), load_big_endian(digest.data() + 8)};
}

std::string to_hex(const sha256_digest& digest)
{
    static constexpr const char* digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const std::uint8_t byte : digest)
    {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

bool from_hex(std::string_view text, sha256_digest& digest) noexcept
{
    if (text.size() != 2 * digest.size())
    {
        return false;
    }
    for (std::size_t i = 0; i < digest.size(); ++i)
    {
        const int high = digit_value(text[2 * i]);
        const int low = digit_value(text[2 * i + 1]);
        if (high < 0 || low < 0)
        {
            return false;
        }
        digest[i] = static_cast<std::uint8_t>(high << 4 | low);
    }
    return true;
}

} // namespace tarragontrail::config
