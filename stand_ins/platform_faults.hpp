#pragma once

#include <chrono>
#include <nlohmann/json.hpp>

namespace tarragontrail::stand_ins {

/// Faults that scripts switch on and off.
struct platform_faults
{
    bool m_table_down = false;            ///< Table calls are refused.
    bool m_object_down = false;           ///< Object calls are refused.
    bool m_list_down = false;             ///< Instance list is refused.
    std::chrono::milliseconds m_delay{0}; ///< Added before a call takes effect.
    double m_lose_reply_fraction = 0;     ///< Calls that take effect and get no answer.
    double m_drop_request_fraction = 0;   ///< Calls that have no effect and get no answer.

    /// Takes over the faults that a JSON object names.
    void update(const nlohmann::json& body);
};

} // namespace tarragontrail::stand_ins
