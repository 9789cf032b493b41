#include "tarragontrail/ctl/rollout_watch.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <optional>
#include <ostream>

namespace tarragontrail::ctl {
namespace {

using nlohmann::json;

constexpr unsigned first_server_failure_status = 500;

/// Result of a read, or nothing while an instance or the platform does not answer.
template <class Read>
std::optional<json> try_read(Read read)
{
    try
    {
        return read();
    }
    catch (const refused_error& failure)
    {
        if (failure.status() < first_server_failure_status)
        {
            throw;
        }
    }
    catch (const unreachable_error&)
    {
        // Shown as unknown; the next look tries again.
    }
    catch (const outcome_unknown_error&)
    {
        // A read changes nothing, so this is no more than a missing answer.
    }
    return std::nullopt;
}

std::string version_text(std::uint64_t version)
{
    return version == 0 ? "unknown" : std::to_string(version);
}

} // namespace

bool rollout_progress::is_complete() const noexcept
{
    return m_head_version != 0 &&
           std::all_of(m_versions.begin(), m_versions.end(),
                       [this](std::uint64_t version) { return version == m_head_version; });
}

command_result rollout_watch::run()
{
    std::optional<rollout_progress> shown;
    while (true)
    {
        const rollout_progress progress = look();
        if (progress != shown)
        {
            print(progress);
            shown = progress;
        }
        if (progress.is_complete())
        {
            command_result result{document_of(progress), "complete\n"};
            return result;
        }
        m_context.m_client.pause(m_context.m_poll_interval);
    }
}

rollout_progress rollout_watch::look()
{
    admin_client& client = m_context.m_client;
    rollout_progress progress;
    const auto head = try_read([&client] { return client.read("/admin/v1/head"); });
    if (head && head->contains("head"))
    {
        progress.m_head_version = head->at("head").at("version").get<std::uint64_t>();
    }
    for (std::size_t admin = 0; admin < client.admins().size(); ++admin)
    {
        const auto status =
            try_read([&client, admin] { return client.read_from(admin, "/admin/v1/status"); });
        progress.m_versions.push_back(status ? status->value("bundle_version", std::uint64_t{0})
                                             : 0);
    }
    return progress;
}

json rollout_watch::document_of(const rollout_progress& progress) const
{
    json instances = json::array();
    for (std::size_t admin = 0; admin < progress.m_versions.size(); ++admin)
    {
        instances.push_back({{"admin", m_context.m_client.admins()[admin]},
                             {"bundle_version", progress.m_versions[admin]}});
    }
    return {{"head_version", progress.m_head_version},
            {"complete", progress.is_complete()},
            {"instances", instances}};
}

void rollout_watch::print(const rollout_progress& progress)
{
    std::ostream& output = m_context.m_output;
    if (m_context.m_json)
    {
        // The last look is the command's answer.
        if (!progress.is_complete())
        {
            output << document_of(progress).dump() << std::endl;
        }
        return;
    }
    output << "head=" << version_text(progress.m_head_version);
    for (std::size_t admin = 0; admin < progress.m_versions.size(); ++admin)
    {
        output << ' ' << m_context.m_client.admins()[admin] << '='
               << version_text(progress.m_versions[admin]);
    }
    output << std::endl;
}

} // namespace tarragontrail::ctl
