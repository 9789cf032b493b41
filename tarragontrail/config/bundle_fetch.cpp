#include "tarragontrail/config/bundle_fetch.hpp"

#include <algorithm>

namespace tarragontrail::config {

namespace {

constexpr std::uint64_t max_pause_factor = 8; ///< Longest pause in units of the first one.

} // namespace

bundle_fetch::bundle_fetch(const bundle_fetch_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{}

void bundle_fetch::want(const bundle_ref& target, std::uint64_t applied_version,
                        core::time_point now)
{
    if (m_target && m_target->m_version == target.m_version)
    {
        return;
    }
    m_target = target;
    m_use_delta = !target.m_delta_object.empty() && target.m_base_version == applied_version;
    m_attempts = 0;
    m_next_at = now + pause(1);
}

void bundle_fetch::note_peer(core::instance_id peer, std::uint64_t applied_version)
{
    m_peers[peer] = applied_version;
}

void bundle_fetch::keep_peers(const std::vector<core::instance_id>& members)
{
    std::erase_if(m_peers, [&](const auto& peer) {
        return std::find(members.begin(), members.end(), peer.first) == members.end();
    });
}

std::optional<fetch_attempt> bundle_fetch::next_attempt(core::time_point now)
{
    if (!m_target || now < m_next_at)
    {
        return std::nullopt;
    }
    m_next_at = now + (m_use_delta ? m_settings.m_delta_timeout : m_settings.m_whole_timeout);
    ++m_attempts;
    const bool from_peer = m_attempts % 2 == 1;
    return fetch_attempt{wanted_object(), from_peer ? pick_peer() : std::nullopt};
}

void bundle_fetch::abandon_delta(core::time_point now)
{
    m_use_delta = false;
    m_next_at = now;
}

void bundle_fetch::on_failed(const std::string& object, core::time_point now)
{
    if (is_wanted(object))
    {
        m_next_at = std::min(m_next_at, now + pause(std::min(m_attempts, max_pause_factor)));
    }
}

bool bundle_fetch::is_wanted(const std::string& object) const
{
    return m_target && object == wanted_object();
}

std::optional<core::time_point> bundle_fetch::next_deadline() const
{
    return m_target ? std::optional(m_next_at) : std::nullopt;
}

const std::string& bundle_fetch::wanted_object() const
{
    return m_use_delta ? m_target->m_delta_object : m_target->m_object;
}

core::duration bundle_fetch::pause(std::uint64_t factor)
{
    const core::duration longest = m_settings.m_retry_pause * factor;
    return core::duration(static_cast<core::duration::rep>(
        m_random.below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

std::optional<core::instance_id> bundle_fetch::pick_peer()
{
    std::vector<core::instance_id> holders;
    for (const auto& [peer, version] : m_peers)
    {
        if (version >= m_target->m_version)
        {
            holders.push_back(peer);
        }
    }
    if (holders.empty())
    {
        return std::nullopt;
    }
    return holders[m_random.below(holders.size())];
}

} // namespace tarragontrail::config
