#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragontrail::limits {

/// Settings of fleet-wide rate and burst limits; must be the same on all instances.
struct limit_settings
{
    using milliseconds = std::chrono::milliseconds;

    std::size_t m_home_count = 4; ///< Number of shares that a workspace's limit is split into.
    milliseconds m_loan_lifetime{1000}; ///< A loan is usable for this long after it was requested.
    milliseconds m_reply_timeout{60};   ///< Wait for one lender before the next one is contacted.
    /// A lender that timed out is contacted last for this long.
    milliseconds m_lender_backoff{1000};
    milliseconds m_max_balance_age{20}; ///< A request is refused without contacting lenders if all
                                        ///< balances are at most this old and together too low.
    /// A lender accepts a refund for this long after a loan expired.
    milliseconds m_refund_period{600'000};
    milliseconds m_hint_interval{1000}; ///< Time between two rounds of share hints.
    /// Change of balance that triggers a hint, in percent of the burst.
    std::uint64_t m_hint_threshold_percent = 10;
    milliseconds m_list_lag{15'000}; ///< Maximum lag of the platform's list of instances.
    /// Wait for an answer of the table service before the row is read again.
    milliseconds m_row_timeout{2000};
};

} // namespace tarragontrail::limits
