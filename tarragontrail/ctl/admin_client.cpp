#include "tarragontrail/ctl/admin_client.hpp"

#include "tarragontrail/ctl/ctl_error.hpp"
#include "tarragontrail/net/timer.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <optional>

namespace tarragontrail::ctl {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::chrono::milliseconds connect_limit{2'000};
constexpr unsigned first_failure_status = 300;
constexpr unsigned first_server_failure_status = 500;

bool is_token_character(char c) noexcept
{
    return c > ' ' && c <= '~';
}

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= list.size())
    {
        const std::size_t comma = std::min(list.find(',', begin), list.size());
        parts.push_back(list.substr(begin, comma - begin));
        begin = comma + 1;
    }
    return parts;
}

/// Text member of an answer; empty when it is absent.
std::string text_member(const json& body, const char* name)
{
    const auto found = body.is_object() ? body.find(name) : body.end();
    return body.is_object() && found != body.end() && found->is_string() ? found->get<std::string>()
                                                                         : std::string();
}

/// Document of an answer; throws what a refusal stands for.
json document_of(const net::http_response& response)
{
    json body = json::parse(response.body(), nullptr, false);
    const unsigned status = response.result_int();
    if (status < first_failure_status && !body.is_discarded())
    {
        return body;
    }
    const std::string detail = text_member(body, "detail");
    if (text_member(body, "execution") == core::to_string(core::execution::unknown))
    {
        throw outcome_unknown_error(detail);
    }
    const std::string title = text_member(body, "title");
    throw refused_error(status, title.empty() ? fmt::format("status {}", status) : title, detail);
}

} // namespace

admin_client::admin_client(admin_client_settings settings)
    : m_settings(std::move(settings)), m_admins(split(m_settings.m_admins)), m_client(m_context)
{
    const std::string& token = m_settings.m_token;
    if (!std::all_of(token.begin(), token.end(), is_token_character))
    {
        throw usage_error("the token has a character that a header cannot carry");
    }
    for (const std::string& address : m_admins)
    {
        try
        {
            m_endpoints.push_back(net::parse_endpoint(address));
        }
        catch (const net::address_error& failure)
        {
            throw usage_error(failure.what());
        }
    }
}

json admin_client::read(const std::string& target)
{
    std::string faults;
    std::optional<refused_error> refusal;
    for (std::size_t turn = 0; turn < m_admins.size(); ++turn)
    {
        const std::size_t admin = admin_at(turn);
        try
        {
            json document = read_from(admin, target);
            m_preferred = admin;
            return document;
        }
        catch (const unreachable_error& failure)
        {
            faults += fmt::format("{}{}", faults.empty() ? "" : "; ", failure.what());
        }
        catch (const refused_error& failure)
        {
            if (failure.status() < first_server_failure_status)
            {
                throw;
            }
            refusal = failure;
        }
    }
    if (refusal)
    {
        throw refused_error(*refusal);
    }
    throw unreachable_error(faults);
}

json admin_client::read_from(std::size_t admin, const std::string& target)
{
    const fetch_result result = call(admin, http::verb::get, target, {});
    if (!result.m_ok)
    {
        throw unreachable_error(
            fmt::format("{}: {}", m_admins[admin], net::to_string(result.m_failure.m_fault)));
    }
    return document_of(result.m_response);
}

json admin_client::change(http::verb method, const std::string& target, const std::string& body)
{
    if (m_settings.m_dry_run)
    {
        const auto name = to_string(method);
        return {{"dry_run", true},
                {"method", std::string(name.data(), name.size())},
                {"target", target},
                {"body", json::parse(body, nullptr, false)}};
    }
    return send(method, target, body);
}

json admin_client::ask(const std::string& target, const std::string& body)
{
    return send(http::verb::post, target, body);
}

json admin_client::send(http::verb method, const std::string& target, const std::string& body)
{
    std::string faults;
    for (std::size_t turn = 0; turn < m_admins.size(); ++turn)
    {
        const std::size_t admin = admin_at(turn);
        const fetch_result result = call(admin, method, target, body);
        if (result.m_ok)
        {
            return document_of(result.m_response);
        }
        const char* fault = net::to_string(result.m_failure.m_fault);
        // Only a connection that was never made proves that nothing was sent.
        if (result.m_failure.m_stage != net::call_stage::connecting)
        {
            throw outcome_unknown_error(
                fmt::format("{}: {} after the command was sent; it may have taken effect",
                            m_admins[admin], fault));
        }
        faults += fmt::format("{}{}: {}", faults.empty() ? "" : "; ", m_admins[admin], fault);
    }
    throw unreachable_error(faults);
}

admin_client::fetch_result admin_client::call(std::size_t admin, http::verb method,
                                              const std::string& target, const std::string& body)
{
    net::http_request request = net::make_request(method, target, body);
    if (!m_settings.m_token.empty())
    {
        request.set(http::field::authorization, "Bearer " + m_settings.m_token);
    }
    net::call_settings settings;
    settings.m_connect_timeout = std::min(connect_limit, m_settings.m_timeout);
    settings.m_first_byte_timeout = m_settings.m_timeout;
    settings.m_idle_timeout = m_settings.m_timeout;
    settings.m_fresh_connection = true;

    std::optional<fetch_result> result;
    m_client.fetch(m_endpoints[admin], std::move(request), settings,
                   [&result](fetch_result told) { result = std::move(told); });
    m_context.restart();
    while (!result)
    {
        m_context.run_one();
    }
    m_client.forget(m_endpoints[admin]);
    return std::move(*result);
}

void admin_client::pause(std::chrono::milliseconds time)
{
    bool over = false;
    net::timer timer(m_context);
    timer.run_after(time, [&over] { over = true; });
    m_context.restart();
    while (!over)
    {
        m_context.run_one();
    }
}

std::size_t admin_client::admin_at(std::size_t turn) const noexcept
{
    return (m_preferred + turn) % m_admins.size();
}

} // namespace tarragontrail::ctl
