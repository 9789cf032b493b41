#include "tarragontrail/load/entry_finder.hpp"

#include <nlohmann/json.hpp>

namespace tarragontrail::load {

using nlohmann::json;

entry_finder::entry_finder(net::http_client& client, std::vector<net::tcp::endpoint> entries)
    : m_client(client), m_entries(std::move(entries))
{}

void entry_finder::find(const caller_site& site, const found_handler& on_found)
{
    const auto kept = m_kept.find({site.m_caller, site.m_workspace});
    if (kept != m_kept.end() && !kept->second.m_entries.empty() &&
        core::runtime_clock::now() < kept->second.m_until)
    {
        on_found(kept->second.m_entries.front());
        return;
    }
    ask(site, 0, on_found);
}

void entry_finder::forget(const caller_site& site, const net::tcp::endpoint& unreachable)
{
    const auto kept = m_kept.find({site.m_caller, site.m_workspace});
    if (kept != m_kept.end())
    {
        std::erase(kept->second.m_entries, unreachable);
    }
}

void entry_finder::ask(const caller_site& site, std::size_t tries, const found_handler& on_found)
{
    if (tries >= m_entries.size())
    {
        on_found(std::nullopt);
        return;
    }
    const net::tcp::endpoint& entry = m_entries[(site.m_caller + tries) % m_entries.size()];
    const std::string target =
        "/v1/locate?workspace=" + site.m_workspace + "&region=" + site.m_region;
    net::call_settings settings;
    settings.m_first_byte_timeout = std::chrono::seconds(2);
    m_client.fetch(entry, net::make_request(boost::beast::http::verb::get, target), settings,
                   [this, site, tries, on_found](const net::http_client::fetch_result& result) {
                       const bool answered = result.m_ok && result.m_response.result_int() == 200;
                       if (!answered || !keep(site, result.m_response.body()))
                       {
                           ask(site, tries + 1, on_found);
                           return;
                       }
                       on_found(m_kept[{site.m_caller, site.m_workspace}].m_entries.front());
                   });
}

bool entry_finder::keep(const caller_site& site, const std::string& body)
{
    kept_answer answer;
    try
    {
        const json fields = json::parse(body);
        for (const json& location : fields.at("locations"))
        {
            answer.m_entries.push_back(
                net::make_endpoint(location.at("address").get<std::string>(),
                                   location.at("port").get<std::uint64_t>()));
        }
        const std::chrono::milliseconds keep_time(fields.at("keep_ms").get<std::uint32_t>());
        answer.m_until = core::runtime_clock::now() + keep_time;
    }
    catch (const json::exception&)
    {
        return false;
    }
    catch (const net::address_error&)
    {
        return false;
    }
    if (answer.m_entries.empty())
    {
        return false;
    }
    m_kept[{site.m_caller, site.m_workspace}] = std::move(answer);
    return true;
}

} // namespace tarragontrail::load
