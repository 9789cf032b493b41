#pragma once

#include "tarragontrail/net/http_types.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace tarragontrail::net {

/// Bounds on one request.
struct request_limits
{
    /// Largest head; also the largest trailer, and the largest line that begins a chunk.
    std::uint32_t m_header_bytes = 0;
    std::uint64_t m_body_bytes = 0; ///< Largest body.
};

/// Reads requests from the bytes of a connection. What it keeps is bounded by the limits of the
/// request, however the client frames it.
class request_reader
{
public:
    /// How far the current request has come.
    enum class progress
    {
        incomplete,     ///< More bytes are needed.
        head,           ///< The head is whole; told once for each request.
        whole,          ///< The request is whole.
        malformed,      ///< Not HTTP.
        head_too_large, ///< Head or trailer, or the line before a chunk, over the limit.
        body_too_large, ///< Body over the limit.
    };

    /// Begins a request, whose first bytes may have been added already.
    void begin(const request_limits& limits);

    /// Adds bytes of the connection.
    void add(std::string_view bytes);

    /// Reads on in the bytes that were added.
    progress read_on();

    /// Head of the current request.
    const http_request& head() const { return m_parser->get(); }

    /// Hands the whole request out.
    http_request take() { return m_parser->release(); }

    /// Drops the current request and all bytes.
    void clear();

    /// Gives back buffers that hold nothing.
    void release_spare_memory();

    /// Bytes that were added and not read.
    std::size_t unread_bytes() const noexcept { return m_buffer.size(); }

    /// Most bytes that the current request can use of the next ones.
    std::size_t wanted_bytes() const;

    /// Memory held for the current request and for the bytes behind it.
    std::size_t held_bytes() const;

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    progress progress_of(const boost::system::error_code& error) const;

    boost::beast::flat_buffer m_buffer; ///< Bytes added and not read.
    std::optional<parser> m_parser;     ///< Of the current request.
    request_limits m_limits;            ///< Of the current request.
    bool m_is_head_told = false;        ///< The end of its head was told.
    std::size_t m_field_bytes = 0;      ///< Memory of its header fields.
};

/// Memory that a message's header fields take.
std::size_t memory_of_fields(const http_fields& fields);

} // namespace tarragontrail::net
