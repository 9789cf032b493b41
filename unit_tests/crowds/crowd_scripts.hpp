#pragma once

#include "unit_tests/crowds/crowd.hpp"

namespace tarragontrail::test {

/// Scripts of clients that do not behave. `head` is that of a sound request, without its framing
/// and the empty line; of eight clients one sends what is whole, the others stop just short of the
/// end and stay.
class crowd_scripts
{
public:
    explicit crowd_scripts(std::string head, std::size_t body_bytes = std::size_t{4} * 1024 * 1024)
        : m_head(std::move(head)), m_body_bytes(body_bytes)
    {}

    /// Trailer fields without end behind a chunked body.
    crowd::script_maker endless_trailer() const;

    /// One trailer field without end.
    crowd::script_maker endless_trailer_line() const;

    /// Extension of a chunk without end.
    crowd::script_maker endless_extension() const;

    /// Header field without end.
    crowd::script_maker endless_head() const;

    /// Head of as many small fields as it may have, and a body of a few bytes.
    crowd::script_maker many_small_fields() const;

    /// Body of the longest length, at once.
    crowd::script_maker large_body() const;

    /// Same in pieces with pauses.
    crowd::script_maker slow_body() const;

    /// Body in chunks of 1 MB.
    crowd::script_maker large_chunks() const;

    /// Body in chunks of one byte.
    crowd::script_maker tiny_chunks() const;

    /// Chunked request without a body, byte by byte.
    crowd::script_maker last_chunk_in_pieces() const;

    /// Request without a body, whose answer the client does not read.
    crowd::script_maker unread_answer() const;

    /// Requests with bodies one behind the other, whose answers the client does not read.
    crowd::script_maker pipelined_requests() const;

    /// Connection on which nothing is sent.
    static crowd::script_maker idle_connection();

    /// First byte of a request.
    static crowd::script_maker first_byte();

    /// Handshake of a websocket and one message of 16 MB.
    static crowd::script_maker large_websocket_message();

private:
    std::string chunked_head() const;
    crowd::script_maker body_in_pieces(std::size_t piece_bytes,
                                       std::chrono::milliseconds pace) const;

    std::string m_head;
    std::size_t m_body_bytes; ///< Longest body that is allowed.
};

} // namespace tarragontrail::test
