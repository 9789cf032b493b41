#include "tarragontrail/routing/prefix_probe.hpp"

#include <algorithm>

namespace tarragontrail::routing {

namespace {

constexpr std::uint64_t sparse_factor = 4; ///< Ratio between consecutive sparse depths.
/// Distance of the dense depths from the end, in pieces.
constexpr std::uint64_t dense_distance = 8;

void add_depth(std::span<const std::uint64_t> hashes, std::uint64_t depth, lookup_request& request)
{
    request.m_depths.push_back(depth);
    request.m_hashes.push_back(hashes[depth - 1]);
}

/// Whether the depths ascend from above m_depth_lower and each has a hash.
bool well_formed(const lookup_request& request) noexcept
{
    if (request.m_depths.empty() || request.m_depths.size() != request.m_hashes.size())
    {
        return false;
    }
    std::uint64_t last = request.m_depth_lower;
    for (const std::uint64_t depth : request.m_depths)
    {
        if (depth <= last)
        {
            return false;
        }
        last = depth;
    }
    return true;
}

} // namespace

void fill_initial_probe(std::span<const std::uint64_t> hashes, lookup_request& request)
{
    request.m_depth_lower = 0;
    request.m_depths.reserve(max_initial_hashes);
    request.m_hashes.reserve(max_initial_hashes);
    if (hashes.empty())
    {
        return;
    }

    // Sparse depths from the start, then dense depths near the end.
    const std::uint64_t last = hashes.size();
    const std::uint64_t dense = last > dense_distance ? last - dense_distance : 1;
    for (std::uint64_t depth = 1; depth < dense; depth *= sparse_factor)
    {
        add_depth(hashes, depth, request);
    }
    for (std::uint64_t distance = dense_distance; distance > 0; distance /= 2)
    {
        if (distance < last)
        {
            add_depth(hashes, last - distance, request);
        }
    }
    add_depth(hashes, last, request);
}

void fill_refining_probe(std::span<const std::uint64_t> hashes, const depth_bounds& bounds,
                         lookup_request& request)
{
    const std::uint64_t upper = std::min<std::uint64_t>(bounds.m_upper, hashes.size());
    request.m_depth_lower = bounds.m_lower;
    if (bounds.m_lower >= upper)
    {
        return;
    }
    const std::uint64_t width = upper - bounds.m_lower;
    const std::uint64_t count = std::min<std::uint64_t>(width, max_refining_hashes);
    for (std::uint64_t step = 1; step <= count; ++step)
    {
        add_depth(hashes, bounds.m_lower + width * step / count, request);
    }
}

lookup_reply answer_lookup(const lookup_request& request, const cached_block_index& index)
{
    lookup_reply reply;
    reply.m_lookup_id = request.m_lookup_id;
    reply.m_engine = request.m_engine;
    reply.m_incarnation = index.incarnation();
    reply.m_block_lifetime = index.block_lifetime();
    reply.m_known =
        index.is_complete() && index.engine() == request.m_engine && well_formed(request);
    if (!reply.m_known)
    {
        return reply;
    }

    // A depth known for another incarnation does not hold for this one.
    reply.m_depth_lower = request.m_incarnation == index.incarnation() ? request.m_depth_lower : 0;
    reply.m_depth_upper = request.m_depths.back();
    for (std::size_t position = 0; position < request.m_depths.size(); ++position)
    {
        if (!index.contains(request.m_hashes[position]))
        {
            reply.m_depth_upper = request.m_depths[position] - 1;
            break;
        }
        reply.m_depth_lower = request.m_depths[position];
    }
    return reply;
}

} // namespace tarragontrail::routing
