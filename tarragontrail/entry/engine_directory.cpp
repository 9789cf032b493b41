#include "tarragontrail/entry/engine_directory.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/wire/cbor_fields.hpp"

namespace tarragontrail::entry {

bool engine_status::same_state(const engine_status& other) const noexcept
{
    return m_incarnation == other.m_incarnation && m_weights_version == other.m_weights_version &&
           m_draining == other.m_draining;
}

void engine_directory::on_bundle(const config::bundle& applied)
{
    std::map<core::upstream_id, engine_info> engines;
    for (const config::upstream& each : applied.m_upstreams)
    {
        if (each.m_kind != config::upstream_kind::engine)
        {
            continue;
        }
        engine_info engine;
        engine.m_name = each.m_name;
        engine.m_id = each.m_id;
        engine.m_endpoint = net::make_endpoint(each.m_address, each.m_port);
        engine.m_region = core::id_of<core::region_id>(each.m_region);
        engine.m_failure_domain = core::id_of<core::failure_domain_id>(each.m_failure_domain);
        engine.m_model = core::id_of<core::model_id>(each.m_model);
        engine.m_model_name = each.m_model;
        engine.m_checks_fence = each.m_checks_fence;
        engine.m_configured_ready = each.m_state == config::upstream_state::ready;
        engine.m_status.m_weights_version = weights_number(each.m_weights_version);
        const engine_info* known = find(each.m_id);
        if (known != nullptr)
        {
            engine.m_reachable = known->m_reachable;
            engine.m_status = known->m_status;
        }
        else if (m_early.contains(each.m_id))
        {
            engine.m_status = m_early.at(each.m_id);
        }
        engines.emplace(each.m_id, std::move(engine));
    }
    m_engines = std::move(engines);
    m_early.clear();
}

bool engine_directory::on_status(core::upstream_id engine, const engine_status& status)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
    {
        // Gossip may come before the bundle that names the engine.
        engine_status& early = m_early[engine];
        early = status.m_order > early.m_order ? status : early;
        return false;
    }
    if (status.m_order <= found->second.m_status.m_order)
    {
        return false;
    }
    const bool changed = !status.same_state(found->second.m_status);
    found->second.m_status = status;
    return changed;
}

void engine_directory::set_reachable(core::upstream_id engine, bool reachable)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end())
    {
        found->second.m_reachable = reachable;
    }
}

const engine_info* engine_directory::find(core::upstream_id engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}

bool engine_directory::is_ready(const engine_info& engine) noexcept
{
    return engine.m_configured_ready && engine.m_reachable && !engine.m_status.m_draining;
}

std::vector<routing::engine_entry> engine_directory::entries() const
{
    std::vector<routing::engine_entry> entries;
    for (const auto& [id, engine] : m_engines)
    {
        const bool leaving = !engine.m_configured_ready || engine.m_status.m_draining;
        const routing::engine_state state = leaving              ? routing::engine_state::leaving
                                            : engine.m_reachable ? routing::engine_state::ready
                                                                 : routing::engine_state::unready;
        entries.push_back({id, engine.m_region, engine.m_failure_domain, engine.m_model, state,
                           engine.m_status.m_incarnation, engine.m_status.m_weights_version});
    }
    return entries;
}

std::uint64_t engine_directory::weights_for(core::model_id model, std::uint64_t key) const
{
    std::uint64_t best_score = 0;
    std::uint64_t version = 0;
    for (const auto& [id, engine] : m_engines)
    {
        if (engine.m_model != model || !is_ready(engine))
        {
            continue;
        }
        const std::uint64_t score = core::rendezvous_score(key, core::value_of(id));
        if (score < best_score)
        {
            continue;
        }
        best_score = score;
        version = engine.m_status.m_weights_version;
    }
    return version;
}

bool engine_directory::serves(core::model_id model) const
{
    for (const auto& [id, engine] : m_engines)
    {
        if (engine.m_model == model)
        {
            return true;
        }
    }
    return false;
}

std::uint64_t weights_number(const std::string& name)
{
    return core::parse_number(name).value_or(core::hash_name(name));
}

std::string serialise(const engine_status& status)
{
    nlohmann::json fields = nlohmann::json::array();
    wire::put_field(fields, status.m_order);
    wire::put_field(fields, status.m_incarnation);
    wire::put_field(fields, status.m_weights_version);
    wire::put_field(fields, status.m_draining);
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    return bytes;
}

engine_status parse_engine_status(const std::string& bytes)
{
    const nlohmann::json fields = wire::parse_cbor(bytes);
    wire::field_reader reader(fields, 0);
    engine_status status;
    reader.get(status.m_order);
    reader.get(status.m_incarnation);
    reader.get(status.m_weights_version);
    reader.get(status.m_draining);
    reader.expect_end();
    return status;
}

} // namespace tarragontrail::entry
