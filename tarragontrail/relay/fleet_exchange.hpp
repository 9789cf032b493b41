#pragma once

#include "tarragontrail/net/peer_network.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <functional>
#include <set>
#include <string>

namespace tarragontrail::relay {

/// Settings of fleet_exchange.
struct fleet_exchange_settings
{
    std::chrono::milliseconds m_min_heartbeat_interval{
        200}; ///< Pause between words in a small region.
    std::chrono::milliseconds m_heartbeat_interval_per_instance{
        14}; ///< Pause for each instance of a larger one.
    std::chrono::milliseconds m_max_heartbeat_interval{1'000}; ///< Longest pause.
    std::chrono::milliseconds m_digest_interval{400}; ///< Pause between words to other regions.
    std::chrono::milliseconds m_urgent_check_interval{
        60}; ///< Pause between looks at what must be told at once.
    std::chrono::milliseconds m_min_peer_timeout{1'000}; ///< A silent instance is down after this.
    std::uint64_t m_missed_heartbeats = 3; ///< But not before so many words are missing.
    std::chrono::seconds m_unsent_report_interval{
        10}; ///< Pause between lines on messages not taken.
};

/// What the exchange hands on to its owner.
class fleet_exchange_listener
{
public:
    virtual ~fleet_exchange_listener() = default;

    /// Fills in what this instance says of its tables and duties.
    virtual void fill_heartbeat(wire::instance_pulse& heartbeat, core::time_point now) = 0;

    /// A peer told which versions of the tables it knows.
    virtual void on_versions(core::instance_id peer, const wire::table_versions& versions,
                             core::time_point now) = 0;

    /// Some instance gave an order, or one took effect, so long ago.
    virtual void on_order_age(core::duration age, core::time_point now) = 0;

    /// Any other message.
    virtual void on_message(core::instance_id from, const wire::message& message) = 0;
};

/// Words among instances: all to all within a region, one speaker to another between regions.
///
/// Bytes between regions are scarce and paid for, so a region tells another one sums, and news for
/// other regions travel once over the link.
class fleet_exchange : public net::peer_network_listener
{
public:
    fleet_exchange(boost::asio::io_context& context, fleet_exchange_settings settings,
                   const fleet_member& self, const net::tcp::endpoint& endpoint, relay_state& state,
                   instance_registry& registry, fleet_exchange_listener& listener);

    /// Begins to speak.
    void start();

    /// Speaks now; a change of state is not kept for the next regular word.
    void broadcast_heartbeat();

    /// The fleet's members changed.
    void update_members();

    /// Sends to every instance of this region.
    void send_to_region(const wire::message& message);

    /// Sends to every instance of the fleet.
    void send_to_fleet(const wire::message& message);

    /// Sends to one instance.
    void send_to(core::instance_id peer, const wire::message& message);

private:
    void on_peer_message(core::instance_id from, const wire::message& message) override;
    void on_heartbeat(core::instance_id from, const wire::instance_pulse& heartbeat);
    void on_digest(core::instance_id from, const wire::region_digest& digest);
    void apply_state(const wire::member_state& state, core::time_point now);
    void apply_loads(core::instance_id from, const std::vector<wire::upstream_pulse>& loads,
                     core::time_point now);
    wire::instance_pulse make_base_heartbeat(core::time_point now);
    wire::instance_pulse make_heartbeat(core::time_point now);
    wire::region_digest make_digest(core::time_point now);
    void send_digests();
    /// Sends to an instance; a message that its link does not take is counted.
    void send(core::instance_id peer, const wire::message& message);
    void report_unsent(core::time_point now);
    void schedule_heartbeat();
    void schedule_digest();
    void schedule_urgent();
    bool is_other_region(core::instance_id instance) const;
    std::optional<core::instance_id> receiving_instance_of(const std::string& region,
                                                           core::time_point now);
    static core::instance_id region_peer_id(const std::string& region);

    fleet_exchange_settings m_settings;  ///< Settings.
    fleet_member m_self;                 ///< This instance.
    relay_state& m_state;                ///< Loads, limits and parts.
    instance_registry& m_registry;       ///< Instances.
    fleet_exchange_listener& m_listener; ///< Owner.
    net::peer_network m_network;         ///< Links.
    net::timer m_heartbeat_timer;        ///< Next word.
    net::timer m_urgent_timer;           ///< Next look at what must be told at once.
    net::timer m_digest_timer;           ///< Next word to other regions.
    std::set<std::string> m_regions;     ///< Other regions.
    std::map<core::instance_id, wire::instance_pulse>
        m_last_heartbeats;                   ///< Last words of this region.
    std::size_t m_region_size = 1;           ///< Instances of this region.
    core::time_point m_last_unsent_report{}; ///< Last report of these.
    std::map<core::instance_id, std::uint64_t>
        m_unsent_by_peer; ///< Not taken since the last report.
};

} // namespace tarragontrail::relay
