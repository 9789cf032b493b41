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
    /// charge. A window may hold the largest burst that was allowed in it, and the rate of each
    /// moment.
    double max_excess() const
    {
        std::vector<window> windows;
        double worst = 0;
        double rate = 0;
        core::time_point last{};
        auto next = m_limits.begin();
        const auto pass = [&](core::time_point now) {
            const double drained = rate * std::chrono::duration<double>(now - last).count();
            for (window& each : windows)
            {
                each.m_level = std::max(0.0, each.m_level - drained);
            }
            last = now;
        };
        for (const admission& each : m_admissions)
        {
            for (; next != m_limits.end() && next->m_from <= each.m_at; ++next)
            {
                pass(next->m_from);
                rate = static_cast<double>(next->m_limit.m_rate) / micro_tokens_per_token;
                change_burst(windows,
                             static_cast<double>(next->m_limit.m_burst) / micro_tokens_per_token);
            }
            pass(each.m_at);
            for (window& open : windows)
            {
                open.m_level += static_cast<double>(each.m_tokens);
                worst = std::max(worst, open.m_level - open.m_burst);
            }
        }
        return worst < rounding_error_tokens ? 0.0 : worst;
    }

    std::size_t admissions() const { return m_admissions.size(); }

private:
    static constexpr double rounding_error_tokens = 1e-3; ///< Error of the checker's own sums.

    /// Fullest window among those that started under one limit.
    struct window
    {
        double m_level = 0; ///< Largest of admitted - rate * time over the windows.
        double m_burst = 0; ///< Largest burst allowed since they started.
    };

    /// Windows that start from now on have the new burst; older ones keep a larger one.
    static void change_burst(std::vector<window>& windows, double burst)
    {
        if (!windows.empty() && windows.back().m_burst == burst)
        {
            return;
        }
        std::erase_if(windows, [](const window& each) { return each.m_level == 0.0; });
        for (window& each : windows)
        {
            each.m_burst = std::max(each.m_burst, burst);
        }
        windows.push_back({0, burst});
    }

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
