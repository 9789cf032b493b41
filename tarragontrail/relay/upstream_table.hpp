#pragma once

#include "tarragontrail/relay/limit_turns.hpp"
#include "tarragontrail/relay/upstream_health.hpp"
#include "tarragontrail/relay/upstream_load.hpp"
#include "tarragontrail/relay/upstream_record.hpp"
#include "tarragontrail/relay/upstream_terms.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tarragontrail::relay {

/// State of one upstream.
struct upstream
{
    /// Its own record.
    upstream_record m_record;
    /// Requests in progress.
    upstream_load m_load;
    /// Outcomes of its requests.
    upstream_health m_health;
    /// Set when it accepts no new requests or its record is gone.
    std::optional<core::time_point> m_leaving_since;
    /// Era of the table store in which its last row was written or deleted.
    std::uint64_t m_era = 0;
    /// Last sign that its process may have ended since its row was read: what starts under its id
    /// and address may be of another version. Reset once it is known to be the same.
    std::optional<core::time_point> m_doubted_since;
    /// Last moment at which the start of the record is known to have been there.
    core::time_point m_start_seen_at{};
    /// What it said of itself in its answers since its start.
    upstream_terms m_terms;
    /// Turns of this instance, while it names a limit.
    std::optional<limit_turns> m_turns;
    /// It loads new weights and gets no requests until then.
    core::time_point m_loading_weights_until = core::time_point::min();
    /// Exponential moving average of the duration of a request.
    core::duration m_mean_request_time = std::chrono::milliseconds(30);
    /// Successes not yet reported to peers.
    std::uint64_t m_unreported_successes = 0;
    /// Failures not yet reported to peers.
    std::uint64_t m_unreported_failures = 0;

    /// Version of a model's loaded weights; nothing when the model is not in memory.
    std::optional<placement::weights_version> version_of(std::string_view model) const;

    /// Its process may have ended.
    void doubt(core::time_point now)
    {
        m_doubted_since = now;
        m_start_seen_at = {};
    }

    /// Whether a connection that was opened at this time and is still open leads to the start of
    /// the record: a process that ends closes its connections.
    bool is_start_behind(core::time_point opened) const { return m_start_seen_at >= opened; }

    /// The start of the record was there at this time.
    void on_start_seen(core::time_point at) { m_start_seen_at = std::max(m_start_seen_at, at); }

    /// Whether its process is known to run this software.
    bool surely_runs(const software_version& software) const
    {
        return !m_doubted_since && m_record.m_software == software;
    }

    /// Whether its own terms allow a request of this instance now; turns are those opened so far.
    bool takes_requests(core::time_point now) const
    {
        return !m_terms.is_waiting(now) && (!m_turns || m_turns->open_turns() > 0);
    }

    /// Time until its own terms allow a request again; nothing when they allow one, or no time is
    /// known.
    std::optional<core::duration>
    time_to_next_request(const turn_order& order, store_time store_now, core::time_point now) const;

    /// Sets a version seen in a response or reported by a peer.
    void set_version(std::string_view model, placement::weights_version version);
};

/// What has changed by an upstream's notice.
struct notice_effect
{
    bool m_limit_changed = false; ///< It names another limit than before, or none any more.
    bool m_leaves = false;        ///< It leaves, which was not known.
};

/// Upstreams of all services.
///
/// An upstream whose record disappears is treated as leaving for a while, because records also
/// expire during an outage of the table store and reappear afterwards.
class upstream_table
{
public:
    using upstream_pointer = std::shared_ptr<upstream>;

    /// Adds an upstream or updates its record; returns true when anything changed.
    bool apply(const upstream_record& record, core::time_point now);

    /// Marks an upstream as leaving after its record was deleted.
    void remove(core::upstream_id id, core::time_point now);

    /// Removes upstreams whose record has been gone for the retention time.
    void remove_departed(core::duration retention, core::time_point now);

    /// An answer of an upstream has told what it says of itself. One that leaves counts as one
    /// whose record says so.
    notice_effect on_notice(upstream& from, const upstream_notice& notice, store_time store_now,
                            core::time_point now);

    /// Another instance tells the limit of an upstream's start; returns whether it is another one.
    bool on_limit(core::upstream_id id, core::incarnation started, const named_limit& limit,
                  store_time store_now);

    /// Opens the turns of this instance at a service's limited upstreams up to now.
    void refill_turns(const std::string& service, const turn_order& order, store_time store_now);

    /// Null when it is unknown.
    upstream_pointer find(core::upstream_id id) const;

    /// Software versions of a service's upstreams, those that leave included.
    std::set<software_version> software_of(const std::string& service) const;

    /// Upstreams of a service; empty when the service is unknown.
    const std::vector<upstream_pointer>& of_service(const std::string& service) const;

    const std::unordered_map<core::upstream_id, upstream_pointer>& all() const noexcept
    {
        return m_by_id;
    }

    /// Removes the load that a peer reported, from all upstreams.
    void remove_peer(core::instance_id peer);

private:
    static void apply_limit(upstream& limited, store_time store_now);
    void remove_from_service(const upstream_pointer& departed);

    std::unordered_map<core::upstream_id, upstream_pointer> m_by_id;
    std::map<std::string, std::vector<upstream_pointer>> m_by_service;
    /// When the record was deleted.
    std::unordered_map<core::upstream_id, core::time_point> m_removed;
};

} // namespace tarragontrail::relay
