#pragma once

#include "tarragontrail/limits/token_bucket.hpp"

#include <algorithm>
#include <vector>

namespace tarragontrail::limits {

/// Looks for a window in which one workspace was admitted more than burst + rate * window.
class limit_checker
{
public:
    /// Notes the largest limit that some instance may still apply from `now` on.
    void set_limit(const bucket_limit& limit, core::time_point now)
    {
        m_limits.push_back({now, limit});
    }

    /// Notes an admission; returns its number.
    std::size_t on_admitted(std::uint64_t tokens, core::time_point now)
    {
        m_admissions.push_back({now, tokens});
        return m_admissions.size() - 1;
    }

    /// Notes what an admission used in the end.
    void on_settled(std::size_t number, std::uint64_t used)
    {
        m_admissions[number].m_tokens = used;
    }

    /// Largest excess over all windows so far, in tokens; zero when the limit was never exceeded.
    ///
    /// Every admission counts at its moment, with what it used if it is settled, else with its
    /// charge.
    double largest_excess() const
    {
        double level = 0;   // Largest over all windows ending now of admitted - rate * window.
        double allowed = 0; // Burst; after a change to a smaller one it drains at the new rate.
        double worst = 0;
        bucket_limit limit;
        auto next = m_limits.begin();
        core::time_point last{};
        const auto pass = [&](core::time_point now) {
            const double drained = static_cast<double>(limit.m_rate) / 1e6 *
                                   std::chrono::duration<double>(now - last).count();
            level = std::max(0.0, level - drained);
            allowed = std::max(static_cast<double>(limit.m_burst) / 1e6, allowed - drained);
            last = now;
        };
        for (const admission& each : m_admissions)
        {
            for (; next != m_limits.end() && next->m_from <= each.m_at; ++next)
            {
                pass(next->m_from);
                limit = next->m_limit;
            }
            pass(each.m_at);
            level += static_cast<double>(each.m_tokens);
            worst = std::max(worst, level - allowed);
        }
        return worst < ROUNDING_TOKENS ? 0.0 : worst;
    }

    std::size_t admissions() const { return m_admissions.size(); }

private:
    static constexpr double ROUNDING_TOKENS = 1e-3; ///< Error of the checker's own sums.

    struct admission
    {
        core::time_point m_at;
        std::uint64_t m_tokens = 0;
    };

    struct limit_change
    {
        core::time_point m_from;
        bucket_limit m_limit;
    };

    std::vector<admission> m_admissions; ///< In order of time.
    std::vector<limit_change> m_limits;  ///< In order of time.
};

} // namespace tarragontrail::limits
