#pragma once

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/net/http_types.hpp"
#include "tarragontrail/routing/engine_entry.hpp"

#include <map>
#include <string>
#include <vector>

namespace tarragontrail::entry {

/// What the fleet knows of an engine beyond the bundle; spread by gossip from its watcher.
struct engine_status
{
    std::uint64_t m_order = 0;           ///< A higher one replaces a lower one.
    core::incarnation m_incarnation{};   ///< Incarnation.
    std::uint64_t m_weights_version = 0; ///< Weights that it holds.
    bool m_draining = false;             ///< Placement keeps new work away.

    /// Whether anything but the order differs.
    bool same_state(const engine_status& other) const noexcept;
};

/// Engine as the bundle and its watcher describe it.
struct engine_info
{
    std::string m_name;                         ///< Name.
    core::upstream_id m_id{};                   ///< Hash of the name.
    net::tcp::endpoint m_endpoint;              ///< Address.
    core::region_id m_region{};                 ///< Region.
    core::failure_domain_id m_failure_domain{}; ///< Failure domain.
    core::model_id m_model{};                   ///< Model.
    std::string m_model_name;                   ///< Model's name.
    bool m_checks_fence = false;                ///< Refuses orders with an old fencing number.
    bool m_configured_ready = true;             ///< The bundle lets it take work.
    bool m_reachable = true;                    ///< This instance's circuit to it is closed.
    engine_status m_status;                     ///< What its watcher found.
};

/// All engines of the bundle in force with what is known of each.
class engine_directory
{
public:
    /// Takes the engines of a bundle; what is known of engines that stay is kept.
    void on_bundle(const config::bundle& applied);

    /// Takes a status; returns whether it was newer and changed anything.
    bool on_status(core::upstream_id engine, const engine_status& status);

    /// Notes whether this instance can reach an engine.
    void set_reachable(core::upstream_id engine, bool reachable);

    /// Engine with this id, or null.
    const engine_info* find(core::upstream_id engine) const;

    /// All engines by id.
    const std::map<core::upstream_id, engine_info>& all() const noexcept { return m_engines; }

    /// Entries for the router.
    std::vector<routing::engine_entry> entries() const;

    /// Weights version to use for a key of a model: the version of the ready engine that
    /// rendezvous hashing picks, so that versions share the work by their engines' number.
    std::uint64_t weights_for(core::model_id model, std::uint64_t key) const;

    /// Whether any engine serves a model.
    bool serves(core::model_id model) const;

private:
    static bool is_ready(const engine_info& engine) noexcept;

    std::map<core::upstream_id, engine_status> m_early; ///< Of engines that no bundle named yet.
    std::map<core::upstream_id, engine_info> m_engines; ///< By id.
};

/// Number of a weights version's name: its value when it is a number, its hash otherwise.
std::uint64_t weights_number(const std::string& name);

/// Text of a status for gossip, and back; parse throws wire::decode_error.
std::string serialise(const engine_status& status);
engine_status parse_engine_status(const std::string& bytes);

} // namespace tarragontrail::entry
