#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::config {

/// Age of the last confirmation by one failure domain.
struct domain_age
{
    core::failure_domain_id m_domain{};
    std::chrono::milliseconds m_age{}; ///< Time since one of its instances confirmed.
};

/// Freshness of the sender's keys and bundle; sent with every heartbeat.
struct freshness_word
{
    core::instance_id m_sender{};
    core::failure_domain_id m_domain{}; ///< Failure domain of the sender.
    bool m_store_heard = false; ///< Whether the table service ever confirmed the sender's state.
    std::chrono::milliseconds m_store_age{}; ///< Age of the last confirmation by the table service.
    std::uint64_t m_head_revision = 0;       ///< Table version of the sender's head row.
    std::uint64_t m_withdrawals_hash = 0;    ///< Hash of the set of the sender's withdrawals.
    std::uint64_t m_applied_version = 0; ///< Bundle version that the sender applies; zero for none.
    /// Confirmations by failure domains other than the sender's.
    std::vector<domain_age> m_domains;
};

/// Withdrawal of a key; applying it again has no effect.
struct withdrawal
{
    std::uint64_t m_prefix_high = 0; ///< Digest bytes 0..7, big-endian.
    std::uint64_t m_prefix_low = 0;  ///< Digest bytes 8..15, big-endian.
    /// Bundle version at the withdrawing instance; see make_withdrawal().
    std::uint64_t m_bundle_version = 0;
};

/// Requests the head row and all withdrawals of a peer.
struct state_request
{
    core::instance_id m_sender{};
    std::uint64_t m_sequence = 0; ///< Echoed in the answer.
};

/// Reply to state_request; the freshness is that at the time of sending.
struct state_answer
{
    std::uint64_t m_sequence = 0; ///< Sequence number of the request.
    freshness_word m_word;        ///< Freshness of the sender.
    std::string m_head_row;       ///< Latest head row that the sender received; empty if none.
    std::vector<withdrawal> m_withdrawals; ///< All withdrawals that the sender holds.
};

/// Requests a bundle document or a delta from a peer.
struct bundle_request
{
    core::instance_id m_sender{};
    std::string m_object; ///< Name of the requested object.
};

/// Reply to bundle_request.
struct bundle_answer
{
    core::instance_id m_sender{};
    std::string m_object; ///< Name of the requested object.
    std::string m_bytes;  ///< Content; empty if the sender does not have the object.
};

} // namespace tarragontrail::config
