#pragma once

#include <cstddef>
#include <string_view>

namespace tarragontrail::net {

/// Least bytes that a parser is given of a message. The parser ends the process by an assertion
/// when it is given the beginning of a last chunk for the second time and this is shorter than the
/// least last chunk; no body in chunks ends with fewer bytes.
template <class Parser>
std::size_t least_parsed_bytes(const Parser& parser)
{
    return parser.is_header_done() && parser.chunked() ? std::string_view("0\r\n\r\n").size() : 1;
}

} // namespace tarragontrail::net
