#include "unit_tests/crowds/crowd_scripts.hpp"

#include <fmt/format.h>

namespace tarragontrail::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t piece_bytes = std::size_t{64} * 1024;

bool is_whole(std::size_t number)
{
    constexpr std::size_t one_of = 8;
    return number % one_of == 0;
}

std::string chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

/// Without its last byte unless the client is one that sends what is whole.
std::string last_chunk(std::size_t number)
{
    return is_whole(number) ? "0\r\n\r\n" : "0\r\n\r";
}

crowd::script_maker endless(const std::string& opening, const std::string& piece)
{
    return [opening, piece](std::size_t) {
        crowd_script script;
        script.m_opening = opening;
        script.m_piece = piece;
        return script;
    };
}

} // namespace

std::string crowd_scripts::chunked_head() const
{
    return m_head + "Transfer-Encoding: chunked\r\n\r\n";
}

crowd::script_maker crowd_scripts::endless_trailer() const
{
    constexpr std::size_t line_bytes = 1'000;
    std::string lines;
    while (lines.size() < piece_bytes)
    {
        lines += "X-Trailer: " + std::string(line_bytes, 'x') + "\r\n";
    }
    return endless(chunked_head() + chunk(1) + "0\r\n", lines);
}

crowd::script_maker crowd_scripts::endless_trailer_line() const
{
    return endless(chunked_head() + chunk(1) + "0\r\nX-Trailer: ", std::string(piece_bytes, 'x'));
}

crowd::script_maker crowd_scripts::endless_extension() const
{
    return endless(chunked_head() + "1;x=", std::string(piece_bytes, 'x'));
}

crowd::script_maker crowd_scripts::endless_head() const
{
    return endless(m_head + "X-More: ", std::string(piece_bytes, 'x'));
}

crowd::script_maker crowd_scripts::many_small_fields() const
{
    constexpr std::size_t fields = 3'800;
    std::string head = m_head;
    for (std::size_t i = 0; i < fields; ++i)
    {
        head += "a:\r\n";
    }
    return [head](std::size_t number) {
        crowd_script script;
        script.m_opening =
            head + "Content-Length: 9\r\n\r\n12345678" + (is_whole(number) ? "9" : "");
        return script;
    };
}

crowd::script_maker crowd_scripts::body_in_pieces(std::size_t bytes,
                                                  std::chrono::milliseconds pace) const
{
    return [head = m_head, length = m_body_bytes, bytes, pace](std::size_t number) {
        crowd_script script;
        script.m_opening = fmt::format("{}Content-Length: {}\r\n\r\n", head, length);
        script.m_pieces = (length - 1) / bytes;
        script.m_piece = std::string(bytes, 'x');
        script.m_closing =
            std::string(length - script.m_pieces * bytes - (is_whole(number) ? 0 : 1), 'x');
        script.m_pace = pace;
        return script;
    };
}

crowd::script_maker crowd_scripts::large_body() const
{
    return body_in_pieces(piece_bytes, 0ms);
}

crowd::script_maker crowd_scripts::slow_body() const
{
    return body_in_pieces(std::size_t{40} * 1024, 10ms);
}

crowd::script_maker crowd_scripts::large_chunks() const
{
    return [head = chunked_head(), length = m_body_bytes](std::size_t number) {
        constexpr std::size_t chunk_bytes = 1'000'000;
        crowd_script script;
        script.m_opening = head;
        script.m_piece = chunk(chunk_bytes);
        script.m_pieces = length / chunk_bytes;
        script.m_closing = last_chunk(number);
        return script;
    };
}

crowd::script_maker crowd_scripts::tiny_chunks() const
{
    return [head = chunked_head(), length = m_body_bytes](std::size_t number) {
        constexpr std::size_t chunks_a_piece = 4'000;
        crowd_script script;
        script.m_opening = head;
        for (std::size_t i = 0; i < chunks_a_piece; ++i)
        {
            script.m_piece += chunk(1);
        }
        script.m_pieces = length / chunks_a_piece;
        script.m_closing = last_chunk(number);
        return script;
    };
}

crowd::script_maker crowd_scripts::last_chunk_in_pieces() const
{
    return [head = chunked_head()](std::size_t) {
        crowd_script script;
        script.m_opening = head + "0\r\n";
        script.m_piece = "\r";
        script.m_pieces = 1;
        script.m_closing = "\n";
        script.m_pace = 50ms;
        return script;
    };
}

crowd::script_maker crowd_scripts::unread_answer() const
{
    return [head = m_head](std::size_t) {
        crowd_script script;
        script.m_opening = head + "\r\n";
        script.m_reads = false;
        return script;
    };
}

crowd::script_maker crowd_scripts::pipelined_requests() const
{
    return [head = m_head](std::size_t) {
        constexpr std::size_t body_bytes = 100'000;
        crowd_script script;
        script.m_opening = fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body_bytes,
                                       std::string(body_bytes, 'x'));
        script.m_piece = script.m_opening;
        script.m_reads = false;
        return script;
    };
}

crowd::script_maker crowd_scripts::idle_connection()
{
    return [](std::size_t) { return crowd_script(); };
}

crowd::script_maker crowd_scripts::first_byte()
{
    return [](std::size_t) {
        crowd_script script;
        script.m_opening = "P";
        return script;
    };
}

crowd::script_maker crowd_scripts::large_websocket_message()
{
    return [](std::size_t) {
        crowd_script script;
        script.m_opening = "GET /peer HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\n"
                           "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        // A binary frame of 16 MB, masked with zeros.
        script.m_opening += std::string("\x82\xff\0\0\0\0\1\0\0\0\0\0\0\0", 14);
        script.m_piece = std::string(piece_bytes, 'x');
        script.m_pieces = 255;
        return script;
    };
}

} // namespace tarragontrail::test
