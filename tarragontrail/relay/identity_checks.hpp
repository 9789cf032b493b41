#pragma once

#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <map>

namespace tarragontrail::relay {

/// Settings of identity_checks.
struct identity_checks_settings
{
    /// Between two questions to one upstream.
    std::chrono::milliseconds m_interval{500};
    /// An upstream that does not tell its start is trusted after this time, in which the row of a
    /// new start would have come.
    std::chrono::milliseconds m_untold_limit{2'000};
};

/// Asks upstreams whose process may have ended whether it is still the one that wrote their row.
///
/// Streams that must go on at one software version do not go to an upstream in doubt: another
/// version may have started under its id, and its row may be late.
class identity_checks
{
public:
    identity_checks(relay_state& state, engine_control& engines, identity_checks_settings settings);

    /// Asks about the doubted upstreams of a service.
    void check(const std::string& service, core::time_point now);

private:
    void on_report(const upstream_identity& asked, core::time_point since,
                   const std::optional<placement::engine_report>& report);

    identity_checks_settings m_settings;
    relay_state& m_state;
    engine_control& m_engines;
    std::map<core::upstream_id, core::time_point> m_asked; ///< Last question to each upstream.
};

} // namespace tarragontrail::relay
