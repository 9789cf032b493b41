#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::placement {

/// Row of a lease in the table service.
struct lease_row
{
    core::instance_id m_holder{};  ///< Instance that holds the lease.
    core::incarnation m_started{}; ///< Incarnation of that instance.
    std::uint64_t m_nonce = 0;     ///< Random number that identifies the holding row_lease object.
    std::uint64_t m_sequence = 0;  ///< Grows with each write of that object.
    std::uint64_t m_fence = 0;     ///< Fencing number; increases with each change of holder.
    std::chrono::milliseconds m_wait{}; ///< Time for which a successor must see the row unchanged.
    bool m_free = false;                ///< The lease was released; a successor need not wait.

    bool operator==(const lease_row&) const = default;
};

/// The bytes of a row do not encode a lease_row.
class lease_row_error : public core::error
{
public:
    using core::error::error;
};

/// Encodes a row as a CBOR array.
std::string encode_row(const lease_row& row);

/// Decodes a row; throws lease_row_error when it is malformed.
lease_row decode_row(const std::string& bytes);

} // namespace tarragontrail::placement
