#include "tarragontrail/net/memory_account.hpp"

#include <algorithm>
#include <vector>

namespace tarragontrail::net {
namespace {

/// Order in which claims yield: memory times the time for which it is held.
double yield_rank(std::size_t bytes, core::time_point start, core::time_point now)
{
    const std::chrono::duration<double> age = now - start;
    return static_cast<double>(bytes) * age.count();
}

} // namespace

std::size_t memory_account::limit_of(std::size_t bytes) const noexcept
{
    return bytes > small_claim_bytes ? m_limit_bytes / 4 * 3 : m_limit_bytes;
}

bool memory_account::resize(memory_claim& claim, std::size_t bytes)
{
    // A holder that yields may need a little for the words of its refusal.
    if (bytes > claim.m_bytes && !m_is_making_room && !make_room(claim, bytes))
    {
        ++m_refused;
        return false;
    }
    if (claim.m_bytes == 0 && bytes > 0)
    {
        m_claims.insert(&claim);
    }
    if (claim.m_bytes > 0 && bytes == 0)
    {
        m_claims.erase(&claim);
    }
    m_held_bytes = m_held_bytes - claim.m_bytes + bytes;
    claim.m_bytes = bytes;
    return true;
}

bool memory_account::make_room(const memory_claim& claim, std::size_t bytes)
{
    const std::size_t limit = limit_of(bytes);
    const core::time_point now = core::runtime_clock::now();
    const auto missing = [&] {
        const std::size_t sum = m_held_bytes - claim.m_bytes + bytes;
        return sum > limit ? sum - limit : 0;
    };
    if (missing() == 0)
    {
        return true;
    }
    const double own_rank = yield_rank(bytes, claim.m_start, now);
    std::vector<std::pair<double, memory_claim*>> yielding;
    std::size_t releasable = 0;
    for (memory_claim* each : m_claims)
    {
        const double rank = yield_rank(each->m_bytes, each->m_start, now);
        if (each == &claim || each->m_holder == nullptr || rank <= own_rank ||
            !each->m_holder->may_release_memory())
        {
            continue;
        }
        yielding.emplace_back(rank, each);
        releasable += each->m_bytes;
    }
    if (releasable < missing())
    {
        return false;
    }
    std::sort(yielding.rbegin(), yielding.rend());
    m_is_making_room = true;
    for (const auto& [rank, each] : yielding)
    {
        if (missing() == 0)
        {
            break;
        }
        ++m_yielded;
        each->m_holder->release_memory();
    }
    m_is_making_room = false;
    return missing() == 0;
}

} // namespace tarragontrail::net
