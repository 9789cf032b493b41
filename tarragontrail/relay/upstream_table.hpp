#pragma once

#include "tarragontrail/relay/upstream_health.hpp"
#include "tarragontrail/relay/upstream_load.hpp"
#include "tarragontrail/relay/upstream_record.hpp"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tarragontrail::relay {

/// One upstream with all that is known of it.
struct upstream
{
    upstream_record m_record;                        ///< What it says of itself.
    upstream_load m_load;                            ///< Work under way there.
    upstream_health m_health;                        ///< How its requests went.
    std::optional<core::time_point> m_leaving_since; ///< It takes no new work, or is gone.
    core::time_point m_loading_weights_until =
        core::time_point::min(); ///< It takes new weights until then.
    core::duration m_mean_request_time =
        std::chrono::milliseconds(30);        ///< Mean time that a request takes.
    std::uint64_t m_unreported_successes = 0; ///< Requests served since peers were told.
    std::uint64_t m_unreported_failures = 0;  ///< Requests failed since peers were told.

    /// Version of a model's weights there; nothing when the model is not in memory.
    std::optional<placement::weights_version> version_of(std::string_view model) const;

    /// Takes over a version seen in an answer or heard from a peer.
    void set_version(std::string_view model, placement::weights_version version);
};

/// Upstreams of all services.
///
/// An upstream whose record disappears is kept as leaving for a short while, since records also
/// lapse while the platform's store is away and come back after its return.
class upstream_table
{
public:
    using upstream_pointer = std::shared_ptr<upstream>;

    /// Adds an upstream or takes over its new record; returns true when anything changed.
    bool apply(const upstream_record& record, core::time_point now);

    /// The upstream's record is gone.
    void remove(core::upstream_id id, core::time_point now);

    /// Drops upstreams that have been leaving for so long that nothing may be sent there.
    void remove_departed(core::duration retention, core::time_point now);

    /// Upstream by identifier; null when it is unknown.
    upstream_pointer find(core::upstream_id id) const;

    /// Upstreams of a service.
    const std::vector<upstream_pointer>& of_service(const std::string& service) const;

    /// All upstreams.
    const std::unordered_map<core::upstream_id, upstream_pointer>& all() const noexcept
    {
        return m_by_id;
    }

    /// Forgets what another instance had under way.
    void remove_peer(core::instance_id peer);

private:
    void remove_from_service(const upstream_pointer& departed);

    std::unordered_map<core::upstream_id, upstream_pointer> m_by_id;   ///< By identifier.
    std::map<std::string, std::vector<upstream_pointer>> m_by_service; ///< By service.
    std::unordered_map<core::upstream_id, core::time_point> m_removed; ///< Records that are gone.
};

} // namespace tarragontrail::relay
