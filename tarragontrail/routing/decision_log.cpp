#include "tarragontrail/routing/decision_log.hpp"

#include <chrono>
#include <fmt/format.h>

namespace tarragontrail::routing {

namespace {

double milliseconds_of(core::duration time) noexcept
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

std::string log_line(const routed& decision)
{
    std::string line = fmt::format(
        "event=routed request={:016x} engine={:016x} incarnation={} reason={} policy={} "
        "hit_pieces={} pieces={} wait_ms={:.1f} recompute_ms={:.1f} cost_ms={:.1f} "
        "candidates={} replies={} anchor_depth={}",
        core::value_of(decision.m_request_id), core::value_of(decision.m_engine),
        core::value_of(decision.m_incarnation), to_string(decision.m_reason),
        to_string(decision.m_policy), decision.m_expected_hit_pieces, decision.m_pieces,
        milliseconds_of(decision.m_expected_queue_time), milliseconds_of(decision.m_prefill_time),
        milliseconds_of(decision.m_cost), decision.m_candidates, decision.m_replies,
        decision.m_anchor_depth);

    // Fields that do not apply are omitted.
    if (decision.m_runner_up != core::upstream_id{})
    {
        line += fmt::format(" runner_up={:016x} runner_up_cost_ms={:.1f}",
                            core::value_of(decision.m_runner_up),
                            milliseconds_of(decision.m_runner_up_cost));
    }
    if (decision.m_transfer_pieces > 0)
    {
        line += fmt::format(" transfer_source={:016x} transfer_pieces={}",
                            core::value_of(decision.m_transfer_source), decision.m_transfer_pieces);
    }
    if (decision.m_link_bytes > 0)
    {
        line += fmt::format(" link_bytes={}", decision.m_link_bytes);
    }
    return line;
}

std::string log_line(const unroutable& decision)
{
    return fmt::format("event=unroutable request={:016x} reason={}",
                       core::value_of(decision.m_request_id), to_string(decision.m_reason));
}

} // namespace tarragontrail::routing
