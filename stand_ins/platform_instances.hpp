#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace tarragontrail::stand_ins {

/// The platform's list of instances, shown as it was some time ago.
class platform_instances
{
public:
    using instance_map = std::map<std::string, nlohmann::json>;

    /// `lag` is the age of what is shown.
    explicit platform_instances(std::chrono::milliseconds lag) : m_lag(lag) {}

    /// Adds or replaces an instance.
    void put(const std::string& name, nlohmann::json fields, core::time_point now);

    /// Removes an instance.
    void erase(const std::string& name, core::time_point now);

    /// Instances as they were before the lag.
    const instance_map& shown(core::time_point now);

private:
    /// List from a time on.
    struct list_state
    {
        core::time_point m_since; ///< When it became true.
        instance_map m_instances; ///< Instances by name.
    };

    std::chrono::milliseconds m_lag;    ///< Age of what is shown.
    std::deque<list_state> m_states{1}; ///< History, the oldest still shown first.
};

} // namespace tarragontrail::stand_ins
