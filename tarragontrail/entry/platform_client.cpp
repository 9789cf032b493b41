#include "tarragontrail/entry/platform_client.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/wire/decode_error.hpp"
#include "tarragontrail/wire/json_document.hpp"
#include "tarragontrail/wire/json_fields.hpp"

#include <fmt/format.h>
#include <limits>

namespace tarragontrail::entry {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

std::string encode_segment(const std::string& text)
{
    std::string encoded;
    for (const char letter : text)
    {
        const bool plain = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
                           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
                           letter == '.' || letter == '/';
        encoded += plain ? std::string(1, letter)
                         : fmt::format("%{:02X}", static_cast<unsigned char>(letter));
    }
    return encoded;
}

idempotency::read_result row_of(const json& body)
{
    idempotency::read_result row;
    row.m_version = wire::to_count(wire::field_at(body, "version"), "version");
    row.m_found = row.m_version != 0;
    row.m_value = bytes_of_text(wire::text_or(body, "value", {}));
    return row;
}

std::optional<idempotency::read_result> parse_read(const net::http_response& response)
{
    if (response.result_int() == status_not_found)
    {
        return idempotency::read_result{};
    }
    if (response.result_int() != status_ok)
    {
        return std::nullopt;
    }
    return row_of(wire::parse_json(response.body()));
}

/// Answer to a transaction of this many writes.
std::optional<idempotency::write_result> parse_write(const net::http_response& response,
                                                     std::size_t writes)
{
    const unsigned status = response.result_int();
    if (status != status_ok && status != status_conflict)
    {
        return std::nullopt;
    }
    const json body = wire::parse_json(response.body());
    idempotency::write_result result;
    result.m_ok = status == status_ok;
    if (result.m_ok)
    {
        for (const json& version : wire::to_list(wire::field_at(body, "versions"), "versions"))
        {
            result.m_versions.push_back(wire::to_count(version, "versions"));
        }
        if (result.m_versions.size() != writes)
        {
            throw wire::json_error("field versions: not one for each write");
        }
        return result;
    }
    result.m_failing = wire::to_count(wire::field_at(body, "failed"), "failed", {0, writes - 1});
    result.m_current = row_of(body);
    return result;
}

std::optional<std::vector<platform_row>> parse_rows(const net::http_response& response)
{
    if (response.result_int() != status_ok)
    {
        return std::nullopt;
    }
    std::vector<platform_row> rows;
    const json body = wire::parse_json(response.body());
    for (const json& row : wire::to_list(wire::field_at(body, "rows"), "rows"))
    {
        rows.push_back({wire::to_text(wire::field_at(row, "key"), "key"),
                        bytes_of_text(wire::to_text(wire::field_at(row, "value"), "value")),
                        wire::to_count(wire::field_at(row, "version"), "version")});
    }
    return rows;
}

std::uint16_t port_of(const json& item, const char* name)
{
    constexpr wire::count_range ports{0, std::numeric_limits<std::uint16_t>::max()};
    const json* port = wire::find_field(item, name);
    return port == nullptr ? std::uint16_t{0}
                           : static_cast<std::uint16_t>(wire::to_count(*port, name, ports));
}

membership::listed_instance listed_of(const json& item)
{
    membership::member named;
    named.m_name = wire::to_text(wire::field_at(item, "name"), "name");
    named.m_region = wire::text_or(item, "region", {});
    named.m_failure_domain = wire::text_or(item, "failure_domain", {});
    named.m_address = wire::text_or(item, "address", {});
    named.m_ports = {port_of(item, "caller_port"), port_of(item, "peer_port"),
                     port_of(item, "admin_port")};
    const bool leaving = wire::text_or(item, "state", "live") == "leaving";
    return {membership::make_member(named),
            leaving ? membership::listed_state::leaving : membership::listed_state::live};
}

std::optional<std::vector<membership::listed_instance>>
parse_list(const net::http_response& response)
{
    if (response.result_int() != status_ok)
    {
        return std::nullopt;
    }
    std::vector<membership::listed_instance> listed;
    const json body = wire::parse_json(response.body());
    for (const json& item : wire::to_list(wire::field_at(body, "instances"), "instances"))
    {
        listed.push_back(listed_of(item));
    }
    return listed;
}

/// A reply that is not what the platform promises counts as none.
template <class Reply, class Parse>
std::optional<Reply> parse_safely(const net::http_client::fetch_result& result, Parse parse)
{
    if (!result.m_ok)
    {
        return std::nullopt;
    }
    try
    {
        return parse(result.m_response);
    }
    catch (const core::error& failure)
    {
        observe::log("platform_answer_refused", {{"reason", failure.what()}});
        return std::nullopt;
    }
}

} // namespace

platform_client::platform_client(net::duty& platform, net::duty& home,
                                 const net::tcp::endpoint& endpoint,
                                 std::chrono::milliseconds timeout)
    : m_platform(platform), m_home(home), m_endpoint(endpoint), m_client(platform.context())
{
    m_call_settings.m_connect_timeout = timeout;
    m_call_settings.m_first_byte_timeout = timeout;
    m_call_settings.m_idle_timeout = timeout;
}

template <class Reply, class Parse>
void platform_client::call(net::http_request request, Parse parse, platform_handler<Reply> handler)
{
    const auto shared = std::make_shared<net::http_request>(std::move(request));
    auto work = [this, shared, parse, handler] {
        m_client.fetch(m_endpoint, std::move(*shared), m_call_settings,
                       [this, parse, handler](const net::http_client::fetch_result& result) {
                           std::optional<Reply> reply = parse_safely<Reply>(result, parse);
                           if (!reply)
                           {
                               ++m_counts.m_failures;
                           }
                           m_home.post([handler, reply = std::move(reply)] { handler(reply); });
                       });
    };
    if (!m_platform.try_post(work))
    {
        ++m_counts.m_failures;
        m_home.post([handler] { handler(std::nullopt); });
    }
}

void platform_client::read(const std::string& table, const std::string& key, bool version_only,
                           platform_handler<idempotency::read_result> handler)
{
    ++m_counts.m_reads;
    const std::string target =
        fmt::format("/table/{}/{}{}", encode_segment(table), encode_segment(key),
                    version_only ? "?version_only=1" : "");
    call<idempotency::read_result>(net::make_request(http::verb::get, target), parse_read,
                                   std::move(handler));
}

void platform_client::list_rows(const std::string& table,
                                platform_handler<std::vector<platform_row>> handler)
{
    ++m_counts.m_reads;
    const std::string target = fmt::format("/table/{}?prefix=", encode_segment(table));
    call<std::vector<platform_row>>(net::make_request(http::verb::get, target), parse_rows,
                                    std::move(handler));
}

void platform_client::write(const std::vector<idempotency::conditional_write>& writes,
                            platform_handler<idempotency::write_result> handler)
{
    ++m_counts.m_writes;
    json list = json::array();
    for (const idempotency::conditional_write& write : writes)
    {
        list.push_back({{"table", write.m_table},
                        {"key", write.m_key},
                        {"expected_version", write.m_expected},
                        {"value", text_of_bytes(write.m_value)}});
    }
    const json body{{"writes", std::move(list)}};
    call<idempotency::write_result>(
        net::make_request(http::verb::post, "/transaction", body.dump()),
        [count = writes.size()](const net::http_response& response) {
            return parse_write(response, count);
        },
        std::move(handler));
}

void platform_client::put_object(const std::string& name, std::string bytes,
                                 platform_handler<bool> handler)
{
    ++m_counts.m_objects;
    const auto parse = [](const net::http_response& response) {
        return response.result_int() == status_ok ? std::optional<bool>(true) : std::nullopt;
    };
    call<bool>(
        net::make_request(http::verb::put, "/objects/" + encode_segment(name), std::move(bytes)),
        parse, std::move(handler));
}

void platform_client::get_object(const std::string& name, platform_handler<std::string> handler)
{
    ++m_counts.m_objects;
    const auto parse = [](const net::http_response& response) {
        return response.result_int() == status_ok ? std::optional<std::string>(response.body())
                                                  : std::nullopt;
    };
    call<std::string>(net::make_request(http::verb::get, "/objects/" + encode_segment(name)), parse,
                      std::move(handler));
}

void platform_client::list_instances(
    platform_handler<std::vector<membership::listed_instance>> handler)
{
    ++m_counts.m_reads;
    call<std::vector<membership::listed_instance>>(net::make_request(http::verb::get, "/instances"),
                                                   parse_list, std::move(handler));
}

std::string text_of_bytes(const std::string& bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char letter : bytes)
    {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < 0x80)
        {
            text.push_back(letter);
            continue;
        }
        text.push_back(static_cast<char>(0xC0U | (byte >> 6U)));
        text.push_back(static_cast<char>(0x80U | (byte & 0x3FU)));
    }
    return text;
}

std::string bytes_of_text(const std::string& text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < 0x80)
        {
            bytes.push_back(text[i]);
            continue;
        }
        const bool two_bytes = (lead == 0xC2 || lead == 0xC3) && i + 1 < text.size();
        if (!two_bytes)
        {
            throw wire::decode_error("row value is not text of bytes");
        }
        const auto next = static_cast<unsigned char>(text[++i]);
        bytes.push_back(static_cast<char>(((lead & 0x03U) << 6U) | (next & 0x3FU)));
    }
    return bytes;
}

} // namespace tarragontrail::entry
