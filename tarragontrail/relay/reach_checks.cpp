#include "tarragontrail/relay/reach_checks.hpp"

namespace tarragontrail::relay {

void reach_checks::check(core::time_point now)
{
    std::erase_if(m_asked,
                  [this](const auto& entry) { return !m_state.m_reach.is_cut_off(entry.first); });
    for (const std::string& service : m_state.m_reach.cut_off())
    {
        const auto& upstreams = m_state.m_upstreams.of_service(service);
        const auto [asked, is_first] = m_asked.try_emplace(service, last_question{now, 0});
        if (upstreams.empty() || (!is_first && now - asked->second.m_at < m_settings.m_interval))
        {
            continue;
        }
        asked->second.m_at = now;
        const std::size_t index = asked->second.m_upstream++ % upstreams.size();
        m_engines.check_presence(upstreams[index]->m_record,
                                 [this, service](process_presence presence) {
                                     if (presence != process_presence::silent)
                                     {
                                         m_state.m_reach.on_response(service);
                                     }
                                 });
    }
}

} // namespace tarragontrail::relay
