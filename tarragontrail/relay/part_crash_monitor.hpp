#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/recovery/crash_attribution.hpp"
#include "tarragontrail/recovery/part_attribution.hpp"
#include "tarragontrail/relay/upstream_record.hpp"

#include <boost/asio/io_context.hpp>
#include <unordered_set>
#include <vector>

namespace tarragontrail::relay {

/// Sends evidence on parts of prompts to the other instances.
class part_evidence_sender
{
public:
    virtual ~part_evidence_sender() = default;

    virtual void send_part_evidence(const recovery::part_attribution_action& evidence) = 0;
};

/// Connects part attribution to sessions, engines and the fleet: checks whether an engine at which
/// a request was lost has crashed, runs the core's timer and passes its messages on.
class part_crash_monitor
{
public:
    /// Crashes that it finds are also reported to `requests`, which attributes them to requests.
    part_crash_monitor(boost::asio::io_context& context, core::instance_id self,
                       recovery::crash_attribution& requests);

    /// Evidence goes to this sender from now on; null when there is no fleet.
    void set_sender(part_evidence_sender* sender) noexcept { m_sender = sender; }

    /// Whether a request with these parts may be sent to the engine now; without an engine, whether
    /// it may be sent to any.
    recovery::dispatch_verdict check(const std::vector<std::uint64_t>& parts,
                                     core::upstream_id engine, core::time_point now) const
    {
        return m_attribution.check(parts, engine, now);
    }

    /// Remaining time for which a request with these parts is refused; zero if it is not.
    core::duration quarantine_time(const std::vector<std::uint64_t>& parts,
                                   core::time_point now) const;

    /// A request with these parts is sent to an engine.
    recovery::attempt_id begin_attempt(const std::vector<std::uint64_t>& parts,
                                       core::upstream_id engine, core::time_point now);

    /// The first byte of the attempt's answer has arrived.
    void on_answer_begun(recovery::attempt_id attempt, core::time_point now);

    /// The attempt ended and its engine went on.
    void on_ended(recovery::attempt_id attempt, core::time_point now);

    /// The connection of the attempt was lost; checks whether its engine still accepts connections.
    void on_attempt_lost(recovery::attempt_id attempt, const upstream_record& engine,
                         core::time_point now);

    /// Checks whether an engine at which a request was lost still accepts connections, one check of
    /// an engine at a time; a crash is reported as any other.
    void check_engine(const upstream_record& engine);

    /// An engine incarnation crashed.
    void on_engine_crashed(core::upstream_id engine, core::incarnation started,
                           core::time_point now);

    /// Evidence from another instance, or a quarantine that was kept across a restart.
    void on_evidence(const recovery::part_attribution_action& evidence, core::time_point now);

private:
    void share_evidence();

    boost::asio::io_context& m_context;
    recovery::crash_attribution& m_requests;
    recovery::part_attribution m_attribution;
    part_evidence_sender* m_sender = nullptr;
    std::uint64_t m_last_attempt = 0;
    std::unordered_set<core::upstream_id> m_probed; ///< Engines whose check is under way.
    net::timer m_timer;                             ///< Next deadline of the attribution.
};

} // namespace tarragontrail::relay
