#include "tarragontrail/relay/upstream_reach.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {

void upstream_reach::on_response(const std::string& service)
{
    if (m_failed.erase(service) > 0 && m_cut_off.erase(service) > 0)
    {
        observe::log("service_reached_again", {{"service", service}});
    }
}

void upstream_reach::on_failure(const std::string& service, core::upstream_id upstream,
                                std::size_t upstreams)
{
    std::set<core::upstream_id>& failed = m_failed[service];
    failed.insert(upstream);
    if (failed.size() >= std::min(m_settings.m_failures_in_row, upstreams) &&
        m_cut_off.insert(service).second)
    {
        observe::log("service_cut_off",
                     {{"service", service}, {"failed", failed.size()}, {"upstreams", upstreams}});
    }
}

std::vector<std::uint64_t> upstream_reach::cut_off_hashes() const
{
    std::vector<std::uint64_t> hashes;
    for (const std::string& service : m_cut_off)
    {
        hashes.push_back(core::hash_name(service));
    }
    return hashes;
}

} // namespace tarragontrail::relay
