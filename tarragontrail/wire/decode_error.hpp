#pragma once

#include "tarragontrail/core/error.hpp"

namespace tarragontrail::wire {

/// Bytes received from elsewhere are not what their schema says.
class decode_error : public core::error
{
public:
    using core::error::error;
};

} // namespace tarragontrail::wire
