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
    core::instance_id m_instance{}; ///< Home.
    bucket_limit m_part;            ///< Its part of the limit.
    std::uint64_t m_left = 0;       ///< Micro-tokens it said it had.
    core::time_point m_heard;       ///< When it said so.
    bool m_is_known = false;        ///< Whether it ever said so.
};

/// Instances that did not answer lately; they are asked last.
class paused_lenders
{
public:
    void pause(core::instance_id instance, core::time_point until) { m_until[instance] = until; }
    void resume(core::instance_id instance) { m_until.erase(instance); }
    bool is_paused(core::instance_id instance, core::time_point now) const;

private:
    std::unordered_map<core::instance_id, core::time_point> m_until; ///< End of each pause.
};

/// Lender that may be asked, see lender_book::rank.
struct ranked_lender
{
    core::instance_id m_instance{}; ///< Home.
    std::uint64_t m_burst = 0;      ///< Burst of its share.
    std::uint64_t m_estimate = 0;   ///< Micro-tokens that it is thought to hold.
    bool m_is_paused = false;       ///< It did not answer lately.
    bool m_is_repeat = false;       ///< It was asked for this request before.
};

/// What one instance knows of the homes of one workspace, itself aside.
class lender_book
{
public:
    /// Takes the homes from a row; what was known of those that stay is kept.
    void set_homes(const share_row& row, const bucket_limit& limit, core::instance_id self);

    /// Notes what a home said it holds.
    void note(core::instance_id home, std::uint64_t left, core::time_point now);

    /// Tokens that a home is thought to hold now; its whole burst if it never said.
    static std::uint64_t estimate(const lender& home, core::time_point now);

    /// Whether every home was heard of lately and all together hold less than `amount`.
    bool is_surely_dry(std::uint64_t amount, core::duration trust, core::time_point now) const;

    /// Replaces `ranked` by all homes, the fullest first, those that are paused last.
    void rank(const paused_lenders& paused, core::time_point now,
              std::vector<ranked_lender>& ranked) const;

    const std::vector<lender>& homes() const noexcept { return m_homes; }

private:
    std::vector<lender> m_homes; ///< Homes of the workspace other than this instance.
};

} // namespace tarragontrail::limits
