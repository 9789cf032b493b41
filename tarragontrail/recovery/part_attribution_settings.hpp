#pragma once

#include <chrono>
#include <cstddef>

namespace tarragontrail::recovery {

/// Settings of part_attribution.
struct part_attribution_settings
{
    /// Minimum number of crashes at distinct times to attribute to a part; one more if the part was
    /// sound before them, and one more while other parts of each of them have no outcome.
    std::size_t m_min_crashes = 2;
    /// Maximum number of crashes needed, whatever other causes there may be.
    std::size_t m_max_needed_crashes = 4;
    /// Crashes within this time of each other count once.
    std::chrono::milliseconds m_simultaneous_window{35};
    /// A crash is no evidence if at least m_common_cause_crashes crashes without the part are
    /// within this time of it.
    std::chrono::seconds m_common_cause_window{2};
    std::size_t m_common_cause_crashes = 2;
    std::chrono::seconds m_crash_lifetime{600}; ///< A crash is dropped after this time.
    std::chrono::seconds m_quarantine_duration{1800};
    /// Delay for reports and exonerations of other instances before suspects are evaluated.
    std::chrono::milliseconds m_evaluation_delay{80};
    /// Time after which messages are sent again, in case the first is lost.
    std::chrono::milliseconds m_repeat_delay{30};
    /// Time from a crash of a suspect to its first trial.
    std::chrono::milliseconds m_trial_delay{80};
    /// Trials of instances that had the suspect in flight at a crash start within this time.
    std::chrono::milliseconds m_own_trial_spread{30};
    /// Trials of the other instances start within this time after those.
    std::chrono::milliseconds m_trial_spread{400};
    /// A request with several suspects of the same crashes waits this much longer, since its trial
    /// does not tell them apart.
    std::chrono::milliseconds m_ambiguous_trial_delay{300};
    /// Time from a suspect's second crash to its next trial, in which other suspects of its crashes
    /// have theirs.
    std::chrono::milliseconds m_repeated_trial_delay{500};
    /// A trial announced by a peer is over unless it is announced again within this time.
    std::chrono::milliseconds m_trial_lifetime{1500};
    /// Interval at which a trial in flight is announced again.
    std::chrono::milliseconds m_trial_renewal{500};
    /// Maximum time that parts are held after an attempt with them was lost, if neither a crash
    /// nor a connection to the engine follows.
    std::chrono::milliseconds m_lost_hold_time{400};
    /// A crash within this time after an attempt was lost may be due to the attempt.
    std::chrono::seconds m_lost_attempt_lifetime{8};
    /// A part that was sound before is not held within this time of its first crash: an answer soon
    /// begins on popular ones.
    std::chrono::milliseconds m_sound_grace{250};
    /// A part that was sound before is not convicted within this time of its first crash, in which
    /// attempts in flight elsewhere begin.
    std::chrono::milliseconds m_sound_trial_time{700};
    /// A peer's report of a part that is sound here is answered within this time.
    std::chrono::milliseconds m_answer_window{40};
    /// A quarantine notice is taken for a late repeat if its part was cleared within this time and
    /// none of its crashes is known to be later.
    std::chrono::seconds m_late_notice_window{10};
    std::size_t m_max_begins = 16384;          ///< Maximum number of parts known to be sound.
    std::size_t m_max_crashes = 256;           ///< Maximum number of crashes kept.
    std::size_t m_max_parts_per_crash = 1024;  ///< Maximum number of parts kept per crash.
    std::size_t m_max_quarantines = 256;       ///< Maximum number of quarantines.
    std::size_t m_max_quarantine_crashes = 16; ///< Maximum number of crashes kept per quarantine.
    std::size_t m_max_trials = 256;            ///< Maximum number of peers' trials kept.
    std::size_t m_max_lost_attempts = 1024;    ///< Maximum number of lost attempts kept.
    std::size_t m_max_pending_messages = 1024; ///< Maximum number of messages to be sent later.
};

} // namespace tarragontrail::recovery
