#include "tarragontrail/routing/anchor_depth_learner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace tarragontrail::routing {

namespace {

/// Minimum of distinct prefixes at a depth that count as branching.
constexpr std::uint64_t min_branching_prefixes = 2;

/// Total order of hints; the hint of the highest precedence wins.
auto precedence_of(const anchor_hint& hint) noexcept
{
    return std::tuple(hint.m_epoch, hint.m_samples, hint.m_depth, core::value_of(hint.m_proposer));
}

/// Key of a chain at a depth; a shorter chain uses its last hash.
std::uint64_t key_at(const prefix_chain& chain, std::uint64_t depth) noexcept
{
    const auto pieces = std::clamp<std::uint64_t>(depth, 1, chain.size());
    return chain.hashes()[pieces - 1];
}

} // namespace

std::uint64_t anchor_group_of(const prefix_identity& identity) noexcept
{
    prefix_identity group = identity;
    group.m_weights_version = 0;
    return root_of(group);
}

anchor_depth_learner::anchor_depth_learner(core::instance_id self, const anchor_settings& settings)
    : m_self(self), m_settings(settings),
      m_statistics(std::max<std::size_t>(1, settings.m_max_counted_groups))
{}

rendezvous_keys anchor_depth_learner::observe_chain(std::uint64_t group, const prefix_chain& chain,
                                                    std::uint64_t fallback_key,
                                                    core::time_point now)
{
    rendezvous_keys keys;
    if (chain.size() == 0)
    {
        keys.m_key = fallback_key;
        return keys;
    }
    group_statistics& statistics = statistics_of(group);
    if (statistics.m_group == group)
    {
        add_chain(statistics, chain);
        finish_window(statistics, now);
    }

    // Until a prefix has migrated, the engines of its old key are candidates too, since they still
    // cache it.
    keys.m_depth = std::min<std::uint64_t>(depth(group), chain.size());
    keys.m_key = key_at(chain, keys.m_depth);
    const agreed_depth* const agreed = find(group);
    if (agreed != nullptr && !has_migrated(*agreed, keys.m_key, now))
    {
        keys.m_previous_key = key_at(chain, agreed->m_previous_depth);
    }
    if (keys.m_previous_key == keys.m_key)
    {
        keys.m_previous_key.reset();
    }
    return keys;
}

bool anchor_depth_learner::on_hint(const anchor_hint& hint, core::time_point now)
{
    // A depth out of range can only come from a faulty peer.
    if (hint.m_depth == 0 || hint.m_depth > max_anchor_depth)
    {
        return false;
    }
    const agreed_depth* const agreed = find(hint.m_group);
    if (agreed != nullptr && precedence_of(hint) <= precedence_of(agreed->m_hint))
    {
        return false;
    }
    apply_hint(hint, now);
    return true;
}

std::vector<anchor_hint> anchor_depth_learner::next_hints(std::size_t limit)
{
    std::vector<anchor_hint> hints;
    const std::size_t count = std::min(limit, m_agreed_depths.size());
    hints.reserve(count);
    for (std::size_t taken = 0; taken < count; ++taken)
    {
        m_next_hint = m_next_hint < m_agreed_depths.size() ? m_next_hint : 0;
        hints.push_back(m_agreed_depths[m_next_hint].m_hint);
        ++m_next_hint;
    }
    return hints;
}

std::uint64_t anchor_depth_learner::depth(std::uint64_t group) const noexcept
{
    const agreed_depth* const agreed = find(group);
    return agreed == nullptr ? m_settings.m_default_depth : agreed->m_hint.m_depth;
}

std::size_t anchor_depth_learner::bytes() const noexcept
{
    return m_statistics.capacity() * sizeof(group_statistics) +
           m_agreed_depths.capacity() * sizeof(agreed_depth) + m_position_by_group.bytes();
}

anchor_depth_learner::group_statistics& anchor_depth_learner::statistics_of(std::uint64_t group)
{
    // If two groups share a slot, the busier one keeps it: each chain of the other group decrements
    // the count, and the slot is free for that group once the count is zero.
    group_statistics& slot = m_statistics[group % m_statistics.size()];
    if (slot.m_group == group || slot.m_group == 0)
    {
        slot.m_group = group;
        return slot;
    }
    if (slot.m_chains > 0)
    {
        --slot.m_chains;
        return slot;
    }
    slot = group_statistics{};
    slot.m_group = group;
    return slot;
}

void anchor_depth_learner::add_chain(group_statistics& statistics, const prefix_chain& chain) const
{
    ++statistics.m_chains;
    const std::size_t pieces = std::min(chain.size(), max_anchor_depth);
    for (std::size_t depth = 0; depth < pieces; ++depth)
    {
        ++statistics.m_counts[depth];
        statistics.m_seen[depth].set(chain.hashes()[depth] % bitmap_bits);
    }
}

std::uint64_t anchor_depth_learner::branching_depth(const group_statistics& statistics) const
{
    // Selects the shared depth with the most branches, up to the first that has enough of them.
    std::uint64_t best = 0;
    std::uint64_t best_branches = min_branching_prefixes - 1;
    for (std::size_t depth = 0; depth < max_anchor_depth; ++depth)
    {
        // Linear counting corrects for prefixes that set the same bit.
        const auto free_bits = static_cast<double>(bitmap_bits - statistics.m_seen[depth].count());
        const double distinct =
            -std::log(std::max(free_bits, 0.5) / bitmap_bits) * static_cast<double>(bitmap_bits);
        const auto branches = static_cast<std::uint64_t>(std::lround(distinct));
        const bool is_shared = branches > 0 && static_cast<double>(statistics.m_counts[depth]) >=
                                                   m_settings.m_min_chains_per_prefix * distinct;
        if (!is_shared)
        {
            break;
        }
        if (branches <= best_branches)
        {
            continue;
        }
        best = depth + 1;
        best_branches = branches;
        if (branches >= m_settings.m_min_branches)
        {
            break;
        }
    }
    return best;
}

void anchor_depth_learner::finish_window(group_statistics& statistics, core::time_point now)
{
    if (statistics.m_chains < m_settings.m_window_chains)
    {
        return;
    }
    const std::uint64_t depth = branching_depth(statistics);
    const bool equal = depth == statistics.m_last_depth;
    statistics.m_equal_evaluations = equal ? statistics.m_equal_evaluations + 1 : 1;
    statistics.m_last_depth = depth;
    propose_depth(statistics, now);
    statistics.m_chains = 0;
    statistics.m_counts.fill(0);
    statistics.m_seen.fill({});
}

void anchor_depth_learner::propose_depth(const group_statistics& statistics, core::time_point now)
{
    // A result of zero means that the group does not branch.
    const std::uint64_t proposed = statistics.m_last_depth;
    const bool confirmed = statistics.m_equal_evaluations >= m_settings.m_required_confirmations;
    if (proposed == 0 || !confirmed || proposed == depth(statistics.m_group))
    {
        return;
    }
    const agreed_depth* const agreed = find(statistics.m_group);
    if (agreed != nullptr && now - agreed->m_changed_at < m_settings.m_min_interval)
    {
        return;
    }
    const std::uint64_t epoch = agreed == nullptr ? 1 : agreed->m_hint.m_epoch + 1;
    apply_hint({statistics.m_group, epoch, statistics.m_chains, proposed, m_self}, now);
}

void anchor_depth_learner::apply_hint(const anchor_hint& hint, core::time_point now)
{
    std::uint32_t* const position = m_position_by_group.find(hint.m_group);
    if (position != nullptr)
    {
        agreed_depth& agreed = m_agreed_depths[*position];
        if (agreed.m_hint.m_depth != hint.m_depth)
        {
            agreed.m_previous_depth = agreed.m_hint.m_depth;
            agreed.m_changed_at = now;
        }
        agreed.m_hint = hint;
        return;
    }
    const agreed_depth agreed{hint, m_settings.m_default_depth, now};
    if (m_agreed_depths.size() < m_settings.m_max_agreed_groups)
    {
        m_position_by_group.insert(hint.m_group,
                                   static_cast<std::uint32_t>(m_agreed_depths.size()));
        m_agreed_depths.push_back(agreed);
        return;
    }

    // The table is full: replaces the group that was added first.
    m_next_replaced = m_next_replaced < m_agreed_depths.size() ? m_next_replaced : 0;
    agreed_depth& replaced = m_agreed_depths[m_next_replaced];
    m_position_by_group.erase(replaced.m_hint.m_group);
    m_position_by_group.insert(hint.m_group, static_cast<std::uint32_t>(m_next_replaced));
    replaced = agreed;
    ++m_next_replaced;
}

bool anchor_depth_learner::has_migrated(const agreed_depth& agreed, std::uint64_t key,
                                        core::time_point now) const noexcept
{
    // Each key migrates at its own time within the migration time, so that the cache misses after a
    // change are spread over it.
    const std::chrono::duration<double> elapsed = now - agreed.m_changed_at;
    const std::chrono::duration<double> migration_time = m_settings.m_migration_time;
    const double share = static_cast<double>(key >> 11) * 0x1.0p-53;
    return elapsed >= migration_time * share;
}

const anchor_depth_learner::agreed_depth*
anchor_depth_learner::find(std::uint64_t group) const noexcept
{
    const std::uint32_t* const position = m_position_by_group.find(group);
    return position == nullptr ? nullptr : &m_agreed_depths[*position];
}

} // namespace tarragontrail::routing
