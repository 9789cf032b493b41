#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/actions.hpp"
#include "tarragontrail/routing/anchor_depth_learner.hpp"
#include "tarragontrail/routing/cached_block_index.hpp"
#include "tarragontrail/routing/engine_set.hpp"
#include "tarragontrail/routing/link_budget.hpp"
#include "tarragontrail/routing/policies.hpp"
#include "tarragontrail/routing/predicted_blocks.hpp"
#include "tarragontrail/routing/prefix_rate_tracker.hpp"
#include "tarragontrail/routing/request_table.hpp"
#include "tarragontrail/routing/route_request.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace tarragontrail::routing {

/// Identifies the instance that the router runs in.
struct router_identity
{
    core::instance_id m_instance_id{};
    core::region_id m_region_id{};
    /// Seed of the policies' random choices and of the lookup ids.
    std::uint64_t m_random_seed = 1;
};

/// Chooses an engine for each request of an entry instance.
///
/// Each call of `begin` leads to exactly one routed or unroutable action: at once, with the last
/// lookup reply, or at the lookup timeout. A routed request counts towards its engine's in-flight
/// tokens until on_first_token, and towards its in-flight requests until on_finished. on_finished
/// must follow every routed action, even if the request was never sent.
class router
{
public:
    router(const router_identity& self, const routing_settings& settings);

    /// Replaces the set of known engines.
    void set_engines(const std::vector<engine_entry>& engines, core::time_point now);

    /// Sets the index that answers lookups for an engine that this instance watches; null removes
    /// it. The index must be used by the same thread and outlive its registration.
    void set_local_index(core::upstream_id engine, const cached_block_index* index);

    /// Starts to route a request; throws duplicate_request if its id is in use.
    void begin(const route_request& request, core::time_point now);

    /// Processes a watcher's reply; late, duplicate and unknown replies are ignored.
    void on_lookup_reply(const lookup_reply& reply, core::time_point now);

    /// Routes the requests whose lookups have timed out.
    void on_timer(core::time_point now);

    /// Time at which on_timer must be called next.
    std::optional<core::time_point> next_deadline() const noexcept;

    /// Records that the request was sent to its engine, which is then predicted to cache its
    /// blocks.
    void on_dispatched(core::request_id request_id, core::time_point now);

    /// Records that the engine has finished prefill.
    void on_first_token(core::request_id request_id, core::time_point now);

    /// Ends a request, whatever its outcome. A request whose lookups are pending is abandoned.
    void on_finished(core::request_id request_id, std::uint64_t output_tokens,
                     core::time_point now);

    /// Processes an engine's load report.
    void on_load_report(core::upstream_id engine, const load_report& load, core::time_point now);

    /// Discards the load recorded for older incarnations of the engine.
    void on_engine_incarnation(core::upstream_id engine, core::incarnation incarnation,
                               core::time_point now);

    /// Processes an anchor depth received from a peer.
    void on_anchor_hint(const anchor_hint& hint, core::time_point now);

    /// Up to `limit` anchor depths for the next gossip message.
    std::vector<anchor_hint> next_anchor_hints(std::size_t limit);

    /// Returns and clears the actions since the last call.
    std::vector<router_action> take_actions();

    /// Number of unfinished requests.
    std::size_t active_requests() const noexcept { return m_requests.size(); }

    /// Prompt tokens routed to an engine and not yet prefilled; zero for an unknown engine.
    std::int64_t in_flight_tokens(core::upstream_id engine) const noexcept;

    /// Unfinished requests routed to an engine; zero for an unknown engine.
    std::size_t in_flight_requests(core::upstream_id engine) const noexcept;

private:
    /// Engines that may take a request. The buffers are reused to avoid allocations.
    struct eligible_engines
    {
        std::vector<eligible_engine> m_local;  ///< Engines of this region.
        std::vector<eligible_engine> m_remote; ///< Engines of other regions.
    };

    /// Whether an engine may take a request, and otherwise the first reason why not.
    enum class eligibility
    {
        other_model,
        other_weights,
        not_ready,
        excluded,
        eligible,
    };

    eligibility check_eligibility(const engine_record& engine,
                                  const request_record& request) const noexcept;
    std::optional<unroutable_reason> collect_eligible_engines(const request_record& request,
                                                              core::time_point now);
    bool other_regions_allowed(const request_record& request, core::time_point now) const noexcept;
    std::size_t candidate_count_at(double rate) const noexcept;
    std::optional<unroutable_reason> select_candidates(request_record& request,
                                                       core::time_point now);
    void look_up_cached_depths(request_record& request, core::time_point now);
    bool look_up_locally(const request_record& request, candidate& item);
    void send_next_lookup(const request_record& request, candidate& item);
    void handle_lookup_reply(const request_record& request, candidate& item,
                             const lookup_reply& reply);
    static bool has_pending_lookups(const request_record& request) noexcept;
    void update_block_lifetime(core::upstream_id engine, std::chrono::milliseconds lifetime);

    void decide(request_record& request, core::time_point now);
    std::optional<unroutable_reason> revalidate_candidates(request_record& request,
                                                           core::time_point now);
    void estimate_candidate(const request_record& request, candidate& item,
                            core::time_point now) const;
    void consider_transfer(const request_record& request, candidate& item) const;
    void compute_cost(candidate& item) const noexcept;
    void finish_routed(request_record& request, const candidate& chosen, core::time_point now);
    routed make_routed(const request_record& request, const candidate& chosen) const noexcept;
    void finish_unroutable(request_record& request, unroutable_reason reason);
    std::uint64_t link_bytes(const request_record& request) const noexcept;

    router_identity m_identity;
    routing_settings m_settings;
    policy_variant m_policy;
    core::seeded_random m_random; ///< Random numbers for the policies.
    engine_set m_engines;
    /// Indexes of the engines that this instance watches.
    flat_hash_map<const cached_block_index*> m_local_indexes;
    request_table m_requests;             ///< Unfinished requests.
    anchor_depth_learner m_anchor_depths; ///< Depths of the rendezvous keys.
    predicted_blocks m_predicted_blocks;  ///< Blocks of prompts that this instance dispatched.
    prefix_rate_tracker m_prefix_rates;   ///< Request rates of the rendezvous keys.
    link_budget m_link_budget;            ///< This instance's share of the link between regions.
    eligible_engines m_eligible;          ///< Engines for the request that is being routed.
    std::vector<router_action> m_actions; ///< Actions not yet taken.
};

} // namespace tarragontrail::routing
