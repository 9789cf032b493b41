#pragma once

#include "tarragontrail/core/error.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace tarragontrail::net {

using tcp = boost::asio::ip::tcp;

/// Whole request with its body in memory.
using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Whole response with its body in memory.
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Header fields of a request or response.
using http_fields = boost::beast::http::fields;

/// An address or port in settings, configuration or a peer's message cannot be used.
class address_error : public core::error
{
public:
    using core::error::error;
};

/// Endpoint of `address:port` with a numeric address; throws address_error.
tcp::endpoint parse_endpoint(const std::string& text);

/// Endpoint of a numeric address and a port; throws address_error.
tcp::endpoint make_endpoint(const std::string& address, std::uint64_t port);

/// Target of a request: its path and query.
std::string_view target_of(const http_request& request);

/// Path of a request target, without its query.
std::string_view path_of(std::string_view target);

/// Text with its percent escapes undone; a plus sign stands for a space.
std::string percent_decode(std::string_view text);

/// Decoded value of a query parameter; empty when it is absent.
std::string query_value(std::string_view target, std::string_view name);

/// Value of a header; empty when it is absent.
std::string header_value(const http_fields& fields, std::string_view name);

/// Whether every reader of a message sees the same end of its body. Two lengths, or a coding that
/// only some readers know, let them differ. `version` is 10 or 11.
bool is_framing_unambiguous(const http_fields& fields, unsigned version);

/// Response with a JSON body.
http_response make_json_response(unsigned status, std::string body);

} // namespace tarragontrail::net
