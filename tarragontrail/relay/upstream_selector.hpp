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

/// Settings of upstream_selector.
struct upstream_selector_settings
{
    double m_prefill_tokens_per_ms = 60.0; ///< Prompt tokens that an idle engine reads.
    std::chrono::milliseconds m_first_event_overhead{
        82};                                ///< First event of a prompt without tokens to read.
    double m_recompute_ms_per_token = 0.05; ///< Price of reading a part that some engine holds.
    double m_prefill_interference_factor =
        0.6; ///< Streams that run at an engine suffer by its reading.
    std::chrono::milliseconds m_duplicate_copy_cost{
        120};                                      ///< A second copy of a part evicts other parts.
    std::chrono::milliseconds m_eviction_cost{60}; ///< A part read into a full cache evicts others.
    std::chrono::milliseconds m_near_store_bonus{
        120}; ///< Parts read near the store can be kept there.
    std::chrono::milliseconds m_short_prompt_near_store_cost{
        30}; ///< Short prompts would evict long parts from the engines near the store.
    std::uint64_t m_min_shared_tokens = 512; ///< Shorter shared parts do not steer a request.
    double m_cache_fraction = 0.75;          ///< Share of an engine's memory for cached parts.
    std::chrono::milliseconds m_fetch_overhead{4};        ///< Start of a transfer of cached parts.
    std::chrono::microseconds m_cross_domain_cost{3'000}; ///< Delay and price of another domain.
    std::chrono::milliseconds m_cross_region_cost{25};    ///< Delay and price of another region.
    double m_cross_region_ms_per_kb = 1.0; ///< Price of bytes over the regions' link.
    std::chrono::milliseconds m_new_part_owner_bonus{
        25};                                       ///< Pull of the engine that owns a new part.
    std::chrono::milliseconds m_failure_cost{400}; ///< Cost of a request that fails.
    std::chrono::milliseconds m_stale_weights_cost{120};    ///< Cost of an answer on old weights.
    std::chrono::milliseconds m_stale_weights_grace{1'000}; ///< No such cost so soon after naming.
    std::chrono::milliseconds m_stale_weights_limit{7'000}; ///< No work on old weights after this.
    std::chrono::milliseconds m_leaving_limit{1'500}; ///< No work to a leaving upstream after this.
};

/// Where this instance stands.
struct locality
{
    std::string m_failure_domain; ///< Failure domain.
    std::string m_region;         ///< Region.
};

/// Prompt as far as it matters for the choice.
struct prompt_profile
{
    std::string m_model;                        ///< Model.
    std::vector<std::uint64_t> m_shared;        ///< Shared parts in order, workspace included.
    std::vector<std::uint64_t> m_shared_tokens; ///< Their lengths.
    std::uint64_t m_unshared_tokens = 0;        ///< Prompt tokens behind them.
    std::uint64_t m_output_tokens = 0;          ///< Tokens generated at most.
};

/// Store of cached parts, as far as it matters for the choice.
struct cache_store_view
{
    const cache_store* m_store = nullptr; ///< Null when there is none, or it does not answer.
    double m_token_transfer_us = 0;       ///< Time to move one token's cache to a neighbour.
};

/// Request that needs an upstream.
struct selection_request
{
    const std::string* m_service = nullptr;                  ///< Service.
    const prompt_profile* m_prompt = nullptr;                ///< Null for a plain service.
    std::uint64_t m_body_bytes = 0;                          ///< Size of its body.
    const std::vector<core::upstream_id>* m_tried = nullptr; ///< Upstreams that it had already.
    const target_weights_history* m_target_weights =
        nullptr;                         ///< Weights that it should run on, if any.
    std::uint64_t m_engine_capacity = 0; ///< Tokens that an engine holds.
    double m_token_transfer_us = 0;      ///< Time to move one token's cache between neighbours.
    cache_store_view m_cache_store;      ///< Store of cached parts.
};

/// Upstream chosen for a request.
struct selection
{
    std::shared_ptr<upstream> m_upstream;    ///< Where it goes.
    core::duration m_predicted_first_byte{}; ///< Time to its first byte, as forecast.
    core::duration m_predicted_queue_time{}; ///< Of this, waiting for earlier work.
    request_work m_work;                     ///< Work that it brings.
    std::uint64_t m_cached_tokens = 0;       ///< Tokens that are probably cached there.
    std::shared_ptr<upstream> m_fetch_from;  ///< Engine to fetch cached parts from, if any.
    bool m_fetch_from_store = false;         ///< They are fetched from the store instead.
    bool m_save_to_store = false;            ///< Its parts are to be kept there.
    std::optional<placement::weights_version> m_version; ///< Weights that it will run on.
    std::size_t m_candidates = 0;                        ///< Upstreams that were weighed.
};

/// Chooses the upstream that can give the first byte soonest, prices of the way included.
///
/// Answers these load patterns: long prompts that share parts (kept where the parts are, fetched
/// from there when that engine is busy), a part that gets much of the traffic (spread once waiting
/// costs more than fetching), engines that are grey, slow or just back (cost by evidence), weights
/// that are being replaced (engines with the new ones first), and upstreams that leave.
class upstream_selector
{
public:
    upstream_selector(upstream_selector_settings settings, locality own_locality,
                      std::uint64_t seed);

    /// Upstream for a request; nothing when none may take it.
    std::optional<selection> choose(const upstream_table& table, const cached_part_index& parts,
                                    const selection_request& request, core::time_point now);

    /// Identity of a shared part under a version of the weights.
    static part_key versioned_part_key(std::uint64_t part,
                                       placement::weights_version version) noexcept;

    /// Tokens of shared parts that an engine is believed to keep.
    std::uint64_t cache_capacity_tokens(const engine_traits& engine) const
    {
        return static_cast<std::uint64_t>(static_cast<double>(engine.m_capacity_tokens) *
                                          m_settings.m_cache_fraction);
    }

    /// Settings.
    const upstream_selector_settings& settings() const noexcept { return m_settings; }

private:
    /// How willingly an upstream is used; a lower group goes first.
    enum class eligibility
    {
        preferred, ///< Takes work.
        fallback,  ///< Leaving, or ejected: only when there is no other.
        excluded,  ///< Must not get work.
    };

    /// Shared parts that an upstream does not hold.
    struct missing_prefix
    {
        part_key m_last_part = 0;   ///< Last of them.
        std::uint64_t m_tokens = 0; ///< Their length.
    };

    /// One upstream weighed.
    struct evaluated_upstream
    {
        selection m_selection;                             ///< As it would be returned.
        core::duration m_cost{};                           ///< What is compared.
        eligibility m_eligibility = eligibility::excluded; ///< Compared first.
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

    upstream_selector_settings m_settings; ///< Settings.
    locality m_own_locality;               ///< Where this instance stands.
    core::seeded_random m_random;          ///< Breaks ties.
};

} // namespace tarragontrail::relay
