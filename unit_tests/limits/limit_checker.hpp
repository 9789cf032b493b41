#pragma once

#include "tarragontrail/limits/token_bucket.hpp"

#include <algorithm>
#include <vector>

namespace tarragontrail::limits {

/// Finds windows in which a workspace was admitted more than burst + rate * window.
class limit_checker
{
public:
    /// Records the maximum limit that any instance may apply from `now` on.
    void set_limit(const bucket_limit& limit, core::time_point now)
    {
        m_limits.push_back({now, limit});
    }

    /// Records an admission and returns its number.
    std::size_t on_admitted(std::uint64_t tokens, core::time_point now)
    {
        m_admissions.push_back({now, tokens});
        return m_admissions.size() - 1;
    }

    /// Records the tokens that an admitted request has used.
    void on_settled(std::size_t number, std::uint64_t used)
    {
        m_admissions[number].m_tokens = used;
    }

    /// Maximum excess over all windows so far, in tokens; zero if the limit was never exceeded.
    ///
    /// Each admission counts at its time: with its used tokens if settled, otherwise with its
    /// charge. A window is allowed the maximum burst that applied in it, plus the rate integrated
    /// over it.
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
    static constexpr double rounding_error_tokens = 1e-3; ///< Rounding error of the checker's sums.

    /// The fullest of the windows that started under one limit.
    struct window
    {
        double m_level = 0; ///< Maximum of admitted - rate * time over these windows.
        double m_burst = 0; ///< Maximum burst since they started.
    };

    /// Sets the burst of windows that start from now on; older windows keep a larger burst.
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
