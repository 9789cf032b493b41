#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/recovery/crash_attribution.hpp"
#include "tarragontrail/recovery/part_messages.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace tarragontrail::recovery {

/// Action that part_attribution requests from the I/O layer: a message to all other instances.
using part_attribution_action =
    std::variant<part_crash_report, part_exoneration_notice, part_trial_notice,
                 part_quarantine_notice>;

/// Attempt at an engine, unique within one instance.
enum class attempt_id : std::uint64_t
{
};

/// Finds parts of prompts that crash every engine that begins to write an answer on them.
///
/// A part is identified by a hash of its model and its identity. The last part of a prompt belongs
/// to one request and is never tracked.
class part_attribution
{
public:
    part_attribution(part_attribution_settings settings, core::instance_id self);

    /// Whether a request with these parts may be sent to the engine now. Records nothing.
    dispatch_verdict check(const std::vector<std::uint64_t>& parts, core::upstream_id engine,
                           core::time_point now) const;

    /// Whether a request with these parts is refused everywhere.
    bool is_quarantined(const std::vector<std::uint64_t>& parts, core::time_point now) const;

    /// A request with these parts was sent to an engine.
    void on_dispatched(attempt_id attempt, const std::vector<std::uint64_t>& parts,
                       core::upstream_id engine, core::time_point now);

    /// The engine has begun to write the answer of an attempt.
    void on_answer_begun(attempt_id attempt, core::time_point now);

    /// An attempt ended while its engine went on: completed, rejected or cancelled.
    void on_ended(attempt_id attempt, core::time_point now);

    /// The connection of an attempt was lost. Its engine may have crashed; until on_engine_alive()
    /// or a crash, requests with the attempt's parts are held if its answer had not begun.
    void on_attempt_lost(attempt_id attempt, core::time_point now);

    /// An engine at which attempts were lost accepts connections: it did not crash.
    void on_engine_alive(core::upstream_id engine, core::time_point now);

    /// An engine incarnation crashed.
    void on_engine_crashed(core::upstream_id engine, core::incarnation started,
                           core::time_point now);

    /// Messages from other instances.
    void on_crash_report(const part_crash_report& report, core::time_point now);
    void on_exoneration_notice(const part_exoneration_notice& notice, core::time_point now);
    void on_trial_notice(const part_trial_notice& notice, core::time_point now);
    void on_quarantine_notice(const part_quarantine_notice& notice, core::time_point now);

    /// Evaluates suspects if due and drops expired state.
    void on_timer(core::time_point now);

    /// Time of the next on_timer() call, if any.
    std::optional<core::time_point> next_deadline() const;

    /// Active quarantines, for operators and for instances that start.
    std::vector<part_quarantine_notice> list(core::time_point now) const;

    /// Returns the actions since the last call.
    std::vector<part_attribution_action> take_actions();
};

} // namespace tarragontrail::recovery
