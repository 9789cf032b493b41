#pragma once

#include <chrono>
#include <cstdint>

namespace tarragontrail::routing {

/// Ways to choose an engine.
enum class policy_kind
{
    random,
    least_loaded,
    rendezvous,
    bounded_rendezvous,
    least_cost,
};

/// Settings of one engine's block index at its watcher.
struct cached_block_index_settings
{
    std::uint64_t m_expected_blocks = 92'000;     ///< Blocks that fit without growth.
    std::uint64_t m_max_bytes = 8'000'000;        ///< Most memory for the blocks.
    std::uint64_t m_max_buffered_events = 256;    ///< Batches kept while a snapshot is awaited.
    std::chrono::milliseconds m_gap_timeout{200}; ///< Wait for late batches before a request.
    std::chrono::milliseconds m_snapshot_retry_delay{1000}; ///< Time until a repeated request.
    std::chrono::milliseconds m_snapshot_interval{5000};    ///< Shortest time after a snapshot.
    std::chrono::milliseconds m_lifetime_floor{1000};       ///< Shortest believed lifetime.
    std::chrono::milliseconds m_lifetime_ceiling{60'000};   ///< Longest believed lifetime.
    double m_lifetime_gain = 0.05;                          ///< Weight of one observed eviction.
};

/// Settings of the learner of hashing depths.
struct anchor_settings
{
    std::uint64_t m_default_depth = 2; ///< Pieces in the hashing key before anything is learned.
    std::uint64_t m_max_counted_groups = 256;   ///< Groups of chains counted at once.
    std::uint64_t m_max_agreed_groups = 65'536; ///< Groups whose agreed depth is kept.
    std::uint64_t m_window_chains = 128;        ///< Chains of a group between two evaluations.
    std::uint64_t m_min_branches = 8;     ///< Distinct prefixes that spread a group's load enough.
    double m_min_chains_per_prefix = 2.0; ///< Chains for each prefix that count as shared.
    std::uint64_t m_required_confirmations = 2; ///< Equal evaluations in a row before a change.
    std::chrono::milliseconds m_min_interval{60'000};   ///< Shortest time between changes.
    std::chrono::milliseconds m_migration_time{60'000}; ///< Time over which prefixes move.
};

/// Settings of the transfer of cached blocks between engines; off while the link rate is zero.
struct transfer_settings
{
    double m_bytes_per_piece = 134'217'728;     ///< Cached data of one piece.
    double m_link_bytes_per_second = 0;         ///< Rate between engines of one region.
    std::chrono::milliseconds m_setup_time{20}; ///< Fixed time of one transfer.
};

/// Settings of the load estimate.
struct load_settings
{
    double m_prefill_tokens_per_second = 8000;    ///< Rate of an engine without a report.
    double m_min_rate_fraction = 0.125;           ///< Least believed share of that rate.
    std::chrono::milliseconds m_running_delay{5}; ///< Delay for each request being decoded.
};

/// Settings of the router.
struct routing_settings
{
    policy_kind m_policy = policy_kind::least_cost; ///< Way to choose an engine.
    std::uint64_t m_candidates_per_key = 3;         ///< Engines weighed for one prefix; at most 16.
    std::chrono::milliseconds m_lookup_timeout{10}; ///< Longest wait for lookup replies.
    std::uint64_t m_lookup_rounds = 2;              ///< Questions to one watcher; 0 asks none.
    std::uint64_t m_refine_pieces = 8; ///< Width of a depth bracket that is worth another question.
    double m_recompute_weight = 1.0;   ///< Weight of recomputation against waiting.
    double m_max_load_factor = 1.25;   ///< Load over the mean at which bounded rendezvous moves on.
    std::chrono::milliseconds m_tie_margin{20};      ///< Costs this close count as equal.
    std::chrono::milliseconds m_overload_wait{2000}; ///< Wait at which the candidates spill over.
    std::chrono::milliseconds m_region_overload_wait{4000}; ///< Wait that opens other regions.
    std::chrono::milliseconds m_region_crossing_cost{500};  ///< Cost of another region.
    std::uint64_t m_region_link_bytes_per_second = 100'000; ///< Share of the link.
    std::uint64_t m_region_link_burst_bytes = 4'000'000;    ///< Most bytes saved up.
    std::uint64_t m_output_bytes_per_token = 256;           ///< Bytes of one streamed output token.
    double m_hot_requests_per_second = 2.0;    ///< Rate that adds m_candidates_per_key again.
    std::uint64_t m_predicted_blocks = 32'768; ///< Blocks predicted from own dispatches.
    std::chrono::milliseconds m_predicted_lifetime{5000}; ///< Lifetime until one is learned.
    std::chrono::milliseconds m_max_event_lag{2000};      ///< Age that a watcher overrides.
    load_settings m_load;                                 ///< Load estimate.
    anchor_settings m_anchor;                             ///< Hashing depths.
    transfer_settings m_transfer;                         ///< Transfer of cached blocks.
};

} // namespace tarragontrail::routing
