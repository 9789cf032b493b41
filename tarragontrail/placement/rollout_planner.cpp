#include "tarragontrail/placement/rollout_planner.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

namespace tarragontrail::placement {

namespace {

/// Engine counts of one model.
struct model_count
{
    std::uint64_t m_desired = 0;  ///< Engines that should run the model.
    std::uint64_t m_ready = 0;    ///< Engines that run the model and accept requests.
    std::uint64_t m_changing = 0; ///< Engines counted in m_desired that are being changed.
    std::uint64_t m_failures = 0; ///< Failed loads of the desired version.
    weights_version m_version{};  ///< Desired version.
};

bool is_ready(const observed_engine& engine)
{
    return engine.m_alive && !engine.m_draining && !engine.m_order_pending &&
           engine.m_state.m_model != core::model_id{};
}

bool has_adapter(const engine_state& state, core::adapter_id adapter)
{
    return std::find(state.m_adapters.begin(), state.m_adapters.end(), adapter) !=
           state.m_adapters.end();
}

/// Returns the first adapter of `wanted` that `present` lacks.
std::optional<core::adapter_id> find_missing(const engine_state& wanted,
                                             const engine_state& present)
{
    for (const core::adapter_id adapter : wanted.m_adapters)
    {
        if (!has_adapter(present, adapter))
        {
            return adapter;
        }
    }
    return std::nullopt;
}

bool has_weights(const engine_state& present, const engine_state& wanted)
{
    return present.m_model == wanted.m_model && present.m_version == wanted.m_version;
}

bool is_reached(const engine_state& present, const engine_state& wanted)
{
    return has_weights(present, wanted) && present.m_role == wanted.m_role &&
           !find_missing(wanted, present) && !find_missing(present, wanted);
}

/// Whether only adapters are missing; those can be loaded while the engine serves requests.
bool is_addition_only(const engine_state& present, const engine_state& wanted)
{
    return has_weights(present, wanted) && present.m_role == wanted.m_role &&
           !find_missing(present, wanted);
}

/// Returns the next order on the way from the present state to the wanted one; the two must differ.
engine_order next_order(const engine_state& present, const engine_state& wanted)
{
    if (wanted.m_model == core::model_id{} && present.m_model != core::model_id{})
    {
        return {0, order_kind::unload_model, present.m_model, present.m_version, {}, {}};
    }
    if (!has_weights(present, wanted))
    {
        return {0, order_kind::load_model, wanted.m_model, wanted.m_version, {}, {}};
    }
    if (present.m_role != wanted.m_role)
    {
        return {0, order_kind::change_role, wanted.m_model, wanted.m_version, {}, wanted.m_role};
    }
    if (const auto surplus = find_missing(present, wanted))
    {
        return {0, order_kind::unload_adapter, wanted.m_model, wanted.m_version, *surplus, {}};
    }
    const core::adapter_id missing = find_missing(wanted, present).value();
    return {0, order_kind::load_adapter, wanted.m_model, wanted.m_version, missing, {}};
}

/// A single run of the planner.
class planner
{
public:
    planner(const rollout_settings& settings, const std::vector<desired_engine>& desired,
            const std::vector<observed_engine>& observed)
        : m_settings(settings), m_desired(desired)
    {
        for (const observed_engine& engine : observed)
        {
            m_observed.emplace(engine.m_upstream, &engine);
            m_counts[engine.m_state.m_model].m_ready += is_ready(engine) ? 1 : 0;
        }
        for (const desired_engine& engine : desired)
        {
            count(engine);
        }
    }

    std::vector<rollout_step> plan()
    {
        for (const auto& [model, counts] : m_counts)
        {
            if (is_aborted(counts))
            {
                m_steps.emplace_back(rollout_aborted{model, counts.m_version, counts.m_failures});
            }
        }
        for (const desired_engine& engine : m_desired)
        {
            const auto found = m_observed.find(engine.m_upstream);
            if (found == m_observed.end())
            {
                continue;
            }
            const observed_engine& present = *found->second;
            if (!present.m_alive || present.m_order_pending)
            {
                continue;
            }
            plan_engine(engine, present);
        }
        return std::move(m_steps);
    }

private:
    void count(const desired_engine& engine)
    {
        model_count& counts = m_counts[engine.m_state.m_model];
        ++counts.m_desired;
        counts.m_version = engine.m_state.m_version;
        const auto found = m_observed.find(engine.m_upstream);
        if (found == m_observed.end())
        {
            return;
        }
        const observed_engine& present = *found->second;
        counts.m_changing += present.m_draining || present.m_order_pending ? 1 : 0;
        counts.m_failures += present.m_failed_loads;
    }

    bool is_aborted(const model_count& counts) const
    {
        return counts.m_failures >= m_settings.m_max_failures;
    }

    void plan_engine(const desired_engine& engine, const observed_engine& present)
    {
        const core::upstream_id id = engine.m_upstream;
        if (is_reached(present.m_state, engine.m_state))
        {
            admit_drained(present);
            return;
        }

        // After an abort, engines keep serving with the weights that they have.
        const model_count& counts = m_counts[engine.m_state.m_model];
        const bool needs_load = !has_weights(present.m_state, engine.m_state);
        if (needs_load && is_aborted(counts))
        {
            admit_drained(present);
            return;
        }
        if (is_addition_only(present.m_state, engine.m_state) && !present.m_draining)
        {
            m_steps.emplace_back(submit_order{id, next_order(present.m_state, engine.m_state)});
            return;
        }
        if (!present.m_draining)
        {
            start_change(engine, present);
            return;
        }
        if (present.m_in_flight == 0)
        {
            m_steps.emplace_back(submit_order{id, next_order(present.m_state, engine.m_state)});
        }
    }

    void admit_drained(const observed_engine& present)
    {
        if (present.m_draining && present.m_state.m_model != core::model_id{})
        {
            m_steps.emplace_back(admit_engine{present.m_upstream, present.m_state.m_version});
        }
    }

    void start_change(const desired_engine& engine, const observed_engine& present)
    {
        model_count& target = m_counts[engine.m_state.m_model];
        if (target.m_changing >= fraction_of(target.m_desired, m_settings.m_step_fraction, 1))
        {
            return;
        }

        // The model that the engine runs now must keep its minimum of ready engines.
        model_count& source = m_counts[present.m_state.m_model];
        const std::uint64_t minimum =
            fraction_of(source.m_desired, m_settings.m_min_ready_fraction, 0);
        if (is_ready(present) && source.m_ready < minimum + 1)
        {
            return;
        }
        source.m_ready -= is_ready(present) ? 1 : 0;
        ++target.m_changing;
        m_steps.emplace_back(drain_engine{engine.m_upstream});
    }

    static std::uint64_t fraction_of(std::uint64_t count, double fraction, std::uint64_t minimum)
    {
        const auto part = static_cast<std::uint64_t>(static_cast<double>(count) * fraction);
        return std::max(part, minimum);
    }

    const rollout_settings& m_settings;
    const std::vector<desired_engine>& m_desired;
    std::unordered_map<core::upstream_id, const observed_engine*> m_observed;
    std::map<core::model_id, model_count> m_counts;
    std::vector<rollout_step> m_steps;
};

} // namespace

std::vector<rollout_step> plan_rollout(const rollout_settings& settings,
                                       const std::vector<desired_engine>& desired,
                                       const std::vector<observed_engine>& observed)
{
    return planner(settings, desired, observed).plan();
}

} // namespace tarragontrail::placement
