#pragma once

#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::membership {

/// What the sender holds of one member.
struct member_word
{
    core::instance_id m_member{};      ///< Member.
    core::incarnation m_incarnation{}; ///< Start of its process.
    std::uint64_t m_refutation = 0;    ///< Raised by the member to refute a suspicion.
    std::uint64_t m_liveness = 0;      ///< Value of membership::liveness.
};

/// Typed item that gossip spreads to all instances.
struct gossip_item
{
    std::uint64_t m_kind = 0;  ///< Duty that the item belongs to.
    std::uint64_t m_key = 0;   ///< Subject within the kind.
    std::uint64_t m_order = 0; ///< A higher one replaces a lower one of the same subject.
    std::string m_payload;     ///< Content in the duty's own encoding.
};

/// Asks for a ping_ack; carries gossip.
struct ping
{
    core::instance_id m_sender{};       ///< Sender.
    core::view_number m_view{};         ///< Sender's view.
    std::uint64_t m_sequence = 0;       ///< Echoed in the answer.
    std::vector<member_word> m_members; ///< Words on members.
    std::vector<gossip_item> m_items;   ///< Items of other duties.
    config::freshness_word m_freshness; ///< Stamped by the shell when the message is sent.
};

/// Answers a ping, also on behalf of `m_subject` after a ping_request.
struct ping_ack
{
    core::instance_id m_sender{};       ///< Sender.
    core::instance_id m_subject{};      ///< Member that was found alive.
    core::view_number m_view{};         ///< Sender's view.
    std::uint64_t m_sequence = 0;       ///< Sequence of the ping or ping_request answered.
    std::vector<member_word> m_members; ///< Words on members.
    std::vector<gossip_item> m_items;   ///< Items of other duties.
    config::freshness_word m_freshness; ///< Stamped by the shell when the message is sent.
};

/// Asks the receiver to ping a member on the sender's behalf.
struct ping_request
{
    core::instance_id m_sender{};       ///< Sender.
    core::instance_id m_target{};       ///< Member to ping.
    core::view_number m_view{};         ///< Sender's view.
    std::uint64_t m_sequence = 0;       ///< Echoed in the answer.
    std::vector<member_word> m_members; ///< Words on members.
};

/// Asks a peer for its view.
struct view_request
{
    core::instance_id m_sender{}; ///< Sender.
};

/// Answers view_request.
struct view_answer
{
    core::instance_id m_sender{}; ///< Sender.
    std::uint64_t m_revision = 0; ///< Table version of the view's row.
    std::string m_row;            ///< Value of the row.
};

} // namespace tarragontrail::membership
