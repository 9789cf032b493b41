#pragma once

#include <chrono>
#include <cstdint>

namespace tarragontrail::routing {

/// Routing policies; each is implemented by the class NAME_policy.
enum class policy_kind
{
    random,
    least_loaded,
    rendezvous,
    bounded_rendezvous,
    least_cost,
};

/// Settings of the index of one engine's cached blocks.
struct cached_block_index_settings
{
    std::uint64_t m_expected_blocks = 92'000;  ///< Blocks that fit without reallocation.
    std::uint64_t m_max_bytes = 8'000'000;     ///< Memory limit of the blocks, in bytes.
    std::uint64_t m_max_buffered_events = 256; ///< Limit of batches buffered after a gap.
    /// Time for late batches to close a gap before a snapshot is requested.
    std::chrono::milliseconds m_gap_timeout{200};
    /// Delay before an unanswered request is repeated.
    std::chrono::milliseconds m_snapshot_retry_delay{1000};
    /// Minimum time from a snapshot to the next request.
    std::chrono::milliseconds m_snapshot_interval{5000};
    std::chrono::milliseconds m_lifetime_floor{1000}; ///< Minimum of the estimated block lifetime.
    /// Maximum of the estimated block lifetime.
    std::chrono::milliseconds m_lifetime_ceiling{60'000};
    double m_lifetime_gain = 0.05; ///< Weight of one eviction in the moving average, 0 to 1.
};

/// Settings of anchor_depth_learner.
struct anchor_settings
{
    std::uint64_t m_default_depth = 2;          ///< Depth, in pieces, before one is learned.
    std::uint64_t m_max_counted_groups = 256;   ///< Groups that are counted at the same time.
    std::uint64_t m_max_agreed_groups = 65'536; ///< Groups whose agreed depth is kept.
    std::uint64_t m_window_chains = 128;        ///< Chains of a group between two evaluations.
    /// Distinct prefixes that spread a group's load sufficiently.
    std::uint64_t m_min_branches = 8;
    /// Mean chains for each prefix from which prefixes count as shared.
    double m_min_chains_per_prefix = 2.0;
    /// Consecutive equal evaluations before the depth changes.
    std::uint64_t m_required_confirmations = 2;
    /// Minimum time between two changes of a group's depth.
    std::chrono::milliseconds m_min_interval{60'000};
    /// Time over which prefixes migrate to their new keys.
    std::chrono::milliseconds m_migration_time{60'000};
};

/// Settings of the transfer of cached blocks between engines; a link rate of zero disables it.
struct transfer_settings
{
    double m_bytes_per_piece = 134'217'728;     ///< Bytes of cached data for one piece.
    double m_link_bytes_per_second = 0;         ///< Rate between engines of one region.
    std::chrono::milliseconds m_setup_time{20}; ///< Fixed time of one transfer.
};

/// Settings of engine_load.
struct load_settings
{
    double m_prefill_tokens_per_second = 8000; ///< Prefill rate of an engine that reports none.
    /// Lower bound on reported rates, as a fraction of the rate above.
    double m_min_rate_fraction = 0.125;
    std::chrono::milliseconds m_running_delay{5}; ///< Delay added by each request being decoded.
};

struct routing_settings
{
    policy_kind m_policy = policy_kind::least_cost;
    std::uint64_t m_candidates_per_key = 3;         ///< Engines compared for one prefix; 1 to 16.
    std::chrono::milliseconds m_lookup_timeout{10}; ///< Time limit for all lookups of a request.
    /// Limit of lookups to one watcher for a request, at most 8; 0 disables lookups.
    std::uint64_t m_lookup_rounds = 2;
    /// Difference of the depth bounds from which another lookup refines them.
    std::uint64_t m_refine_pieces = 8;
    double m_recompute_weight = 1.0; ///< Weight of the prefill time relative to the queue time.
    /// Bound of bounded_rendezvous on the queue time, as a factor of the mean.
    double m_max_load_factor = 1.25;
    /// Costs within this margin of the lowest count as equal.
    std::chrono::milliseconds m_tie_margin{20};
    /// Queue time above which a candidate is overloaded.
    std::chrono::milliseconds m_overload_wait{2000};
    /// Queue time of all engines above which other regions may be used.
    std::chrono::milliseconds m_region_overload_wait{4000};
    /// Cost added to engines of other regions.
    std::chrono::milliseconds m_region_crossing_cost{500};
    std::uint64_t m_region_link_bytes_per_second = 100'000; ///< This instance's share of the link.
    std::uint64_t m_region_link_burst_bytes = 4'000'000; ///< Capacity of the link's token bucket.
    std::uint64_t m_output_bytes_per_token = 256;        ///< Streamed bytes of one output token.
    /// Each multiple of this rate adds m_candidates_per_key candidates; 0 disables it.
    double m_hot_requests_per_second = 2.0;
    /// Capacity for blocks predicted from dispatched requests.
    std::uint64_t m_predicted_blocks = 32'768;
    /// Lifetime of a prediction until the engine's block lifetime is learned.
    std::chrono::milliseconds m_predicted_lifetime{5000};
    std::chrono::milliseconds m_max_event_lag{2000}; ///< Predictions older than this are ignored if
                                                     ///< a complete index does not confirm them.
    load_settings m_load;
    anchor_settings m_anchor;
    transfer_settings m_transfer;
};

} // namespace tarragontrail::routing
