#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/recovery/dispatch_verdict.hpp"
#include "tarragontrail/recovery/messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace tarragontrail::recovery {

/// Settings of crash_attribution.
struct crash_attribution_settings
{
    /// Minimum number of distinct crashes to attribute to a request.
    std::uint64_t m_min_crashes = 2;
    /// Maximum number of crashes needed when there is evidence of other causes.
    std::uint64_t m_max_needed_crashes = 4;
    /// A request that was in this many crashes since it last ran to completion is suspended, that
    /// is refused, if nothing else may explain them. Crashes of engines that crashed at the same
    /// time as others count as one.
    std::uint64_t m_most_crashes = 3;
    /// The same while other requests or common causes may explain them. From the third crash on it
    /// is held before it is sent again.
    std::uint64_t m_most_open_crashes = 5;
    /// Time for which it is held then.
    std::chrono::milliseconds m_last_hold_time{12'000};
    /// Delay for reports of other instances before a crash is kept.
    std::chrono::milliseconds m_keep_delay{250};
    /// Crashes without the request within this time of one of its crashes increase the number
    /// needed.
    std::chrono::seconds m_unrelated_window{30};
    /// Crashes within this time of each other count as simultaneous.
    std::chrono::seconds m_common_cause_window{2};
    std::uint64_t m_common_cause_crashes = 2;   ///< A crash is no evidence if at least this many
                                                ///< simultaneous crashes were without the request.
    std::chrono::seconds m_crash_lifetime{600}; ///< A crash is dropped after this time.
    std::chrono::seconds m_quarantine_duration{1800};
    /// Delay for reports of other instances before suspects are evaluated.
    std::chrono::milliseconds m_evaluation_delay{500};
    /// Maximum time that a suspect is held back after its last crash.
    std::chrono::milliseconds m_max_hold_time{6000};
    /// A request that ran to completion does not become a suspect for this long.
    std::chrono::seconds m_exoneration_lifetime{5};
    /// A crash within this time after an attempt was lost may be due to the attempt. An expired
    /// engine registration is detected after 3 s, and one lost update from the store delays that by
    /// up to 5 s.
    std::chrono::seconds m_lost_attempt_lifetime{8};
    std::size_t m_max_crashes = 128;            ///< Maximum number of crashes kept.
    std::size_t m_max_requests_per_crash = 512; ///< Maximum number of requests kept per crash.
    std::size_t m_max_quarantines = 1024;       ///< Maximum number of quarantines.
};

/// Requests that a crash report is sent to the other instances.
struct send_crash_report
{
    crash_report m_report;
};

/// Requests that a quarantine is announced to the other instances.
struct send_quarantine_notice
{
    quarantine_notice m_notice;
};

/// Requests that the crashes of a suspended request are kept for instances that start later.
struct keep_suspension
{
    crash_history m_history;
};

/// Requests that cleared suspects are announced to the other instances.
struct send_exoneration_notice
{
    exoneration_notice m_notice;
};

/// Action that crash_attribution requests from the I/O layer.
using crash_attribution_action = std::variant<send_crash_report, send_quarantine_notice,
                                              keep_suspension, send_exoneration_notice>;

/// Quarantine as listed for operators.
struct quarantine_entry
{
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_crashes = 0; ///< Number of crashes attributed to the request by this instance;
                                 ///< zero for a quarantine announced by a peer.
    core::time_point m_until{};
};

/// Finds requests that crash every engine that runs them, by intersecting the requests of distinct
/// crashes.
///
/// A fingerprint identifies a whole request of one workspace, so requests that only share a prefix
/// are distinct. A suspect that runs to completion is cleared. Until then it is sent to no engine
/// after its third crash, or after its fifth while others may have caused them; it is free again
/// once other requests are found to have caused its crashes.
///
/// Crashes are kept in the table store from the first one on: all instances may end at once, and a
/// request must not begin anew then.
class crash_attribution
{
public:
    crash_attribution(crash_attribution_settings settings, core::instance_id self);

    /// Whether the request may be dispatched to the engine now. Records nothing.
    dispatch_verdict check(std::uint64_t fingerprint, core::upstream_id engine,
                           core::time_point now) const;

    /// Time until which a suspect is held back, or nothing if it need not wait.
    std::optional<core::time_point> hold_deadline(std::uint64_t fingerprint,
                                                  core::time_point now) const;

    /// Whether the request was in an unexplained crash that has not expired, and was not cleared
    /// since.
    bool is_suspect(std::uint64_t fingerprint) const;

    /// A request was dispatched to an engine.
    void on_dispatched(std::uint64_t fingerprint, core::upstream_id engine);

    /// A dispatched request ended without a crash; `completed` if it ran to completion.
    void on_finished(std::uint64_t fingerprint, core::upstream_id engine, bool completed,
                     core::time_point now);

    /// The connection of a dispatched request was lost. Its engine may have crashed; a report of
    /// the crash may follow.
    void on_attempt_lost(std::uint64_t fingerprint, core::upstream_id engine, core::time_point now);

    /// An engine incarnation crashed, possibly with requests of this instance in flight.
    void on_engine_crashed(core::upstream_id engine, core::incarnation started,
                           core::time_point now);

    /// Another upstream answers at an engine's address. Counts as a crash if attempts were recently
    /// lost there; those under way may have been sent since.
    void on_engine_replaced(core::upstream_id engine, core::incarnation started,
                            core::time_point now);

    /// An engine refused a connection. Counts as a crash if an attempt was recently lost there.
    void on_connection_refused(core::upstream_id engine, core::incarnation started,
                               core::time_point now);

    /// Messages from other instances.
    void on_crash_report(const crash_report& report, core::time_point now);
    void on_quarantine_notice(const quarantine_notice& notice, core::time_point now);

    /// Crashes of a suspended request that were kept for this instance.
    void on_crash_history(const crash_history& history, core::time_point now);

    /// A crash that was recorded before this instance started, or while it heard no reports.
    /// `is_kept` tells that the record comes from the table store.
    void on_crash_record(const crash_record& record, bool is_kept, core::time_point now);

    /// Crashes with suspects that the table store is to keep, or to keep with more requests than
    /// before; each is returned once.
    std::vector<crash_record> take_unkept(core::time_point now);

    /// The table store may have lost what it kept.
    void forget_kept();

    void on_exoneration_notice(const exoneration_notice& notice, core::time_point now);

    /// A part of prompts caused these crashes, so they are no evidence against requests.
    void on_crashes_explained(const std::vector<crash_identity>& crashes, core::time_point now);

    /// Evaluates suspects if due and drops expired state.
    void on_timer(core::time_point now);

    /// Time of the next on_timer() call, if any.
    std::optional<core::time_point> next_deadline() const;

    /// Active quarantines, for operators.
    std::vector<quarantine_entry> list(core::time_point now) const;

    /// Lifts a quarantine on behalf of an operator and clears the suspect. Returns false if there
    /// is no quarantine.
    bool clear(std::uint64_t fingerprint, core::time_point now);

    /// Returns the actions since the last call.
    std::vector<crash_attribution_action> take_actions();

private:
    /// Crash of one engine incarnation, merged from all reports.
    struct crash
    {
        std::uint64_t m_number = 0; ///< Consecutive number, local to this instance.
        core::upstream_id m_engine{};
        core::incarnation m_started{}; ///< Engine incarnation that crashed.
        core::time_point m_first_reported{};
        /// Fingerprints of the requests in flight that were not cleared.
        std::unordered_set<std::uint64_t> m_requests;
        std::size_t m_reported_requests = 0;         ///< Number of requests reported in total.
        std::unordered_set<std::uint64_t> m_cleared; ///< Fingerprints of these cleared since.
        std::size_t m_kept_requests = 0; ///< Number of reported ones when it was kept last.
        bool m_is_explained = false;     ///< The request that caused it was quarantined.
    };

    /// Request that was in at least one unexplained crash.
    struct suspect
    {
        std::vector<std::uint64_t> m_crashes; ///< Numbers of its crashes, oldest first.
        bool m_is_suspended = false;          ///< It is sent to no engine.
    };

    /// Attempt whose connection was lost; still counted as in flight.
    struct lost_attempt
    {
        std::uint64_t m_fingerprint = 0;
        core::upstream_id m_engine{};
        core::time_point m_until{}; ///< End of the time that it is counted as in flight.
    };

    /// Active quarantine.
    struct quarantine
    {
        core::time_point m_until{};
        /// Number of crashes that led to it; zero if announced by a peer.
        std::uint64_t m_crashes = 0;
    };

    crash& record_crash(core::upstream_id engine, core::incarnation started, core::time_point at);
    void add_crash_of(suspect& record, const crash& where);
    void add_requests(crash& where, const std::vector<std::uint64_t>& fingerprints,
                      core::time_point now);
    void report_crash(core::upstream_id engine, core::incarnation started,
                      std::vector<std::uint64_t> fingerprints, core::time_point now);
    void suspend(std::uint64_t fingerprint, suspect& record);
    std::uint64_t separate_crashes(std::uint64_t fingerprint, const suspect& record) const;
    bool is_only_explanation(std::uint64_t fingerprint, const suspect& record) const;
    bool has_crashes_enough(std::uint64_t fingerprint, const suspect& record) const;
    void schedule_evaluation(core::time_point now);
    const crash& crash_by_number(std::uint64_t number) const;
    crash& crash_by_number(std::uint64_t number);
    std::uint64_t needed_crashes(std::uint64_t fingerprint, const suspect& record) const;
    bool has_equal_suspect(std::uint64_t fingerprint, const suspect& record) const;
    bool is_evidence(std::uint64_t fingerprint, std::uint64_t number) const;
    bool has_common_cause(std::uint64_t fingerprint, const crash& own) const;
    bool has_suspended_other(std::uint64_t fingerprint, const crash& own) const;
    bool is_confirmed_cause(std::uint64_t fingerprint, const suspect& record) const;
    /// Sends each crash report and each exoneration after a completed run a second time, in case
    /// the first message was lost.
    void repeat_messages();
    void evaluate_suspects(core::time_point now);
    void start_quarantine(std::uint64_t fingerprint, core::time_point until, std::uint64_t crashes);
    void exonerate(std::uint64_t fingerprint, core::time_point now);
    void mark_explained(crash& where);
    void clear_requests(crash& where);
    void drop_oldest_crash();
    void drop_in_flight(std::uint64_t fingerprint, core::upstream_id engine);
    void drop_lost(std::uint64_t fingerprint);

    crash_attribution_settings m_settings;
    core::instance_id m_self;
    std::deque<crash> m_crashes; ///< Ascending by number.
    std::uint64_t m_next_crash_number = 1;
    std::unordered_map<std::uint64_t, suspect> m_suspects;       ///< By fingerprint.
    std::unordered_map<std::uint64_t, quarantine> m_quarantines; ///< By fingerprint.
    std::unordered_map<core::upstream_id, std::vector<std::uint64_t>>
        m_in_flight;                               ///< Fingerprints, by engine.
    std::deque<lost_attempt> m_lost_attempts;      ///< Oldest first.
    std::optional<core::time_point> m_evaluate_at; ///< When suspects are evaluated next.
    /// This instance's reports to be sent a second time.
    std::vector<crash_report> m_reports_to_repeat;
    /// Fingerprints of cleared suspects to be announced a second time.
    std::vector<std::uint64_t> m_exonerations_to_repeat;
    /// When fingerprints ran to completion or were cleared, as far as that was recent.
    std::unordered_map<std::uint64_t, core::time_point> m_recently_cleared;
    std::vector<crash_attribution_action> m_actions; ///< Returned by the next take_actions().
};

} // namespace tarragontrail::recovery
