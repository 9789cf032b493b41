#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/membership/gossip_buffer.hpp"
#include "tarragontrail/membership/messages.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace tarragontrail::membership {

/// What an instance holds of a member's process.
enum class liveness : std::uint8_t
{
    alive,     ///< Answers, or was never found silent.
    suspected, ///< Did not answer; may refute.
    left,      ///< Said that it stops; still answers until its requests are done.
    failed,    ///< Did not answer or refute in time.
};

/// Text of a state for logs and operators.
const char* to_string(liveness state) noexcept;

/// Settings of failure_detector.
struct failure_detector_settings
{
    std::chrono::milliseconds m_period{1000};            ///< One member is pinged each period.
    std::chrono::milliseconds m_ack_timeout{200};        ///< Wait for a direct answer.
    std::chrono::milliseconds m_suspicion_timeout{4000}; ///< Time to refute a suspicion.
    std::size_t m_indirect_probes = 3;                   ///< Members asked to ping a silent one.
    std::size_t m_max_extra_probes = 2; ///< Silent members probed besides, each period.
    std::size_t m_max_updates = 8;      ///< Member words in one message.
    std::size_t m_max_item_bytes = 512; ///< Bytes of gossip items in one message.
};

/// Action: send a ping.
struct send_ping
{
    core::instance_id m_to{}; ///< Receiver.
    ping m_message;           ///< Message.
};

/// Action: send a ping_ack.
struct send_ping_ack
{
    core::instance_id m_to{}; ///< Receiver.
    ping_ack m_message;       ///< Message.
};

/// Action: send a ping_request.
struct send_ping_request
{
    core::instance_id m_to{}; ///< Receiver.
    ping_request m_message;   ///< Message.
};

/// Action: what is held of a member changed.
struct member_changed
{
    core::instance_id m_member{};          ///< Member.
    core::incarnation m_incarnation{};     ///< Start of its process.
    liveness m_liveness = liveness::alive; ///< New state.
};

/// Action: a gossip item that was not known before arrived.
struct item_received
{
    gossip_item m_item; ///< Item.
};

/// Action: a peer's freshness arrived.
struct freshness_received
{
    config::freshness_word m_word;                  ///< Its word.
    std::optional<core::time_point> m_ping_sent_at; ///< Moment of the ping that it answers, if any.
};

/// Action: a peer carried this view number.
struct view_number_received
{
    core::instance_id m_sender{}; ///< Peer.
    core::view_number m_number{}; ///< Number of its view.
};

/// Detects failed members at a cost per period that does not grow with the fleet.
///
/// One member is pinged each period, in shuffled rounds; a silent one is pinged through others,
/// then suspected. Only an instance whose own probes all failed for the whole suspicion time
/// declares a failure; a suspected or failed process that hears of it refutes it.
class failure_detector
{
public:
    using action = std::variant<send_ping, send_ping_ack, send_ping_request, member_changed,
                                item_received, freshness_received, view_number_received>;

    failure_detector(const failure_detector_settings& settings,
                     const gossip_buffer_settings& gossip, core::instance_id self,
                     core::incarnation started, std::uint64_t seed);

    /// Replaces the set of members to watch; the own id is ignored.
    void set_members(const std::vector<core::instance_id>& members);

    /// Carried in every message.
    void set_view(core::view_number number) noexcept { m_view = number; }

    void start(core::time_point now);
    void on_timer(core::time_point now);
    void on_ping(const ping& message, core::time_point now);
    void on_ping_ack(const ping_ack& message, core::time_point now);
    void on_ping_request(const ping_request& message, core::time_point now);

    /// Spreads an item to all instances; returns whether it is news.
    bool spread(gossip_item item) { return m_gossip.add(std::move(item)); }

    /// Tells all instances that this one stops.
    void leave();

    /// What is held of a member or of this instance; none when it is not watched.
    std::optional<liveness> state_of(core::instance_id member) const noexcept;

    /// Process start last heard of a member; zero when none was.
    core::incarnation incarnation_of(core::instance_id member) const noexcept;

    /// Whether this instance itself heard from the member since it became a member.
    bool has_received_from(core::instance_id member) const noexcept;

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// What is held of one member.
    struct peer
    {
        core::incarnation m_incarnation{};     ///< Start of its process.
        std::uint64_t m_refutation = 0;        ///< Its refutation count.
        liveness m_liveness = liveness::alive; ///< State.
        bool m_received = false;               ///< Whether a message of it arrived.
        std::optional<core::time_point> m_probes_failing_since; ///< Set while the own probes fail.
    };

    /// A word that is being spread.
    struct pending_update
    {
        std::size_t m_transmissions = 0; ///< Transmissions so far.
        core::instance_id m_member{};    ///< Member that it is about.

        bool operator<(const pending_update& other) const noexcept
        {
            return m_transmissions != other.m_transmissions
                       ? m_transmissions < other.m_transmissions
                       : m_member < other.m_member;
        }
    };

    /// A probe under way.
    struct probe
    {
        core::instance_id m_target{}; ///< Member being probed.
        std::uint64_t m_sequence = 0; ///< Sequence of its messages.
        core::time_point m_sent_at{}; ///< Start.
        bool m_indirect_sent = false; ///< Whether it was sent a second time through others.
    };

    /// A ping made for another instance.
    struct forwarded_ping
    {
        std::uint64_t m_sequence = 0;           ///< Sequence of the own ping.
        core::instance_id m_requester{};        ///< Instance that asked.
        std::uint64_t m_requester_sequence = 0; ///< Its sequence.
        core::time_point m_expires_at{};        ///< Moment at which it is dropped.
    };

    // Probes.
    void begin_period(core::time_point now);
    void start_probe(core::instance_id target, core::time_point now);
    void probe_indirectly(probe& current);
    void end_probe(const probe& ended, core::time_point now);
    std::optional<core::instance_id> next_in_round();
    bool is_probed(core::instance_id member) const noexcept;
    std::vector<core::instance_id> pick_intermediaries(core::instance_id target);
    void mark_answered(core::instance_id member);

    // Words.
    member_word own_update() const noexcept;
    member_word update_about(core::instance_id member) const;
    std::vector<member_word> take_updates(core::instance_id receiver);
    void apply_updates(const std::vector<member_word>& updates);
    void apply_update(const member_word& update);
    void refute(const member_word& update);
    void change_state(core::instance_id member, const member_word& update);
    void accept_items(const std::vector<gossip_item>& items);
    void record_message(core::instance_id sender, core::view_number view);
    void answer_requester(const ping_ack& message, core::time_point now);
    std::vector<gossip_item> take_items();

    /// Message with its sender, view and gossip filled in.
    template <class Message>
    Message make_message(core::instance_id receiver)
    {
        Message message;
        message.m_sender = m_self;
        message.m_view = m_view;
        message.m_members = take_updates(receiver);
        if constexpr (requires { message.m_items; })
        {
            message.m_items = take_items();
        }
        return message;
    }

    static constexpr std::size_t transmit_factor = 3; ///< Transmissions of a word per bit of n.

    failure_detector_settings m_settings;                ///< Periods and bounds.
    gossip_buffer m_gossip;                              ///< Items of other duties.
    core::instance_id m_self;                            ///< This instance.
    core::incarnation m_started;                         ///< Start of this process.
    std::uint64_t m_refutation = 0;                      ///< Own refutation count.
    bool m_leaving = false;                              ///< Whether this instance stops.
    core::seeded_random m_random;                        ///< Order of probes.
    core::view_number m_view{};                          ///< Carried in messages.
    std::unordered_map<core::instance_id, peer> m_peers; ///< Members watched.
    std::vector<core::instance_id> m_order;              ///< Members in the order of the round.
    std::size_t m_position = 0;                          ///< Next member of the round.
    std::vector<pending_update>
        m_pending_updates;       ///< Words being spread, one for each member at most.
    std::vector<probe> m_probes; ///< Probes under way.
    std::vector<forwarded_ping> m_forwarded_pings; ///< Pings made for others.
    core::time_point m_next_period{};              ///< Start of the next period.
    std::uint64_t m_last_sequence = 0;             ///< Last sequence given.
    std::vector<action> m_actions;                 ///< Actions not yet taken.
};

} // namespace tarragontrail::membership
