#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::config {

/// Age of the last word that came from one failure domain.
struct domain_age
{
    core::failure_domain_id m_domain{}; ///< Failure domain.
    std::chrono::milliseconds m_age{};  ///< Time since one of its instances spoke.
};

/// How fresh the sender's keys and bundle are; travels with every heartbeat.
struct freshness_word
{
    core::instance_id m_sender{};            ///< Sender.
    core::failure_domain_id m_domain{};      ///< Sender's failure domain.
    bool m_store_heard = false;              ///< Whether the sender has any word of the store.
    std::chrono::milliseconds m_store_age{}; ///< Age of the store's word as the sender has it.
    std::uint64_t m_head_revision = 0;       ///< Table version of the head row behind that word.
    std::uint64_t m_withdrawals_hash = 0;    ///< Hash over the sender's withdrawals.
    std::uint64_t m_applied_version = 0;     ///< Bundle version that the sender applies.
    std::vector<domain_age> m_domains;       ///< Ages by failure domain.
};

/// A key that must not be used any more; idempotent.
struct withdrawal
{
    std::uint64_t m_prefix_high = 0;    ///< Digest bytes 0..7, big-endian.
    std::uint64_t m_prefix_low = 0;     ///< Digest bytes 8..15, big-endian.
    std::uint64_t m_bundle_version = 0; ///< Bundle version at the instance that withdrew it.
};

/// Asks a peer for all its withdrawals and its head row.
struct state_request
{
    core::instance_id m_sender{}; ///< Sender.
    std::uint64_t m_sequence = 0; ///< Echoed in the answer.
};

/// Answers state_request; the word is stamped when the answer is sent.
struct state_answer
{
    std::uint64_t m_sequence = 0;          ///< Sequence of the request.
    freshness_word m_word;                 ///< Sender's freshness.
    std::string m_head_row;                ///< Value of the head row as last read; may be empty.
    std::vector<withdrawal> m_withdrawals; ///< All withdrawals of the sender.
};

/// Asks a peer for a bundle, or for the change from an older version.
struct bundle_request
{
    core::instance_id m_sender{}; ///< Sender.
    std::string m_object;         ///< Name of the object wanted.
};

/// Answers bundle_request; no bytes when the peer does not hold it.
struct bundle_answer
{
    core::instance_id m_sender{}; ///< Sender.
    std::string m_object;         ///< Name of the object asked for.
    std::string m_bytes;          ///< Content; empty when not held.
};

} // namespace tarragontrail::config
