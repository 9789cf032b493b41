#pragma once

#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <map>
#include <string>

namespace tarragontrail::relay {

/// Settings of reach_checks.
struct reach_checks_settings
{
    /// Between two questions to a service that is cut off.
    std::chrono::milliseconds m_interval{400};
};

/// Asks the upstreams of services that are cut off, one after the other, until one responds.
class reach_checks
{
public:
    reach_checks(relay_state& state, engine_control& engines, reach_checks_settings settings)
        : m_settings(settings), m_state(state), m_engines(engines)
    {}

    /// Asks the next upstream of each service for which the interval has passed.
    void check(core::time_point now);

private:
    /// Last question to a service.
    struct last_question
    {
        core::time_point m_at{};
        std::size_t m_upstream = 0; ///< Index among the service's upstreams.
    };

    reach_checks_settings m_settings;
    relay_state& m_state;
    engine_control& m_engines;
    std::map<std::string, last_question> m_asked; ///< By service.
};

} // namespace tarragontrail::relay
