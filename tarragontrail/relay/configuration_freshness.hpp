#pragma once

#include "tarragontrail/relay/store_clock.hpp"

#include <chrono>
#include <optional>

namespace tarragontrail::relay {

/// Settings of configuration_freshness.
struct configuration_freshness_settings
{
    /// Time from the acknowledgement of a configuration until it is in force everywhere.
    std::chrono::milliseconds m_apply_limit{2'500};
    /// What was confirmed longer ago may be outdated; a fraction of the apply limit.
    double m_outdated_fraction = 0.8;
    /// Time for which an instance serves by a configuration that it knows to be older; a fraction
    /// of the apply limit.
    double m_behind_fraction = 0.6;
    /// A newer configuration that nobody has told of for this long may be lost.
    std::chrono::milliseconds m_news_lifetime{2'000};
    /// An instance that starts while nobody can confirm a configuration serves by the newest one
    /// that it has got after this time.
    std::chrono::milliseconds m_confirmation_wait{1'500};
};

/// What an instance knows of the age of the configuration that it has in force.
enum class configuration_standing
{
    unconfirmed, ///< Nobody has confirmed it since the start.
    behind,      ///< A newer one is known, and is not in force here.
    outdated,    ///< Confirmed, but so long ago that a newer one may be in force elsewhere.
    current,     ///< Confirmed within the time that a change may take.
};

/// Name of a standing in logs and metrics.
const char* to_string(configuration_standing standing) noexcept;

/// Tells how old the configuration of this instance may be.
///
/// The table store's answers, and other instances that had them, confirm a copy of the operators'
/// table as of a time of the store's clock, so that news which were long on their way count by
/// their age. A configuration that may be outdated serves what it allows, since the table store may
/// be away from all instances for long; it denies nothing, since another instance may know more.
/// All times are those of a clock that counts the time for which the instance was suspended.
class configuration_freshness
{
public:
    explicit configuration_freshness(configuration_freshness_settings settings = {})
        : m_settings(settings)
    {}

    /// From now on a configuration must be confirmed; before, any one counts as current.
    void begin(configuration_freshness_settings settings, core::time_point now);

    /// The table store's clock showed this time.
    void set_store_time(store_time shown, core::time_point now) { m_clock.set(shown, now); }

    /// Time of the table store's clock; nothing before the first one is known.
    std::optional<store_time> store_time_at(core::time_point now) const { return m_clock.at(now); }

    /// The configuration in force was the newest one at this time of the store's clock.
    void on_confirmed(store_time as_of, core::time_point now);

    /// The table store or another instance has a newer configuration.
    void on_newer_known(core::time_point now);

    /// Every change that was known has come into force.
    void on_caught_up() { m_newer_known_at.reset(); }

    /// Time of the store's clock as of which the configuration was confirmed last.
    std::optional<store_time> confirmed_as_of() const noexcept { return m_confirmed; }

    /// Time since the configuration was known to be the newest; nothing when it never was.
    std::optional<core::duration> age(core::time_point now) const;

    configuration_standing standing(core::time_point now) const;

    /// Whether requests that the configuration allows may be served.
    bool may_serve(core::time_point now) const;

    /// Whether requests may be denied for want of a route or a key.
    bool may_deny(core::time_point now) const
    {
        return standing(now) == configuration_standing::current;
    }

private:
    bool is_confirmed(core::time_point now) const;
    bool is_recent(core::time_point now) const;
    bool is_behind(core::time_point now) const;
    core::duration fraction(double part) const
    {
        return core::scaled(m_settings.m_apply_limit, part);
    }

    configuration_freshness_settings m_settings;
    store_clock m_clock;
    std::optional<core::time_point> m_begun; ///< Empty before begin().
    std::optional<store_time> m_confirmed;
    bool m_was_current = false; ///< A recent time confirmed a configuration since the start.
    std::optional<core::time_point> m_newer_known_at; ///< Last sign of a newer configuration.
    core::time_point m_behind_since{};                ///< First of these signs.
};

} // namespace tarragontrail::relay
