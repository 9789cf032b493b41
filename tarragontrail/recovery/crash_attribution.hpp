#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
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
    std::uint64_t m_min_crashes = 2;             ///< Distinct crashes that a blamed request was in.
    std::uint64_t m_max_needed_crashes = 4;      ///< Crashes needed at most, when others crash too.
    std::chrono::seconds m_unrelated_window{30}; ///< Other crashes so near in time raise the need.
    std::chrono::seconds m_common_cause_window{2};     ///< Crashes so near in time are at once.
    std::uint64_t m_common_cause_crashes = 2;          ///< So many others at once void a crash.
    std::chrono::seconds m_crash_lifetime{600};        ///< A crash is forgotten after this.
    std::chrono::seconds m_quarantine_duration{1800};  ///< Length of a quarantine.
    std::chrono::milliseconds m_evaluation_delay{500}; ///< Wait for other instances' reports.
    std::chrono::milliseconds m_max_hold_time{6000};   ///< An open case is held back this long.
    std::chrono::seconds m_exoneration_lifetime{5};    ///< A cleared request is no suspect so long.
    /// A lost attempt may have crashed its engine so long; a lapsed registration shows after 3 s,
    /// and one lost follow of the store delays that by up to 5 s.
    std::chrono::seconds m_lost_attempt_lifetime{8};
    std::size_t m_max_crashes = 128;            ///< Crashes remembered.
    std::size_t m_max_requests_per_crash = 512; ///< Requests remembered of one crash.
    std::size_t m_max_quarantines = 1024;       ///< Quarantines held at once.
};

/// Asks the shell to send a crash report to the other instances.
struct send_crash_report
{
    crash_report m_report; ///< Report.
};

/// Asks the shell to tell the other instances of a quarantine.
struct send_quarantine_notice
{
    quarantine_notice m_notice; ///< Notice.
};

/// Asks the shell to tell the other instances of cleared suspects.
struct send_exoneration_notice
{
    exoneration_notice m_notice; ///< Notice.
};

/// What crash_attribution asks of its shell.
using crash_attribution_action =
    std::variant<send_crash_report, send_quarantine_notice, send_exoneration_notice>;

/// Whether a request may be dispatched to an engine.
enum class dispatch_verdict
{
    allowed, ///< Go ahead.
    hold,    ///< Suspect, and judged soon or the engine runs another: wait, or try another engine.
    quarantined, ///< Refuse the caller.
};

/// Quarantine as operators see it.
struct quarantine_entry
{
    std::uint64_t m_fingerprint = 0; ///< Request.
    std::uint64_t m_crashes = 0; ///< Crashes that it was seen in here; zero for a peer's notice.
    core::time_point m_until{};  ///< When it ends.
};

/// Finds requests that crash each engine that runs them, by intersecting distinct crashes.
///
/// A fingerprint stands for a whole request of one workspace, so requests that only share a prefix
/// are told apart. A run to the end clears a suspect.
class crash_attribution
{
public:
    crash_attribution(crash_attribution_settings settings, core::instance_id self);

    /// Whether the request may go to the engine now; nothing is recorded.
    dispatch_verdict check(std::uint64_t fingerprint, core::upstream_id engine,
                           core::time_point now) const;

    /// End of the wait of a request whose case is open; nothing when it need not wait.
    std::optional<core::time_point> hold_deadline(std::uint64_t fingerprint,
                                                  core::time_point now) const;

    /// The request has an unexpired crash on its record and was not cleared.
    bool is_suspect(std::uint64_t fingerprint) const;

    /// A request was dispatched to an engine.
    void on_dispatched(std::uint64_t fingerprint, core::upstream_id engine);

    /// A dispatched request ended without a crash; `completed` when it ran to its end.
    void on_finished(std::uint64_t fingerprint, core::upstream_id engine, bool completed,
                     core::time_point now);

    /// The connection of a dispatched request broke: its engine may have crashed, and the word of
    /// that is still to come.
    void on_attempt_lost(std::uint64_t fingerprint, core::upstream_id engine, core::time_point now);

    /// An engine's incarnation crashed with this instance's requests in flight.
    void on_engine_crashed(core::upstream_id engine, core::incarnation started,
                           core::time_point now);

    /// An engine refused a connection: with an attempt just lost there, it crashed.
    void on_connection_refused(core::upstream_id engine, core::incarnation started,
                               core::time_point now);

    /// Another instance's messages.
    void on_crash_report(const crash_report& report, core::time_point now);
    void on_quarantine_notice(const quarantine_notice& notice, core::time_point now);
    void on_exoneration_notice(const exoneration_notice& notice, core::time_point now);

    /// Decides what is due and drops what has lapsed.
    void on_timer(core::time_point now);

    /// When on_timer is wanted next.
    std::optional<core::time_point> next_deadline() const;

    /// Quarantines in force, for operators.
    std::vector<quarantine_entry> list(core::time_point now) const;

    /// An operator lifts a quarantine; returns false when there is none.
    bool clear(std::uint64_t fingerprint, core::time_point now);

    /// Actions since the last call.
    std::vector<crash_attribution_action> take_actions();

private:
    /// One engine incarnation's crash, merged from all reports.
    struct crash
    {
        std::uint64_t m_number = 0;                   ///< Counts crashes here.
        core::upstream_id m_engine{};                 ///< Engine.
        core::incarnation m_started{};                ///< Incarnation that crashed.
        core::time_point m_first_reported{};          ///< First report.
        std::unordered_set<std::uint64_t> m_requests; ///< Requests in flight that were not cleared.
        std::size_t m_reported_requests = 0;          ///< Requests reported in all.
        std::size_t m_cleared_requests = 0;           ///< Of these, cleared since.
        bool m_is_explained = false;                  ///< Its cause was quarantined.
    };

    /// Suspect's record.
    struct suspect
    {
        std::vector<std::uint64_t> m_crashes; ///< Numbers of its crashes, oldest first.
    };

    /// Attempt whose connection broke, still counted as in flight.
    struct lost_attempt
    {
        std::uint64_t m_fingerprint = 0; ///< Request.
        core::upstream_id m_engine{};    ///< Engine.
        core::time_point m_until{};      ///< Counted as in flight until then.
    };

    /// Quarantine in force.
    struct quarantine
    {
        core::time_point m_until{};  ///< When it ends.
        std::uint64_t m_crashes = 0; ///< Crashes that led to it.
    };

    crash& record_crash(core::upstream_id engine, core::incarnation started, core::time_point now);
    void add_requests(crash& where, const std::vector<std::uint64_t>& fingerprints,
                      core::time_point now);
    void schedule_evaluation(core::time_point now);
    const crash& crash_by_number(std::uint64_t number) const;
    crash& crash_by_number(std::uint64_t number);
    std::uint64_t needed_crashes(std::uint64_t fingerprint, const suspect& record) const;
    bool has_equal_suspect(std::uint64_t fingerprint, const suspect& record) const;
    bool is_evidence(std::uint64_t fingerprint, std::uint64_t number) const;
    bool has_common_cause(std::uint64_t fingerprint, const crash& own) const;
    bool is_confirmed_cause(std::uint64_t fingerprint, const suspect& record) const;
    /// A second copy of each message covers the loss of the first.
    void repeat_messages();
    void evaluate_suspects(core::time_point now);
    void start_quarantine(std::uint64_t fingerprint, core::time_point until, std::uint64_t crashes);
    void exonerate(std::uint64_t fingerprint, core::time_point now);
    void mark_explained(crash& where);
    void clear_requests(crash& where);
    void drop_oldest_crash();
    void drop_in_flight(std::uint64_t fingerprint, core::upstream_id engine);
    void drop_lost(std::uint64_t fingerprint);

    crash_attribution_settings m_settings;                 ///< Settings.
    core::instance_id m_self;                              ///< This instance.
    std::deque<crash> m_crashes;                           ///< Crashes by number, oldest first.
    std::uint64_t m_next_crash_number = 1;                 ///< Number of the next crash.
    std::unordered_map<std::uint64_t, suspect> m_suspects; ///< By fingerprint.
    std::unordered_map<std::uint64_t, quarantine> m_quarantines; ///< By fingerprint.
    std::unordered_map<core::upstream_id, std::vector<std::uint64_t>> m_in_flight; ///< By engine.
    std::deque<lost_attempt> m_lost_attempts;      ///< Oldest first.
    std::optional<core::time_point> m_evaluate_at; ///< When open cases are judged.
    std::vector<crash_report> m_reports_to_repeat; ///< Own reports to share a second time.
    std::vector<std::uint64_t>
        m_exonerations_to_repeat; ///< Cleared suspects to share a second time.
    std::unordered_map<std::uint64_t, core::time_point>
        m_recently_cleared;                          ///< Fingerprints cleared lately.
    std::vector<crash_attribution_action> m_actions; ///< Actions not yet taken.
};

} // namespace tarragontrail::recovery
