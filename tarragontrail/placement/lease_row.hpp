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
    core::instance_id m_holder{};       ///< Holding instance.
    core::incarnation m_started{};      ///< Its incarnation.
    std::uint64_t m_nonce = 0;          ///< Random number of the holding object.
    std::uint64_t m_sequence = 0;       ///< Grows with each write of that object.
    std::uint64_t m_fence = 0;          ///< Fencing number; grows with each change of holder.
    std::chrono::milliseconds m_wait{}; ///< A successor waits this long over an unchanged row.
    bool m_free = false;                ///< Given up; a successor need not wait.

    bool operator==(const lease_row&) const = default;
};

/// A row's bytes are not a lease row.
class lease_row_error : public core::error
{
public:
    using core::error::error;
};

/// Bytes of a row.
std::string encode_row(const lease_row& row);

/// Row in bytes; throws lease_row_error on anything else.
lease_row decode_row(const std::string& bytes);

} // namespace tarragontrail::placement
