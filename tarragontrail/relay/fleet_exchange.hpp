#pragma once

#include "tarragontrail/net/peer_network.hpp"
#include "tarragontrail/relay/exchange_cells.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <functional>
#include <map>
#include <string>

namespace tarragontrail::relay {

/// Settings of fleet_exchange.
struct fleet_exchange_settings
{
    net::peer_link_settings m_links; ///< Bounds on what links hold; their times are set here.
    /// Heartbeat interval in a small cell.
    std::chrono::milliseconds m_min_heartbeat_interval{200};
    /// The interval grows by this much per instance of the cell.
    std::chrono::milliseconds m_heartbeat_interval_per_instance{14};
    /// Upper bound of the heartbeat interval.
    std::chrono::milliseconds m_max_heartbeat_interval{1'000};
    /// Interval of digests to other cells in a small fleet.
    std::chrono::milliseconds m_min_digest_interval{400};
    /// The interval grows by this much per cell.
    std::chrono::milliseconds m_digest_interval_per_cell{40};
    /// Upper bound of the digest interval: loads are forgotten after twice that time.
    std::chrono::milliseconds m_max_digest_interval{700};
    /// Interval of checks for what must not wait for the next heartbeat or digest.
    std::chrono::milliseconds m_urgent_check_interval{60};
    /// Least interval of urgent reports on the demand of a whole cell, per cell of the fleet.
    std::chrono::milliseconds m_cell_demands_interval_per_cell{10};
    /// Notices of parts that go to more cells than this are collected by the cell's speaker.
    std::size_t m_max_direct_cells = 3;
    /// Least interval at which they are sent, per cell of the fleet.
    std::chrono::milliseconds m_notice_interval_per_cell{10};
    /// Notices of parts that are collected at most until they are sent.
    std::size_t m_max_collected_notices = 1'024;
    /// Lower bound of the time without a heartbeat after which an instance is down.
    std::chrono::milliseconds m_min_peer_timeout{1'000};
    /// At least this many heartbeats must be missing before an instance is down.
    std::uint64_t m_missed_heartbeats = 3;
    /// Interval of log lines on messages that could not be queued.
    std::chrono::seconds m_unsent_report_interval{10};
    /// Interval of log lines on what the links have carried, by type of message.
    std::chrono::seconds m_traffic_report_interval{10};
};

/// Receives what the exchange does not handle itself, and adds to its heartbeats.
class fleet_exchange_listener
{
public:
    virtual ~fleet_exchange_listener() = default;

    /// Fills in table versions, readiness and rollout state of this instance.
    virtual void fill_heartbeat(wire::instance_pulse& heartbeat, core::time_point now) = 0;

    /// A peer reported the versions of the tables that it holds.
    virtual void on_versions(core::instance_id peer, const wire::table_versions& versions,
                             core::time_point now) = 0;

    /// Some instance sent an order, or an order took effect, this long ago.
    virtual void on_order_age(core::duration age, core::time_point now) = 0;

    /// An engine is being sent a part; `from` is the instance or cell that its load counts for.
    virtual void on_part_notice(core::instance_id from, const wire::part_notice& notice) = 0;

    /// Any other message.
    virtual void on_message(core::instance_id from, const wire::message& message) = 0;
};

/// Exchanges state and messages among the instances of the fleet.
///
/// Within a cell every instance sends to every other. Between cells each has a speaker that sends
/// sums over its instances, and a message for another cell goes to one instance there, which passes
/// it on: traffic between regions and failure domains is limited and billed.
class fleet_exchange : public net::peer_network_listener
{
public:
    fleet_exchange(boost::asio::io_context& context, const fleet_exchange_settings& settings,
                   const fleet_member& self, const net::tcp::endpoint& endpoint, relay_state& state,
                   instance_registry& registry, fleet_exchange_listener& listener);

    /// Starts the periodic heartbeats and digests.
    void start();

    /// Sends a heartbeat now instead of at the next interval, for state changes that must not wait.
    void broadcast_heartbeat();

    /// Takes over the members of the registry, after they changed.
    void update_members();

    /// Sends to every other instance of this region.
    void send_to_region(const wire::message& message);

    /// Sends to every other instance of the fleet.
    void send_to_fleet(const wire::message& message);

    /// Tells all instances of a part that an engine is being sent; other cells of a large fleet
    /// learn of it a moment later.
    void announce_part(const wire::part_notice& notice);

    /// Messages and bytes of all links since the start.
    const net::peer_traffic& traffic() const noexcept { return m_network.traffic(); }

    /// Sends to one instance.
    void send_to(core::instance_id peer, const wire::message& message);

    /// Asks one instance of any cell for its status, on a new link if theirs is quiet.
    void ask_presence(core::instance_id peer);

private:
    /// Outcomes of requests at an upstream.
    struct outcome_counts
    {
        std::uint64_t m_served = 0;
        std::uint64_t m_failed = 0;
    };

    void on_peer_message(core::instance_id from, const wire::message& message) override;
    void handle(core::instance_id from, const wire::message& message);
    void on_relay(core::instance_id from, const wire::cell_relay& relay);
    void on_heartbeat(core::instance_id from, const wire::instance_pulse& heartbeat);
    void on_digest(core::instance_id from, const wire::cell_digest& digest);
    void on_demands(core::instance_id from, const wire::cell_demands& changes);
    void on_presence_request(core::instance_id from);
    void on_presence_answer(core::instance_id from, const wire::presence_answer& answer);
    void on_part_notices(core::instance_id from, const wire::part_notices& notices);
    void apply_state(const wire::member_state& state, core::time_point now);
    void apply_loads(core::instance_id from, const std::vector<wire::upstream_pulse>& loads,
                     core::time_point now);
    void apply_outcomes(const std::vector<wire::upstream_pulse>& loads, core::time_point now);
    void apply_limits(const std::vector<wire::upstream_limit>& limits);
    wire::instance_pulse make_status(core::time_point now);
    wire::instance_pulse make_base_heartbeat(core::time_point now);
    wire::instance_pulse make_heartbeat(core::time_point now);
    wire::cell_digest make_digest(core::time_point now);
    wire::cell_demands make_cell_demands(const std::vector<core::workspace_id>& workspaces,
                                         core::time_point now);
    void count_outcomes(const std::vector<wire::upstream_pulse>& loads);
    void send_digests();
    void send_urgent_demands(core::time_point now);
    void send_cell_demands(core::time_point now);
    void send_collected_notices(core::time_point now);
    bool collects_notices() const;
    bool is_speaker(core::time_point now) const;
    void send_to_cell(const net::encoded_message& message);
    /// Sends to other cells of a region, or of all regions if none is named.
    void send_to_other_cells(const net::encoded_message& message, const std::string* region);
    /// Sends to an instance; counts the message when its link does not accept it.
    void send(core::instance_id peer, const net::encoded_message& message);
    void report_unsent(core::time_point now);
    void report_traffic(core::time_point now);
    std::chrono::milliseconds digest_interval() const;
    std::chrono::milliseconds scaled_by_cells(std::chrono::milliseconds per_cell) const;
    void schedule_heartbeat();
    void schedule_digest();
    void schedule_urgent();
    core::instance_id receiver_in(const exchange_cell& cell, core::time_point now);
    static core::instance_id cell_peer_id(const std::string& cell);

    fleet_exchange_settings m_settings;
    fleet_member m_self;
    /// Receives loads, demands and cached parts of peers.
    relay_state& m_state;
    instance_registry& m_registry;
    fleet_exchange_listener& m_listener;
    net::peer_network m_network;
    net::timer m_heartbeat_timer;
    net::timer m_urgent_timer;
    net::timer m_digest_timer;
    core::time_point m_last_cell_demands_check{};
    core::time_point m_last_notices{};
    exchange_cells m_cells;
    /// Last heartbeat of each other instance of this cell.
    std::map<core::instance_id, wire::instance_pulse> m_last_heartbeats;
    /// Outcomes in this cell since the last digest, for other cells of the region.
    std::map<core::upstream_id, outcome_counts> m_cell_outcomes;
    /// Parts used in this cell since notices were sent to other cells.
    std::vector<wire::part_notice> m_collected_notices;
    core::time_point m_last_traffic_report{};
    core::time_point m_last_unsent_report{};
    /// Messages not accepted since the last report.
    std::map<core::instance_id, std::uint64_t> m_unsent_by_peer;
};

} // namespace tarragontrail::relay
