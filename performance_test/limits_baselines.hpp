#pragma once

#include "tarragontrail/limits/home_assignment.hpp"
#include "tarragontrail/limits/token_bucket.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace tarragontrail::limits {

/// Times in which something is lost, from the start of a run.
struct outage
{
    core::duration m_from{};
    core::duration m_until{};

    bool covers(core::duration when) const { return m_from <= when && when < m_until; }
};

/// Faults of one run, the same for every way of admission that is compared.
struct fault_plan
{
    outage m_table; ///< The table service is down.
    outage m_cut;   ///< The regions are cut off from each other; the table is in region 0.
    outage m_down;  ///< One instance is down.
    std::size_t m_victim = 0; ///< That instance.
};

/// Request of the comparison's load.
struct scripted_request
{
    core::duration m_at{};       ///< Arrival, from the start of the run.
    std::size_t m_workspace = 0; ///< Index of its workspace.
    std::size_t m_entry = 0;     ///< Instance where it lands.
    std::uint64_t m_charge = 0;  ///< Tokens charged.
    std::uint64_t m_used = 0;    ///< Tokens used in the end.
    core::duration m_run_time{}; ///< Time from admission to its end.
};

/// One bucket that all requests of a workspace pass without delay: what a perfect limit would
/// admit.
class central_bucket
{
public:
    central_bucket(const bucket_limit& limit, core::time_point now) : m_bucket(limit, now) {}

    bool admit(const scripted_request& request, core::time_point now)
    {
        refund_until(now);
        m_bucket.refill(now);
        const std::uint64_t charge = request.m_charge * micro_tokens_per_token;
        if (m_bucket.balance() < charge)
        {
            return false;
        }
        m_bucket.consume_up_to(charge);
        m_refunds.emplace(
            now + request.m_run_time,
            refund{(request.m_charge - request.m_used) * micro_tokens_per_token, m_bucket.mark()});
        return true;
    }

    /// Starts empty, as a new holder does.
    void restart(core::time_point now)
    {
        m_bucket = token_bucket(m_bucket.limit(), now);
        m_refunds.clear();
    }

private:
    struct refund
    {
        std::uint64_t m_amount = 0;
        std::uint64_t m_mark = 0;
    };

    void refund_until(core::time_point now)
    {
        while (!m_refunds.empty() && m_refunds.begin()->first <= now)
        {
            m_bucket.refill(m_refunds.begin()->first);
            m_bucket.refund(m_refunds.begin()->second.m_amount, m_refunds.begin()->second.m_mark);
            m_refunds.erase(m_refunds.begin());
        }
    }

    token_bucket m_bucket;
    std::multimap<core::time_point, refund> m_refunds;
};

/// Every instance has a fixed part of rate and burst.
class static_split
{
public:
    static_split(const bucket_limit& limit, std::size_t instances, core::time_point now)
    {
        for (std::size_t index = 0; index < instances; ++index)
        {
            m_parts.emplace_back(limit_of_share(limit, index, instances), now);
        }
    }

    bool admit(const scripted_request& request, core::time_point now)
    {
        return m_parts[request.m_entry].admit(request, now);
    }

    void restart(core::time_point now)
    {
        for (central_bucket& part : m_parts)
        {
            part.restart(now);
        }
    }

private:
    std::vector<central_bucket> m_parts;
};

/// One owner with a lease in the table admits all; without a lease every instance has a fixed part.
///
/// Favourable to this way: messages take no time and none is lost.
class leased_owner
{
public:
    leased_owner(const bucket_limit& limit, std::size_t instances, std::size_t owner,
                 const fault_plan& faults, core::time_point now)
        : m_faults(faults), m_owner(owner), m_bucket(limit, now), m_split(limit, instances, now)
    {}

    bool admit(const scripted_request& request, core::time_point now)
    {
        follow_lease(request.m_at, now);
        const bool is_cut_off =
            m_faults.m_cut.covers(request.m_at) && request.m_entry % 2 != m_owner % 2;
        switch (m_state)
        {
        case state::owned:
            return !is_cut_off && m_bucket.admit(request, now);
        case state::split:
            return m_split.admit(request, now);
        case state::lapsing:
            return false;
        }
        return false;
    }

private:
    enum class state
    {
        owned,   ///< The owner has its lease.
        lapsing, ///< The owner is gone; its lease has not lapsed yet.
        split,   ///< The lease has lapsed; fixed parts.
    };

    /// Lease lifetime; a lost holder's lease lapses that long after the loss.
    static constexpr std::chrono::seconds lease_lifetime{10};

    void follow_lease(core::duration elapsed, core::time_point now)
    {
        const state next = state_at(elapsed);
        if (next == m_state)
        {
            return;
        }
        m_state = next;
        m_bucket.restart(now);
        m_split.restart(now);
    }

    state state_at(core::duration elapsed) const
    {
        const auto renewal_fails = [&](core::duration when) {
            return m_faults.m_table.covers(when) ||
                   (m_faults.m_cut.covers(when) && m_owner % 2 == 1);
        };
        if (m_owner == m_faults.m_victim && m_faults.m_down.covers(elapsed))
        {
            return elapsed < m_faults.m_down.m_from + lease_lifetime ? state::lapsing
                                                                     : state::owned;
        }
        return renewal_fails(elapsed) && renewal_fails(elapsed - lease_lifetime) ? state::split
                                                                                 : state::owned;
    }

    fault_plan m_faults;
    std::size_t m_owner;
    central_bucket m_bucket;
    static_split m_split;
    state m_state = state::owned;
};

} // namespace tarragontrail::limits
