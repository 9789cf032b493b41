#include "tarragontrail/net/http_types.hpp"

#include "tarragontrail/core/parse_number.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace tarragontrail::net {
namespace {

constexpr std::uint64_t highest_port = 65535;

int hex_digit(char letter)
{
    int value = -1;
    std::from_chars(&letter, &letter + 1, value, 16);
    return value;
}

} // namespace

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%' || i + 2 >= text.size())
        {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
            continue;
        }
        const int high = hex_digit(text[i + 1]);
        const int low = hex_digit(text[i + 2]);
        if (high < 0 || low < 0)
        {
            decoded.push_back(text[i]);
            continue;
        }
        decoded.push_back(static_cast<char>(high * 16 + low));
        i += 2;
    }
    return decoded;
}

tcp::endpoint make_endpoint(const std::string& address, std::uint64_t port)
{
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(address, error);
    if (error || port == 0 || port > highest_port)
    {
        throw address_error("not a numeric address and port: " + address + ":" +
                            std::to_string(port));
    }
    return {parsed, static_cast<std::uint16_t>(port)};
}

tcp::endpoint parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        throw address_error("no port in address: " + text);
    }
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
    {
        address = address.substr(1, address.size() - 2);
    }
    const auto port = core::parse_number(std::string_view(text).substr(colon + 1));
    if (!port)
    {
        throw address_error("no port in address: " + text);
    }
    return make_endpoint(address, *port);
}

std::string_view target_of(const http_request& request)
{
    return {request.target().data(), request.target().size()};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
    {
        return {};
    }
    std::string_view query = target.substr(mark + 1);
    while (!query.empty())
    {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) != name)
        {
            continue;
        }
        return equals == std::string_view::npos ? "" : percent_decode(pair.substr(equals + 1));
    }
    return {};
}

std::string header_value(const http_fields& fields, std::string_view name)
{
    const auto found = fields.find(boost::beast::string_view(name.data(), name.size()));
    if (found == fields.end())
    {
        return {};
    }
    return std::string(found->value());
}

bool is_framing_unambiguous(const http_fields& fields, unsigned version)
{
    using boost::beast::http::field;
    const std::size_t lengths = fields.count(field::content_length);
    const std::size_t codings = fields.count(field::transfer_encoding);
    if (codings == 0)
    {
        return lengths <= 1;
    }
    return codings == 1 && lengths == 0 && version == 11 &&
           boost::beast::iequals(fields[field::transfer_encoding], "chunked");
}

http_response make_json_response(unsigned status, std::string body)
{
    http_response response;
    response.result(status);
    response.set(boost::beast::http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

} // namespace tarragontrail::net
