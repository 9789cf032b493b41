#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/limits/token_bucket.hpp"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace tarragontrail::limits {

/// A home that may lend, and what it is thought to hold.
struct lender
{
    core::instance_id m_instance{};       ///< Home.
    bucket_limit m_limit;                 ///< Its part of the limit.
    std::uint64_t m_reported_balance = 0; ///< Micro-tokens it said it had.
    core::time_point m_reported_at;       ///< When it said so.
    bool m_has_reported = false;          ///< Whether it ever said so.
};

/// Instances that did not answer lately; they are asked last.
class lenders_in_backoff
{
public:
    void back_off(core::instance_id instance, core::time_point until) { m_until[instance] = until; }
    void clear(core::instance_id instance) { m_until.erase(instance); }
    bool is_in_backoff(core::instance_id instance, core::time_point now) const;

private:
    std::unordered_map<core::instance_id, core::time_point> m_until; ///< End of each pause.
};

/// Lender that may be asked, see lender_registry::rank.
struct lender_candidate
{
    core::instance_id m_instance{};        ///< Home.
    std::uint64_t m_burst = 0;             ///< Burst of its share.
    std::uint64_t m_estimated_balance = 0; ///< Micro-tokens that it is thought to hold.
    bool m_is_in_backoff = false;          ///< It did not answer lately.
    bool m_was_contacted = false;          ///< It was asked for this request before.
};

/// What one instance knows of the homes of one workspace, itself aside.
class lender_registry
{
public:
    /// Takes the homes from a row; what was known of those that stay is kept.
    void set_homes(const share_row& row, const bucket_limit& limit, core::instance_id self);

    /// Notes what a home said it holds.
    void record_balance(core::instance_id home, std::uint64_t left, core::time_point now);

    /// Tokens that a home is thought to hold now; its whole burst if it never said.
    static std::uint64_t estimate_balance(const lender& home, core::time_point now);

    /// Whether every home was heard of lately and all together hold less than `amount`.
    bool is_known_exhausted(std::uint64_t amount, core::duration max_age,
                            core::time_point now) const;

    /// Replaces `ranked` by all homes, the fullest first, those that are paused last.
    void rank(const lenders_in_backoff& paused, core::time_point now,
              std::vector<lender_candidate>& ranked) const;

    const std::vector<lender>& homes() const noexcept { return m_homes; }

private:
    std::vector<lender> m_homes; ///< Homes of the workspace other than this instance.
};

} // namespace tarragontrail::limits
