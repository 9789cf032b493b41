#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragontrail::limits {

/// Settings of fleet-wide rate and burst; the same on all instances.
struct limit_settings
{
    using milliseconds = std::chrono::milliseconds;

    std::size_t m_home_count = 4;          ///< Shares that one workspace's limit is split into.
    milliseconds m_loan_lifetime{1000};    ///< A loan is usable this long after it was asked for.
    milliseconds m_reply_timeout{60};      ///< Wait for one lender before the next is asked.
    milliseconds m_lender_backoff{1000};   ///< A lender that timed out is asked last this long.
    milliseconds m_max_balance_age{20};    ///< All homes said this lately to be dry: refuse.
    milliseconds m_refund_period{600'000}; ///< A lender accepts a refund this long.
    milliseconds m_hint_interval{1000};    ///< Time between rounds of fullness hints.
    std::uint64_t m_hint_threshold_percent = 10; ///< Change of fullness that is told, of the burst.
    milliseconds m_list_lag{15'000};  ///< Longest lag of the platform's list of instances.
    milliseconds m_row_timeout{2000}; ///< Wait for the table's answer before the row is read.
};

} // namespace tarragontrail::limits
