#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/relay/cached_part_index.hpp"
#include "tarragontrail/relay/relay_config.hpp"
#include "tarragontrail/relay/target_weights_history.hpp"
#include "tarragontrail/relay/upstream_table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Settings of upstream_selector; costs are compared as durations.
struct upstream_selector_settings
{
    /// Prefill rate of an idle engine.
    double m_prefill_tokens_per_ms = 60.0;
    /// Time to first event beyond queueing and prefill.
    std::chrono::milliseconds m_first_event_overhead{82};
    /// Cost per token of recomputing a part that another engine or the cache store holds.
    double m_recompute_ms_per_token = 0.05;
    /// Cost per queue time: prefill of further prompts delays an engine's running streams.
    double m_prefill_interference_factor = 0.6;
    /// Cost of a second copy of a part, which evicts other parts.
    std::chrono::milliseconds m_duplicate_copy_cost{120};
    /// Cost of adding a part to a full cache, which evicts others; scaled by fill level.
    std::chrono::milliseconds m_eviction_cost{60};
    /// Discount for computing a new part in the cache store's region, where it is saved to the
    /// store.
    std::chrono::milliseconds m_near_store_bonus{120};
    /// Cost of a short prompt in the cache store's region, where it would evict long parts from the
    /// engines.
    std::chrono::milliseconds m_short_prompt_near_store_cost{30};
    /// Shorter shared parts do not affect routing.
    std::uint64_t m_min_shared_tokens = 512;
    /// Fraction of an engine's memory that is assumed to hold cached parts.
    double m_cache_fraction = 0.75;
    /// Fixed time of a transfer of cached parts.
    std::chrono::milliseconds m_fetch_overhead{4};
    /// Latency and cost of another failure domain in the region.
    std::chrono::microseconds m_cross_domain_cost{3'000};
    /// Latency and cost of another region.
    std::chrono::milliseconds m_cross_region_cost{25};
    /// Cost per KiB of request body sent to another region.
    double m_cross_region_ms_per_kb = 1.0;
    /// Discount at the owner of a part that no engine of the region holds.
    std::chrono::milliseconds m_new_part_owner_bonus{25};
    /// Cost of a failed request.
    std::chrono::milliseconds m_failure_cost{400};
    /// Cost of a response from stale weights.
    std::chrono::milliseconds m_stale_weights_cost{120};
    /// Stale weights cost nothing for this long after a newer version was requested.
    std::chrono::milliseconds m_stale_weights_grace{1'000};
    /// Engines with stale weights get no requests after this time.
    std::chrono::milliseconds m_stale_weights_limit{7'000};
    /// A leaving upstream gets no requests after this time.
    std::chrono::milliseconds m_leaving_limit{1'500};
};

/// Failure domain and region of this instance.
struct locality
{
    std::string m_failure_domain;
    std::string m_region;
};

/// Properties of a prompt that affect the selection.
struct prompt_profile
{
    std::string m_model;
    /// Keys of the shared parts in order; an isolated workspace has its own.
    std::vector<std::uint64_t> m_shared;
    /// Lengths of the shared parts.
    std::vector<std::uint64_t> m_shared_tokens;
    /// Prompt tokens after the shared parts.
    std::uint64_t m_unshared_tokens = 0;
    /// Upper bound of generated tokens.
    std::uint64_t m_output_tokens = 0;
};

/// Cache store and the speed of transfers from it.
struct cache_store_view
{
    const cache_store* m_store = nullptr; ///< Null when there is none or it does not respond.
    double m_token_transfer_us = 0; ///< Transfer time of one token's cache within a failure domain.
};

/// Input of one selection.
struct selection_request
{
    const std::string* m_service = nullptr;
    /// Null for a plain service.
    const prompt_profile* m_prompt = nullptr;
    /// Size of the request body.
    std::uint64_t m_body_bytes = 0;
    /// Upstreams of earlier attempts; they are not selected again.
    const std::vector<core::upstream_id>* m_tried = nullptr;
    /// Software that the upstream must run; null when any will do.
    const software_version* m_software = nullptr;
    /// Target versions of the model's weights; null when operators set none.
    const target_weights_history* m_target_weights = nullptr;
    /// Tokens that fit into an engine's memory; zero when unknown.
    std::uint64_t m_engine_capacity = 0;
    /// Transfer time of one token's cache between engines of a failure domain.
    double m_token_transfer_us = 0;
    cache_store_view m_cache_store;
};

/// Upstream selected for a request.
struct selection
{
    std::shared_ptr<upstream> m_upstream;
    core::duration m_predicted_first_byte{}; ///< Predicted time to first byte, queueing included.
    core::duration m_predicted_queue_time{}; ///< Part of it spent waiting for earlier work.
    request_work m_work;                     ///< Load that the request puts on the upstream.
    std::uint64_t m_cached_tokens = 0; ///< Prompt tokens that are predicted to be cached there.
    std::shared_ptr<upstream> m_fetch_from; ///< Engine to fetch cached parts from; null for none.
    bool m_fetch_from_store = false;        ///< Cached parts are fetched from the cache store.
    bool m_save_to_store = false; ///< The prompt's parts are to be saved to the cache store.
    /// Weights that the request will run on; empty for a plain service.
    std::optional<placement::weights_version> m_version;
    std::size_t m_candidates = 0; ///< Number of upstreams evaluated.
};

/// Selects the upstream with the lowest predicted time to first byte plus cost.
///
/// Covers long prompts that share parts (sent to an engine that holds them, or fetched from there
/// while that engine is busy), parts with a large share of the traffic (spread once queueing costs
/// more than a transfer), upstreams that fail partially, are slow or have just recovered (costed by
/// their health), rolling weights updates (updated engines first), and leaving upstreams.
class upstream_selector
{
public:
    upstream_selector(upstream_selector_settings settings, locality own_locality,
                      std::uint64_t seed);

    /// Selects an upstream for a request; nothing when no upstream may take it.
    std::optional<selection> choose(const upstream_table& table, const cached_part_index& parts,
                                    const selection_request& request, core::time_point now);

    /// Key of a shared part under a version of the weights.
    static part_key versioned_part_key(std::uint64_t part,
                                       placement::weights_version version) noexcept;

    /// Tokens of shared parts that an engine is assumed to cache.
    std::uint64_t cache_capacity_tokens(const engine_traits& engine) const
    {
        return static_cast<std::uint64_t>(static_cast<double>(engine.m_capacity_tokens) *
                                          m_settings.m_cache_fraction);
    }

    const upstream_selector_settings& settings() const noexcept { return m_settings; }

private:
    /// Order in which upstreams are considered; a lower value always wins over a higher one.
    enum class eligibility
    {
        preferred, ///< Accepts requests.
        fallback,  ///< Leaving or ejected; used only when no other is available.
        excluded,  ///< Must not be used.
    };

    /// Shared parts that an upstream does not hold.
    struct missing_prefix
    {
        part_key m_last_part = 0;   ///< Last missing part.
        std::uint64_t m_tokens = 0; ///< Sum of their lengths.
    };

    /// One upstream with its cost.
    struct evaluated_upstream
    {
        selection m_selection;   ///< Returned when this upstream is selected.
        core::duration m_cost{}; ///< Predicted time to first byte plus costs.
        eligibility m_eligibility = eligibility::excluded; ///< Compared before the cost.
    };

    static std::optional<core::time_point>
    stale_since(const selection_request& request,
                std::optional<placement::weights_version> version);
    eligibility eligibility_of(const upstream& candidate, const selection_request& request,
                               core::time_point now) const;
    evaluated_upstream evaluate(const upstream_table& table, const cached_part_index& parts,
                                const std::shared_ptr<upstream>& candidate,
                                const selection_request& request, core::time_point now);
    void evaluate_engine(evaluated_upstream& evaluated, const upstream_table& table,
                         const cached_part_index& parts, const selection_request& request,
                         core::time_point now) const;
    void evaluate_plain(evaluated_upstream& evaluated, core::time_point now) const;
    core::duration missing_parts_time(evaluated_upstream& evaluated, const upstream_table& table,
                                      const cached_part_index& parts,
                                      const selection_request& request, core::time_point now) const;
    core::duration fastest_part_source(evaluated_upstream& evaluated, const upstream_table& table,
                                       const cached_part_index& parts,
                                       const selection_request& request,
                                       const missing_prefix& missing, core::time_point now) const;
    core::duration network_cost(const upstream& candidate, std::uint64_t body_bytes) const;
    core::duration prefill_time(std::uint64_t tokens) const;
    bool is_short_prompt(const prompt_profile& prompt) const;
    bool is_new_part_owner(const upstream_table& table, const cached_part_index& parts,
                           const upstream& candidate, const selection_request& request,
                           part_key part) const;

    upstream_selector_settings m_settings;
    locality m_own_locality;
    core::seeded_random m_random; ///< Breaks ties.
};

} // namespace tarragontrail::relay
