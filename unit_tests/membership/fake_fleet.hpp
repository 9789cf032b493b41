#pragma once

#include "tarragontrail/config/bundle_agent.hpp"
#include "tarragontrail/membership/failure_detector.hpp"
#include "tarragontrail/membership/view_change.hpp"
#include "tarragontrail/membership/view_synchronizer.hpp"
#include "unit_tests/config/fake_platform.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tarragontrail::test {

/// Decision cores of one instance.
struct instance
{
    membership::member m_member; ///< Identity, with the incarnation of the current start.
    bool m_up = false;           ///< Whether the process runs.
    bool m_paused = false;       ///< Whether the process is suspended.
    /// Changes with each start and crash; replies to earlier ones are dropped.
    std::uint64_t m_generation = 0;
    std::deque<std::function<void()>> m_backlog; ///< Events that arrived while paused.
    std::unique_ptr<config::key_table> m_keys;
    std::unique_ptr<config::bundle_agent> m_agent;
    std::unique_ptr<membership::failure_detector> m_detector;
    std::unique_ptr<membership::view_change_planner> m_planner;
    std::unique_ptr<membership::view_synchronizer> m_view_synchronizer;
    std::uint64_t m_failures_seen = 0; ///< Failures that its detector reported.
};

/// Simulated fleet: real decision cores, a lossy network, a fake platform and its delayed list.
class fake_fleet
{
public:
    fake_fleet(std::uint64_t seed, std::size_t count);

    void start(std::size_t index);
    void crash(std::size_t index);
    void pause(std::size_t index) { m_instances[index].m_paused = true; }
    void resume(std::size_t index);
    void mark_leaving(std::size_t index);
    void run_for(core::duration length) { m_events.run_for(length); }
    core::time_point now() const { return m_events.now(); }

    event_queue m_events;
    fake_platform m_platform; ///< Table service and object store.
    std::vector<instance> m_instances;
    /// Time until the list drops a crashed instance.
    core::duration m_list_lag = std::chrono::seconds(5);
    double m_loss = 0.0;                ///< Fraction of messages lost.
    double m_duplicated = 0.0;          ///< Fraction of messages delivered twice.
    bool m_regions_partitioned = false; ///< Partitions the regions, and region 1 from the platform.
    std::set<std::size_t> m_isolated; ///< Instances that reach the platform but no other instance.
    std::uint64_t m_messages = 0;     ///< Messages sent.
    std::vector<membership::listed_instance> m_list; ///< The platform's list of instances.

private:
    void tick(std::size_t index, std::uint64_t generation);
    void read_list(instance& each);
    void drain(std::size_t index);
    void deliver(std::size_t index, std::uint64_t generation, const std::function<void()>& event);
    void send(std::size_t from, core::instance_id to, const std::function<void(instance&)>& event);
    bool reaches_platform(std::size_t index) const;
    void update_detector(instance& each);

    // Each overload carries out one kind of action.
    void carry_out(std::size_t from, config::table_read& call);
    void carry_out(std::size_t from, config::table_write& call);
    void carry_out(std::size_t from, config::object_get& call);
    void carry_out(std::size_t from, config::send_state_request& action);
    void carry_out(std::size_t from, config::send_state_answer& action);
    void carry_out(std::size_t from, config::send_bundle_request& action);
    void carry_out(std::size_t from, config::send_bundle_answer& action);
    void carry_out(std::size_t from, config::bundle_applied& action);
    void carry_out(std::size_t from, config::gossip_withdrawal& action);
    void carry_out(std::size_t from, membership::send_ping& action);
    void carry_out(std::size_t from, membership::send_ping_ack& action);
    void carry_out(std::size_t from, membership::send_ping_request& action);
    void carry_out(std::size_t from, membership::member_changed& action);
    void carry_out(std::size_t from, membership::item_received& action);
    void carry_out(std::size_t from, membership::freshness_received& action);
    void carry_out(std::size_t from, membership::view_number_received& action);
    void carry_out(std::size_t from, membership::view_changed& action);
    void carry_out(std::size_t from, membership::send_view_request& action);
    void carry_out(std::size_t from, membership::send_view_answer& action);
};

} // namespace tarragontrail::test
