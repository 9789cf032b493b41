#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/recovery/dispatch_verdict.hpp"
#include "tarragontrail/recovery/part_attribution_settings.hpp"
#include "tarragontrail/recovery/part_begin_log.hpp"
#include "tarragontrail/recovery/part_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace tarragontrail::recovery {

/// Action that part_attribution requests from the I/O layer: a message to all other instances.
using part_attribution_action = std::variant<part_crash_report, part_exoneration_notice,
                                             part_trial_notice, part_quarantine_notice>;

/// Attempt at an engine, unique within one instance.
enum class attempt_id : std::uint64_t
{
};

/// Sizes of the state of part_attribution, for its bounds.
struct part_attribution_sizes
{
    std::size_t m_begins = 0;
    std::size_t m_crashes = 0;
    std::size_t m_suspects = 0;
    std::size_t m_attempts = 0; ///< Attempts without a begun answer, with lost ones.
    std::size_t m_peer_trials = 0;
    std::size_t m_quarantines = 0;
    std::size_t m_pending_messages = 0; ///< Repeated messages and answers to be sent.
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

    part_attribution_sizes sizes() const;

    /// Whether the part was in an unexplained crash after its last known begin.
    bool is_suspect(std::uint64_t part) const { return m_suspects.contains(part); }

private:
    /// Crash of one engine incarnation, merged from all reports.
    struct crash
    {
        std::uint64_t m_number = 0; ///< Consecutive number, local to this instance.
        crash_identity m_identity{};
        core::time_point m_first_reported{};
        std::vector<std::uint64_t> m_parts; ///< Parts in flight that were not cleared; sorted.
        bool m_is_explained = false;        ///< The part that caused it was quarantined.
    };

    /// Part that was in at least one unexplained crash since its last begin.
    struct suspect
    {
        std::vector<std::uint64_t> m_crashes; ///< Numbers of its crashes; ascending.
        std::uint64_t m_own_crash = 0; ///< Number of the last one with an attempt of this instance.
    };

    /// Attempt whose answer has not begun.
    struct attempt
    {
        std::vector<std::uint64_t> m_parts; ///< Sorted.
        core::upstream_id m_engine{};
        /// Time at which it is announced as a trial again, if it has suspected parts.
        std::optional<core::time_point> m_renew_at;
        /// End of the time that it is counted as in flight after its connection was lost.
        std::optional<core::time_point> m_lost_until;
        core::time_point m_hold_until{}; ///< Its parts are held until then if it was lost.
    };

    /// Request with suspected parts that a peer has in flight.
    struct peer_trial
    {
        std::vector<std::uint64_t> m_parts; ///< Suspected parts; sorted.
        core::upstream_id m_engine{};
        core::time_point m_until{};
    };

    /// Parts that are refused together.
    struct quarantine
    {
        std::vector<std::uint64_t> m_parts; ///< Sorted.
        core::time_point m_until{};
        std::vector<crash_identity> m_crashes; ///< Crashes that it explains.
        /// When it is announced again to an instance that has not heard of it.
        std::optional<core::time_point> m_announce_at;
    };

    /// Answer to a peer's report of a part that is sound here.
    struct pending_answer
    {
        core::time_point m_due{};
        core::time_point m_crashed{}; ///< Time of the part's last reported crash.
    };

    /// Message that is sent a second time, in case the first is lost.
    struct repeated_message
    {
        core::time_point m_due{};
        part_attribution_action m_message;
    };

    crash* find_crash(const crash_identity& identity);
    const crash& crash_by_number(std::uint64_t number) const;
    crash& crash_by_number(std::uint64_t number);
    crash& record_crash(const crash_identity& identity, core::time_point now);
    void add_parts(crash& where, const std::vector<std::uint64_t>& parts, bool are_own);
    void explain(crash& where, const std::vector<std::uint64_t>& cause);
    void drop_oldest_crash();

    void send_twice(part_attribution_action message, core::time_point now);
    void send_due_repeats(core::time_point now);
    core::duration answer_delay(std::uint64_t key) const;
    void schedule_answers(const std::vector<std::uint64_t>& parts, core::time_point crashed,
                          core::time_point now);
    void send_due_answers(core::time_point now);
    void announce_trial(attempt& sent, core::time_point now);
    void announce_trials_in_flight(core::time_point now);
    void renew_trials(core::time_point now);
    void end_peer_trials(core::upstream_id engine, core::time_point now);
    /// Clears a part on which an answer has begun; returns whether it was suspected or quarantined.
    bool clear(std::uint64_t part, core::time_point now);

    bool was_sound_before(std::uint64_t part) const;
    bool is_held(std::uint64_t part, core::time_point now) const;
    bool is_lost_with(std::uint64_t part, core::time_point now) const;
    bool is_on_trial(std::uint64_t part, core::time_point now) const;
    bool runs_suspect(core::upstream_id engine, core::time_point now) const;
    bool is_ambiguous(const std::vector<std::uint64_t>& parts) const;
    core::time_point trial_time(std::uint64_t part) const;
    core::duration trial_offset(std::uint64_t part, bool was_own) const;

    std::size_t distinct_times(const std::vector<std::uint64_t>& crashes) const;
    /// Whether at least `count` unexplained crashes without the part are within a time of one of
    /// its crashes; those of recurrent parts count on request.
    bool has_crashes_without(std::uint64_t part, const crash& own, core::duration within,
                             std::size_t count, bool with_recurrent) const;
    /// Whether the part was in several crashes that were not one of several at one time.
    bool is_recurrent(std::uint64_t part) const;
    /// Other engines crashed at the same time without the part.
    bool is_one_of_several(std::uint64_t part, const crash& own) const;
    bool has_common_cause(std::uint64_t part, const crash& own) const;
    bool may_have_other_cause(const std::vector<std::uint64_t>& parts, const crash& own) const;
    std::vector<std::uint64_t> equal_suspects(const suspect& record) const;
    bool has_enough_evidence(std::uint64_t part, const suspect& record,
                             const std::vector<std::uint64_t>& equal, core::time_point now) const;
    std::vector<std::uint64_t> repeated_suspects(core::time_point now);
    bool has_likelier_suspect(const suspect& record, const std::vector<std::uint64_t>& equal) const;
    core::time_point sound_trial_end(const suspect& record) const;
    void schedule_evaluation(core::time_point at);
    void evaluate_suspects(core::time_point now);
    void convict(std::vector<std::uint64_t> parts, core::time_point now);

    static part_quarantine_notice to_notice(const quarantine& what, core::time_point now);
    const quarantine* find_quarantine(const std::vector<std::uint64_t>& parts,
                                      core::time_point now) const;
    bool is_late_repeat(std::uint64_t part, const part_quarantine_notice& notice,
                        core::time_point now);
    void start_quarantine(quarantine added);
    bool lift_quarantines(std::uint64_t part);

    part_attribution_settings m_settings;
    core::instance_id m_self;
    part_begin_log m_begins;
    std::deque<crash> m_crashes; ///< Ascending by number.
    std::uint64_t m_next_crash_number = 1;
    std::unordered_map<std::uint64_t, suspect> m_suspects; ///< By part.
    std::unordered_map<attempt_id, attempt> m_attempts;    ///< In flight, and lost ones.
    std::deque<attempt_id> m_lost_attempts;                ///< Oldest first.
    std::vector<peer_trial> m_peer_trials;
    std::vector<quarantine> m_quarantines;
    std::deque<repeated_message> m_repeats;                      ///< Ascending by due time.
    std::unordered_map<std::uint64_t, pending_answer> m_answers; ///< By part.
    std::optional<core::time_point> m_renew_at;     ///< When trials in flight are announced again.
    std::optional<core::time_point> m_evaluate_at;  ///< When suspects are evaluated next.
    std::vector<part_attribution_action> m_actions; ///< Returned by the next take_actions().
};

} // namespace tarragontrail::recovery
