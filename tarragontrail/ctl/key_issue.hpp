#pragma once

#include <string>

namespace tarragontrail::ctl {

/// New key of a caller with its digest.
struct issued_key
{
    std::string m_key;    ///< Secret for the caller; shown once and kept nowhere.
    std::string m_digest; ///< SHA-256 in hexadecimal, for the bundle.
};

/// Makes a random key.
issued_key issue_key();

/// Digest of what an operator gave: a digest as it is, else the digest of a key.
std::string digest_of(const std::string& digest_or_key);

} // namespace tarragontrail::ctl
