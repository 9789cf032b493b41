#pragma once

#include "tarragontrail/core/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace tarragontrail::load {

/// A caller's own account of its workspace's rate and burst.
class token_allowance
{
public:
    token_allowance(double rate_per_s, double burst, core::time_point now)
        : m_rate_per_s(rate_per_s), m_burst(burst), m_tokens(burst), m_at(now)
    {}

    /// Takes a request's charge; returns whether it lies within rate and burst.
    bool take(std::uint64_t charge, core::time_point now)
    {
        refill(now);
        const bool conforms = static_cast<double>(charge) <= m_tokens;
        m_tokens -= static_cast<double>(charge);
        return conforms;
    }

    /// Gives back what a refused or shorter request did not use.
    void refund(std::uint64_t tokens, core::time_point now)
    {
        refill(now);
        m_tokens = std::min(m_burst, m_tokens + static_cast<double>(tokens));
    }

    /// Tokens that the workspace may use within a length of time.
    double entitlement(core::duration length) const
    {
        return m_burst + m_rate_per_s * std::chrono::duration<double>(length).count();
    }

private:
    void refill(core::time_point now)
    {
        const double elapsed_s = std::chrono::duration<double>(now - m_at).count();
        m_tokens = std::min(m_burst, m_tokens + m_rate_per_s * elapsed_s);
        m_at = now;
    }

    double m_rate_per_s;   ///< Tokens gained per second.
    double m_burst;        ///< Most tokens.
    double m_tokens;       ///< Tokens now; below zero after excess.
    core::time_point m_at; ///< Time of the last refill.
};

} // namespace tarragontrail::load
