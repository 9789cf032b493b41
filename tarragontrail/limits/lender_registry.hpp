#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/limits/token_bucket.hpp"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace tarragontrail::limits {

/// Home that may lend tokens, with its last reported balance.
struct lender
{
    core::instance_id m_instance{};
    bucket_limit m_limit;                 ///< Limit of its share.
    std::uint64_t m_reported_balance = 0; ///< In micro-tokens.
    core::time_point m_reported_at;
    bool m_has_reported = false; ///< At least one balance was reported.
};

/// Instances that recently did not answer; they are contacted last.
class lenders_in_backoff
{
public:
    void back_off(core::instance_id instance, core::time_point until) { m_until[instance] = until; }
    void clear(core::instance_id instance) { m_until.erase(instance); }
    bool is_in_backoff(core::instance_id instance, core::time_point now) const;

private:
    std::unordered_map<core::instance_id, core::time_point> m_until; ///< End of the backoff.
};

/// Candidate for a loan request, see lender_registry::rank.
struct lender_candidate
{
    core::instance_id m_instance{};
    std::uint64_t m_burst = 0;             ///< Burst of its share, in micro-tokens.
    std::uint64_t m_estimated_balance = 0; ///< In micro-tokens.
    bool m_is_in_backoff = false;          ///< It recently did not answer.
    bool m_was_contacted = false; ///< A loan request was already sent to it for the same request.
};

/// The homes of one workspace other than this instance, with their estimated balances.
class lender_registry
{
public:
    /// Sets the homes from a share row; the state of homes that remain is kept.
    void set_homes(const share_row& row, const bucket_limit& limit, core::instance_id self);

    /// Records the balance that a home reported, in micro-tokens.
    void record_balance(core::instance_id home, std::uint64_t left, core::time_point now);

    /// Estimated current balance of a home, in micro-tokens; its whole burst if it has never
    /// reported.
    static std::uint64_t estimate_balance(const lender& home, core::time_point now);

    /// Whether every home reported within `max_age` and all of them together hold less than
    /// `amount`.
    bool is_known_exhausted(std::uint64_t amount, core::duration max_age,
                            core::time_point now) const;

    /// Fills `ranked` with all homes, highest estimated balance first, homes in backoff last.
    void rank(const lenders_in_backoff& backoff, core::time_point now,
              std::vector<lender_candidate>& ranked) const;

    const std::vector<lender>& homes() const noexcept { return m_homes; }

private:
    std::vector<lender> m_homes;
};

} // namespace tarragontrail::limits
