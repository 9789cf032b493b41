#include "tarragontrail/load/load_workspace.hpp"

#include "tarragontrail/config/setting_checks.hpp"

#include <algorithm>

namespace tarragontrail::load {

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size())
    {
        const std::size_t end = std::min(text.find(separator, start), text.size());
        if (end > start)
        {
            parts.push_back(text.substr(start, end - start));
        }
        start = end + 1;
    }
    return parts;
}

std::vector<net::tcp::endpoint> parse_endpoints(const std::string& setting, const std::string& text)
{
    std::vector<net::tcp::endpoint> endpoints;
    try
    {
        for (const std::string& part : split(text == none ? "" : text, ','))
        {
            endpoints.push_back(net::parse_endpoint(part));
        }
    }
    catch (const net::address_error& failure)
    {
        throw config::setting_error(setting, text, failure.what());
    }
    return endpoints;
}

std::vector<load_workspace> read_workspaces(const config::load_settings& settings)
{
    std::vector<load_workspace> workspaces;
    for (const std::string& part : split(settings.m_keys, ','))
    {
        const std::size_t equals = part.find('=');
        workspaces.push_back({part.substr(0, equals), part.substr(equals + 1), std::nullopt});
    }
    const core::time_point now = core::runtime_clock::now();
    for (const std::string& part : split(settings.m_limits == none ? "" : settings.m_limits, ','))
    {
        const std::size_t equals = part.find('=');
        const std::size_t colon = part.find(':', equals);
        const std::string name = part.substr(0, equals);
        const auto found = std::find_if(workspaces.begin(), workspaces.end(),
                                        [&name](const auto& each) { return each.m_name == name; });
        if (found == workspaces.end())
        {
            throw config::setting_error("limits", settings.m_limits, "no key for " + name);
        }
        found->m_allowance.emplace(std::stod(part.substr(equals + 1)),
                                   std::stod(part.substr(colon + 1)), now);
    }
    return workspaces;
}

} // namespace tarragontrail::load
