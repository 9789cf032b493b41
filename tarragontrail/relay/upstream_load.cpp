#include "tarragontrail/relay/upstream_load.hpp"

#include "tarragontrail/core/saturating_sum.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {

void upstream_load::on_sent(const request_work& work)
{
    ++m_own.m_in_flight;
    m_own.m_tokens = core::saturating_sum(m_own.m_tokens, work.m_tokens);
    m_own.m_backlog += work.m_before_first_byte;
}

void upstream_load::on_first_byte(const request_work& work)
{
    m_own.m_backlog -= work.m_before_first_byte;
}

void upstream_load::on_ended(const request_work& work, bool had_first_byte)
{
    if (m_own.m_in_flight == 0 || m_own.m_tokens < work.m_tokens)
    {
        // The request that ends has an answer to pass on, whatever the account says.
        observe::log("load_clamped", {{"in_flight", m_own.m_in_flight},
                                      {"tokens", m_own.m_tokens},
                                      {"ended_tokens", work.m_tokens}});
    }
    m_own.m_in_flight -= std::min<std::uint64_t>(m_own.m_in_flight, 1);
    m_own.m_tokens -= std::min(m_own.m_tokens, work.m_tokens);
    if (!had_first_byte)
    {
        m_own.m_backlog -= work.m_before_first_byte;
    }
}

void upstream_load::on_peer_report(core::instance_id peer, const load_totals& load,
                                   core::time_point now)
{
    m_peers[peer] = peer_load{load, now};
}

void upstream_load::on_peer_request_sent(core::instance_id peer, const request_work& work,
                                         core::time_point now)
{
    peer_load& report = m_peers[peer];
    const core::duration age = now - report.m_received;
    if (age > peer_load_max_age)
    {
        report.m_load = {};
    }
    report.m_load.m_backlog =
        std::max(core::duration::zero(), report.m_load.m_backlog - age) + work.m_before_first_byte;
    report.m_load.m_tokens = core::saturating_sum(report.m_load.m_tokens, work.m_tokens);
    ++report.m_load.m_in_flight;
    report.m_received = now;
}

load_totals upstream_load::total(core::time_point now) const
{
    load_totals sum = m_own;
    for (const auto& [peer, report] : m_peers)
    {
        const core::duration age = now - report.m_received;
        if (age > peer_load_max_age)
        {
            continue;
        }
        sum.m_in_flight += report.m_load.m_in_flight;
        sum.m_tokens = core::saturating_sum(sum.m_tokens, report.m_load.m_tokens);
        sum.m_backlog += std::max(core::duration::zero(), report.m_load.m_backlog - age);
    }
    return sum;
}

} // namespace tarragontrail::relay
