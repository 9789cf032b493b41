#include "tarragontrail/config/bundle_fetcher.hpp"

#include <algorithm>

namespace tarragontrail::config {

namespace {

/// Maximum backoff as a multiple of the initial one.
constexpr std::uint64_t max_backoff_multiple = 8;

} // namespace

bundle_fetcher::bundle_fetcher(const bundle_fetcher_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{}

void bundle_fetcher::set_target(const bundle_ref& target, std::uint64_t applied_version,
                                core::time_point now)
{
    if (m_target && m_target->m_version == target.m_version)
    {
        return;
    }
    m_target = target;
    m_use_delta = !target.m_delta_object.empty() && target.m_base_version == applied_version;
    m_attempts = 0;
    m_next_attempt_at = now + random_backoff(1);
}

void bundle_fetcher::record_peer_version(core::instance_id peer, std::uint64_t applied_version)
{
    m_peers[peer] = applied_version;
}

void bundle_fetcher::retain_peers(const std::vector<core::instance_id>& members)
{
    std::erase_if(m_peers, [&](const auto& peer) {
        return std::find(members.begin(), members.end(), peer.first) == members.end();
    });
}

std::optional<fetch_attempt> bundle_fetcher::next_attempt(core::time_point now)
{
    if (!m_target || now < m_next_attempt_at)
    {
        return std::nullopt;
    }
    m_next_attempt_at =
        now + (m_use_delta ? m_settings.m_delta_timeout : m_settings.m_document_timeout);
    ++m_attempts;
    const bool from_peer = m_attempts % 2 == 1;
    return fetch_attempt{target_object(), from_peer ? choose_peer() : std::nullopt};
}

void bundle_fetcher::abandon_delta(core::time_point now)
{
    m_use_delta = false;
    m_next_attempt_at = now;
}

void bundle_fetcher::on_failed(const std::string& object, core::time_point now)
{
    if (is_target_object(object))
    {
        m_next_attempt_at = std::min(
            m_next_attempt_at, now + random_backoff(std::min(m_attempts, max_backoff_multiple)));
    }
}

bool bundle_fetcher::is_target_object(const std::string& object) const
{
    return m_target && object == target_object();
}

std::optional<core::time_point> bundle_fetcher::next_deadline() const
{
    return m_target ? std::optional(m_next_attempt_at) : std::nullopt;
}

const std::string& bundle_fetcher::target_object() const
{
    return m_use_delta ? m_target->m_delta_object : m_target->m_object;
}

core::duration bundle_fetcher::random_backoff(std::uint64_t multiple)
{
    const core::duration max_duration = m_settings.m_initial_backoff * multiple;
    return core::duration(static_cast<core::duration::rep>(
        m_random.below(static_cast<std::uint64_t>(max_duration.count()) + 1)));
}

std::optional<core::instance_id> bundle_fetcher::choose_peer()
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
