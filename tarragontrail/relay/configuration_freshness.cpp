#include "tarragontrail/relay/configuration_freshness.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Instances read the store's clock through answers that took up to this long.
constexpr store_time clock_slack = std::chrono::seconds(1);

} // namespace

const char* to_string(configuration_standing standing) noexcept
{
    switch (standing)
    {
    case configuration_standing::unconfirmed:
        return "unconfirmed";
    case configuration_standing::behind:
        return "behind";
    case configuration_standing::outdated:
        return "outdated";
    case configuration_standing::current:
        return "current";
    }
    return "unknown";
}

void configuration_freshness::begin(configuration_freshness_settings settings, core::time_point now)
{
    m_settings = settings;
    m_begun = now;
}

void configuration_freshness::on_confirmed(store_time as_of, core::time_point now)
{
    const auto store_now = m_clock.at(now);
    if (!store_now)
    {
        return;
    }
    // After the clock was set back, earlier confirmations lie in its future.
    const bool is_kept =
        m_confirmed && *m_confirmed >= as_of && *m_confirmed <= *store_now + clock_slack;
    m_confirmed = is_kept ? *m_confirmed : as_of;
    m_was_current = m_was_current || is_recent(now);
}

void configuration_freshness::on_newer_known(core::time_point now)
{
    if (!is_behind(now))
    {
        m_behind_since = now;
    }
    m_newer_known_at = now;
}

std::optional<core::duration> configuration_freshness::age(core::time_point now) const
{
    const auto store_now = m_clock.at(now);
    if (!m_confirmed || !store_now)
    {
        return std::nullopt;
    }
    return *store_now - *m_confirmed;
}

configuration_standing configuration_freshness::standing(core::time_point now) const
{
    if (!m_begun)
    {
        return configuration_standing::current;
    }
    if (!is_confirmed(now))
    {
        return configuration_standing::unconfirmed;
    }
    if (is_behind(now))
    {
        return configuration_standing::behind;
    }
    return is_recent(now) ? configuration_standing::current : configuration_standing::outdated;
}

bool configuration_freshness::may_serve(core::time_point now) const
{
    switch (standing(now))
    {
    case configuration_standing::unconfirmed:
        return false;
    case configuration_standing::behind:
        return now - m_behind_since <= fraction(m_settings.m_behind_fraction);
    default:
        return true;
    }
}

bool configuration_freshness::is_confirmed(core::time_point now) const
{
    return m_was_current || now - *m_begun >= m_settings.m_confirmation_wait;
}

bool configuration_freshness::is_recent(core::time_point now) const
{
    const auto known_age = age(now);
    return known_age && *known_age <= fraction(m_settings.m_outdated_fraction);
}

bool configuration_freshness::is_behind(core::time_point now) const
{
    return m_newer_known_at && now - *m_newer_known_at <= m_settings.m_news_lifetime;
}

} // namespace tarragontrail::relay
