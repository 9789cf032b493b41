#pragma once

#include "tarragontrail/core/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace tarragontrail::core {

/// Thrown when bytes are not what compress() made of a text of the size named.
class compression_error : public error
{
public:
    using error::error;
};

/// Text in raw DEFLATE form (RFC 1951).
std::string compress(std::string_view text);

/// Text of a known size from its compressed form; throws compression_error.
std::string decompress(std::string_view compressed, std::size_t size_bytes);

} // namespace tarragontrail::core
