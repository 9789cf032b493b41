#include "tarragontrail/net/request_reader.hpp"

#include "tarragontrail/net/parsed_bytes.hpp"

#include <algorithm>

namespace tarragontrail::net {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Most bytes that are read at once behind a head whose length is not known.
constexpr std::size_t piece_bytes = std::size_t{16} * 1024;

/// Same for a body of a known length.
constexpr std::size_t body_piece_bytes = std::size_t{64} * 1024;

/// Links, lengths and allocation overhead of one header field.
constexpr std::size_t field_overhead_bytes = 96;

} // namespace

std::size_t memory_of_fields(const http_fields& fields)
{
    std::size_t sum = 0;
    for (const auto& field : fields)
    {
        sum += field.name_string().size() + field.value().size() + field_overhead_bytes;
    }
    return sum;
}

void request_reader::begin(const request_limits& limits)
{
    m_limits = limits;
    m_is_head_told = false;
    m_field_bytes = 0;
    m_parser.emplace();
    m_parser->header_limit(limits.m_header_bytes);
    m_parser->body_limit(limits.m_body_bytes);
}

void request_reader::add(std::string_view bytes)
{
    const auto space = m_buffer.prepare(bytes.size());
    std::copy(bytes.begin(), bytes.end(), static_cast<char*>(space.data()));
    m_buffer.commit(bytes.size());
}

request_reader::progress request_reader::read_on()
{
    while (!m_parser->is_done())
    {
        if (m_is_head_told)
        {
            m_parser->eager(true);
        }
        if (m_buffer.size() < least_parsed_bytes(*m_parser))
        {
            return progress::incomplete;
        }
        error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error && error != http::error::need_more)
        {
            return progress_of(error);
        }
        if (m_parser->is_header_done() && !m_is_head_told)
        {
            m_is_head_told = true;
            m_field_bytes = memory_of_fields(m_parser->get());
            return progress::head;
        }
        if (error)
        {
            // The parser has no bound of its own for trailers and for the lines between chunks.
            return m_buffer.size() > m_limits.m_header_bytes ? progress::head_too_large
                                                             : progress::incomplete;
        }
    }
    m_field_bytes = memory_of_fields(m_parser->get());
    return progress::whole;
}

request_reader::progress request_reader::progress_of(const error_code& error) const
{
    if (error == http::error::header_limit)
    {
        return progress::head_too_large;
    }
    if (error == http::error::body_limit)
    {
        return progress::body_too_large;
    }
    return progress::malformed;
}

void request_reader::clear()
{
    m_parser.reset();
    m_field_bytes = 0;
    m_buffer = {};
}

void request_reader::release_spare_memory()
{
    m_parser.reset();
    m_field_bytes = 0;
    if (m_buffer.size() == 0)
    {
        m_buffer = {};
    }
}

std::size_t request_reader::wanted_bytes() const
{
    if (!m_parser || !m_parser->is_header_done())
    {
        return piece_bytes;
    }
    const auto left = m_parser->content_length_remaining();
    if (!left)
    {
        return piece_bytes;
    }
    return static_cast<std::size_t>(
        std::clamp<std::uint64_t>(*left, piece_bytes, body_piece_bytes));
}

std::size_t request_reader::held_bytes() const
{
    std::size_t sum = m_buffer.capacity() + m_field_bytes;
    if (m_parser && m_parser->is_header_done())
    {
        // Room that was reserved for an announced length is not in use before bytes are in it.
        const std::string& body = m_parser->get().body();
        sum += m_parser->content_length() ? body.size() : body.capacity();
    }
    return sum;
}

} // namespace tarragontrail::net
