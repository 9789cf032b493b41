#include "stand_ins/platform_faults.hpp"

namespace tarragontrail::stand_ins {
namespace {

template <class Number>
void take(const nlohmann::json& body, const char* name, Number& target)
{
    if (body.contains(name))
    {
        target = body.at(name).get<Number>();
    }
}

} // namespace

void platform_faults::update(const nlohmann::json& body)
{
    take(body, "table_down", m_table_down);
    take(body, "object_down", m_object_down);
    take(body, "list_down", m_list_down);
    take(body, "lose_reply_fraction", m_lose_reply_fraction);
    take(body, "drop_request_fraction", m_drop_request_fraction);
    if (body.contains("delay_ms"))
    {
        m_delay = std::chrono::milliseconds(body.at("delay_ms").get<std::uint32_t>());
    }
}

} // namespace tarragontrail::stand_ins
