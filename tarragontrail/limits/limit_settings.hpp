#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragontrail::limits {

/// Settings of fleet-wide rate and burst; the same on all instances.
struct limit_settings
{
    std::size_t m_homes = 4; ///< Homes that one workspace's limit is split over.
    std::chrono::milliseconds m_loan_lifetime{
        1000}; ///< A loan is usable this long after it was asked for.
    std::chrono::milliseconds m_reply_timeout{
        60}; ///< Wait for one lender before the next is asked.
    std::chrono::milliseconds m_lender_pause{
        1000}; ///< A lender that timed out is asked last this long.
    std::chrono::milliseconds m_dry_trust{
        100}; ///< Homes all heard of this lately are believed to be dry.
    std::chrono::milliseconds m_loan_memory{
        600000}; ///< A lender accepts a refund this long after a grant.
    std::chrono::milliseconds m_hint_interval{1000}; ///< Time between rounds of fullness hints.
    std::uint64_t m_hint_step_percent =
        10; ///< Change of fullness, in percent of the share's burst, that is told.
    std::chrono::milliseconds m_list_lag{
        15000}; ///< Longest lag of the platform's list of instances.
    std::chrono::milliseconds m_row_timeout{
        2000}; ///< Wait for the table's answer before the row is read.
};

} // namespace tarragontrail::limits
