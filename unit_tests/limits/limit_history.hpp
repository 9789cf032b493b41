#pragma once

#include "tarragontrail/limits/workspace_limit.hpp"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace tarragontrail::limits {

/// Past limits of a workspace, and which of them an instance may still apply.
class limit_history
{
public:
    void add(std::uint64_t rate, std::uint64_t burst)
    {
        m_quotas.push_back(
            {{rate * micro_tokens_per_token, burst * micro_tokens_per_token}, m_quotas.size() + 1});
    }

    const workspace_quota& newest() const { return m_quotas.back(); }

    /// Maximum limit in use if `oldest` is the oldest epoch that any instance applies.
    ///
    /// Loans granted under a higher limit remain usable until they expire.
    bucket_limit largest_in_use(std::uint64_t oldest, core::duration loan_lifetime,
                                core::time_point now)
    {
        bucket_limit largest;
        for (const workspace_quota& each : m_quotas)
        {
            largest = each.m_epoch < oldest ? largest : larger_of(largest, each.m_limit);
        }
        m_recent.emplace_back(now, largest);
        while (m_recent.front().first + 2 * loan_lifetime < now)
        {
            m_recent.pop_front();
        }
        for (const auto& [since, limit] : m_recent)
        {
            largest = larger_of(largest, limit);
        }
        return largest;
    }

private:
    static bucket_limit larger_of(const bucket_limit& left, const bucket_limit& right)
    {
        return {std::max(left.m_rate, right.m_rate), std::max(left.m_burst, right.m_burst)};
    }

    std::vector<workspace_quota> m_quotas; ///< By epoch, starting at 1.
    /// Maximum limits of the last two loan lifetimes.
    std::deque<std::pair<core::time_point, bucket_limit>> m_recent;
};

} // namespace tarragontrail::limits
