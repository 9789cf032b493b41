#pragma once

#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::membership {

/// State of one member as the sender knows it: a membership update of the SWIM protocol.
struct member_word
{
    core::instance_id m_member{};
    core::incarnation m_incarnation{}; ///< Start of the member's process.
    std::uint64_t m_refutation = 0;    ///< Counter that the member raises to refute a suspicion.
    std::uint64_t m_liveness = 0;      ///< Value of membership::liveness.
};

/// Typed item that gossip disseminates to all instances.
struct gossip_item
{
    std::uint64_t m_kind = 0;  ///< Component that the item belongs to.
    std::uint64_t m_key = 0;   ///< Subject of the item, unique within the kind.
    std::uint64_t m_order = 0; ///< An item replaces one of the same subject with a lower order.
    std::string m_payload;     ///< Content, encoded by the component.
};

/// Probes the receiver, which answers with a ping_ack; carries gossip.
struct ping
{
    core::instance_id m_sender{};
    core::view_number m_view{};         ///< Number of the sender's view.
    std::uint64_t m_sequence = 0;       ///< Echoed in the ping_ack.
    std::vector<member_word> m_members; ///< Membership updates.
    std::vector<gossip_item> m_items;   ///< Gossip items of other components.
    config::freshness_word m_freshness; ///< Filled in by the I/O layer when the message is sent.
};

/// Answers a ping or, on behalf of `m_subject`, a ping_request.
struct ping_ack
{
    core::instance_id m_sender{};
    core::instance_id m_subject{};      ///< Member that answered the ping.
    core::view_number m_view{};         ///< Number of the sender's view.
    std::uint64_t m_sequence = 0;       ///< Sequence of the ping or ping_request answered.
    std::vector<member_word> m_members; ///< Membership updates.
    std::vector<gossip_item> m_items;   ///< Gossip items of other components.
    config::freshness_word m_freshness; ///< Filled in by the I/O layer when the message is sent.
};

/// Asks the receiver to ping a member on the sender's behalf (indirect probe).
struct ping_request
{
    core::instance_id m_sender{};
    core::instance_id m_target{};
    core::view_number m_view{};         ///< Number of the sender's view.
    std::uint64_t m_sequence = 0;       ///< Echoed in the ping_ack.
    std::vector<member_word> m_members; ///< Membership updates.
};

/// Requests a peer's view.
struct view_request
{
    core::instance_id m_sender{};
};

/// Answers view_request.
struct view_answer
{
    core::instance_id m_sender{};
    std::uint64_t m_revision = 0; ///< Version of the view's row in the table service.
    std::string m_row;            ///< Value of the row: the serialized view.
};

} // namespace tarragontrail::membership
