#include "tarragontrail/routing/anchor_depth_learner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace tarragontrail::routing {

namespace {

constexpr std::uint64_t shared_by_all = 2; ///< Fewest distinct prefixes that count as branching.

/// Total order of hints; the greatest is kept.
auto rank(const anchor_hint& hint) noexcept
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
      m_windows(std::max<std::size_t>(1, settings.m_max_windows))
{}

anchor_keys anchor_depth_learner::on_chain(std::uint64_t group, const prefix_chain& chain,
                                           std::uint64_t fallback_key, core::time_point now)
{
    anchor_keys keys;
    if (chain.size() == 0)
    {
        keys.m_key = fallback_key;
        return keys;
    }
    window& counts = window_of(group);
    if (counts.m_group == group)
    {
        count(counts, chain);
        finish_window(counts, now);
    }

    // Until a prefix has moved, the engines of its old key are weighed too.
    keys.m_depth = std::min<std::uint64_t>(depth(group), chain.size());
    keys.m_key = key_at(chain, keys.m_depth);
    const agreement* const agreed = find(group);
    if (agreed != nullptr && !moved(*agreed, keys.m_key, now))
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
    // Depths out of range can only come from a faulty peer.
    if (hint.m_depth == 0 || hint.m_depth > max_anchor_depth)
    {
        return false;
    }
    const agreement* const agreed = find(hint.m_group);
    if (agreed != nullptr && rank(hint) <= rank(agreed->m_hint))
    {
        return false;
    }
    adopt(hint, now);
    return true;
}

std::vector<anchor_hint> anchor_depth_learner::next_hints(std::size_t limit)
{
    std::vector<anchor_hint> hints;
    const std::size_t count = std::min(limit, m_agreements.size());
    hints.reserve(count);
    for (std::size_t taken = 0; taken < count; ++taken)
    {
        m_next_hint = m_next_hint < m_agreements.size() ? m_next_hint : 0;
        hints.push_back(m_agreements[m_next_hint].m_hint);
        ++m_next_hint;
    }
    return hints;
}

std::uint64_t anchor_depth_learner::depth(std::uint64_t group) const noexcept
{
    const agreement* const agreed = find(group);
    return agreed == nullptr ? m_settings.m_default_depth : agreed->m_hint.m_depth;
}

std::size_t anchor_depth_learner::bytes() const noexcept
{
    return m_windows.capacity() * sizeof(window) + m_agreements.capacity() * sizeof(agreement) +
           m_agreed_by_group.bytes();
}

anchor_depth_learner::window& anchor_depth_learner::window_of(std::uint64_t group)
{
    // Of two groups in one place the busier stays: each chain of the other takes one count away.
    window& place = m_windows[group % m_windows.size()];
    if (place.m_group == group || place.m_group == 0)
    {
        place.m_group = group;
        return place;
    }
    if (place.m_chains > 0)
    {
        --place.m_chains;
        return place;
    }
    place = window{};
    place.m_group = group;
    return place;
}

void anchor_depth_learner::count(window& counts, const prefix_chain& chain) const
{
    ++counts.m_chains;
    const std::size_t pieces = std::min(chain.size(), max_anchor_depth);
    for (std::size_t depth = 0; depth < pieces; ++depth)
    {
        ++counts.m_counts[depth];
        counts.m_seen[depth].set(chain.hashes()[depth] % bitmap_bits);
    }
}

std::uint64_t anchor_depth_learner::evaluate(const window& counts) const
{
    // The deepest shared depth up to the first that branches enough.
    std::uint64_t best = 0;
    std::uint64_t best_branches = shared_by_all - 1;
    for (std::size_t depth = 0; depth < max_anchor_depth; ++depth)
    {
        // Linear counting corrects for prefixes that fall on one bit.
        const auto free_bits = static_cast<double>(bitmap_bits - counts.m_seen[depth].count());
        const double distinct =
            -std::log(std::max(free_bits, 0.5) / bitmap_bits) * static_cast<double>(bitmap_bits);
        const auto branches = static_cast<std::uint64_t>(std::lround(distinct));
        const bool shared = branches > 0 && static_cast<double>(counts.m_counts[depth]) >=
                                                m_settings.m_min_reuse * distinct;
        if (!shared)
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

void anchor_depth_learner::finish_window(window& counts, core::time_point now)
{
    if (counts.m_chains < m_settings.m_window_chains)
    {
        return;
    }
    const std::uint64_t depth = evaluate(counts);
    const bool equal = depth == counts.m_last_depth;
    counts.m_equal_evaluations = equal ? counts.m_equal_evaluations + 1 : 1;
    counts.m_last_depth = depth;
    propose(counts, now);
    counts.m_chains = 0;
    counts.m_counts.fill(0);
    counts.m_seen.fill({});
}

void anchor_depth_learner::propose(const window& counts, core::time_point now)
{
    // A group that does not branch has no depth to propose.
    const std::uint64_t proposed = counts.m_last_depth;
    const bool confirmed = counts.m_equal_evaluations >= m_settings.m_confirmations;
    if (proposed == 0 || !confirmed || proposed == depth(counts.m_group))
    {
        return;
    }
    const agreement* const agreed = find(counts.m_group);
    if (agreed != nullptr && now - agreed->m_changed_at < m_settings.m_min_interval)
    {
        return;
    }
    const std::uint64_t epoch = agreed == nullptr ? 1 : agreed->m_hint.m_epoch + 1;
    adopt({counts.m_group, epoch, counts.m_chains, proposed, m_self}, now);
}

void anchor_depth_learner::adopt(const anchor_hint& hint, core::time_point now)
{
    std::uint32_t* const position = m_agreed_by_group.find(hint.m_group);
    if (position != nullptr)
    {
        agreement& agreed = m_agreements[*position];
        if (agreed.m_hint.m_depth != hint.m_depth)
        {
            agreed.m_previous_depth = agreed.m_hint.m_depth;
            agreed.m_changed_at = now;
        }
        agreed.m_hint = hint;
        return;
    }
    const agreement agreed{hint, m_settings.m_default_depth, now};
    if (m_agreements.size() < m_settings.m_max_agreed)
    {
        m_agreed_by_group.insert(hint.m_group, static_cast<std::uint32_t>(m_agreements.size()));
        m_agreements.push_back(agreed);
        return;
    }

    // The group agreed on longest ago makes room.
    m_next_replaced = m_next_replaced < m_agreements.size() ? m_next_replaced : 0;
    agreement& replaced = m_agreements[m_next_replaced];
    m_agreed_by_group.erase(replaced.m_hint.m_group);
    m_agreed_by_group.insert(hint.m_group, static_cast<std::uint32_t>(m_next_replaced));
    replaced = agreed;
    ++m_next_replaced;
}

bool anchor_depth_learner::moved(const agreement& agreed, std::uint64_t key,
                                 core::time_point now) const noexcept
{
    // Each key has its own moment within the overlap, so that prefixes move one after another.
    const std::chrono::duration<double> elapsed = now - agreed.m_changed_at;
    const std::chrono::duration<double> overlap = m_settings.m_overlap;
    const double share = static_cast<double>(key >> 11) * 0x1.0p-53;
    return elapsed >= overlap * share;
}

const anchor_depth_learner::agreement*
anchor_depth_learner::find(std::uint64_t group) const noexcept
{
    const std::uint32_t* const position = m_agreed_by_group.find(group);
    return position == nullptr ? nullptr : &m_agreements[*position];
}

} // namespace tarragontrail::routing
