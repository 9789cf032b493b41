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

/// Names the instance that routes.
struct router_identity
{
    core::instance_id m_instance_id{}; ///< This instance.
    core::region_id m_region_id{};     ///< Its region.
    std::uint64_t m_random_seed = 1;   ///< Seed of its random choices.
};

/// Chooses an engine for each request of an entry instance.
///
/// Every begin ends in exactly one routed or unroutable action: at once, when the last lookup reply
/// comes, or at the lookup timeout. A routed request holds its prompt tokens on the engine's
/// account until on_first_token, and its place until on_finished, which must follow every routed
/// action, also when the request was never sent.
class router
{
public:
    router(const router_identity& self, const routing_settings& settings);

    /// Replaces the known engines.
    void set_engines(const std::vector<engine_entry>& engines, core::time_point now);

    /// Answers lookups for an engine from an index kept here; null ends that. The index must live
    /// as long as it is set and be used by the same thread.
    void set_local_index(core::upstream_id engine, const cached_block_index* index);

    /// Starts to route a request; throws duplicate_request when its id is in use.
    void begin(const route_request& request, core::time_point now);

    /// Takes in a watcher's answer; late, duplicated and unknown ones are ignored.
    void on_lookup_reply(const lookup_reply& reply, core::time_point now);

    /// Decides the requests whose lookups have timed out.
    void on_timer(core::time_point now);

    /// Earliest lookup timeout.
    std::optional<core::time_point> next_deadline() const noexcept;

    /// The request was sent to the engine chosen: its blocks are predicted there.
    void on_dispatched(core::request_id request_id, core::time_point now);

    /// The engine has finished prefill.
    void on_first_token(core::request_id request_id, core::time_point now);

    /// The request is over for this engine, whatever the outcome, or was given up while looked up.
    void on_finished(core::request_id request_id, std::uint64_t output_tokens,
                     core::time_point now);

    /// Takes in an engine's load report.
    void on_load_report(core::upstream_id engine, const load_report& load, core::time_point now);

    /// Drops everything believed of the engine's older incarnations.
    void on_engine_incarnation(core::upstream_id engine, core::incarnation incarnation,
                               core::time_point now);

    /// Takes in a peer's hashing depth.
    void on_anchor_hint(const anchor_hint& hint, core::time_point now);

    /// Hashing depths to send to peers with the next gossip.
    std::vector<anchor_hint> next_anchor_hints(std::size_t limit);

    /// Actions since the last call.
    std::vector<router_action> take_actions();

    /// Requests begun and not finished.
    std::size_t active_requests() const noexcept { return m_requests.size(); }

    /// Prompt tokens on an engine's account; zero for an unknown engine.
    std::int64_t in_flight_tokens(core::upstream_id engine) const noexcept;

    /// Requests of this instance at an engine.
    std::size_t in_flight_requests(core::upstream_id engine) const noexcept;

private:
    /// Engines that may take a request, by region, in buffers that are kept between requests.
    struct eligible_engines
    {
        std::vector<eligible_engine> m_local;  ///< This region.
        std::vector<eligible_engine> m_remote; ///< Other regions.
    };

    /// Why an engine may not take a request; usable means that it may.
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

    router_identity m_identity;                               ///< This instance.
    routing_settings m_settings;                              ///< Settings.
    policy_variant m_policy;                                  ///< Policy in force.
    core::seeded_random m_random;                             ///< Random source of the policies.
    engine_set m_engines;                                     ///< Known engines.
    flat_hash_map<const cached_block_index*> m_local_indexes; ///< Indexes of engines watched here.
    request_table m_requests;                                 ///< Requests from begin to finish.
    anchor_depth_learner m_anchor_depths;                     ///< Hashing depths.
    predicted_blocks m_predicted_blocks;                      ///< Own dispatches.
    prefix_rate_tracker m_prefix_rates;                       ///< Rates of hashing keys.
    link_budget m_link_budget;            ///< Share of the link between regions.
    eligible_engines m_eligible;          ///< Buffers of the request in hand.
    std::vector<router_action> m_actions; ///< Actions not yet taken.
};

} // namespace tarragontrail::routing
