#pragma once

#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/membership/messages.hpp"
#include "tarragontrail/recovery/messages.hpp"
#include "tarragontrail/routing/messages.hpp"
#include "tarragontrail/wire/decode_error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::wire {

/// Asks an engine's watcher for the cached depth of a chain.
using lookup_request = routing::lookup_request;

/// Answer to a lookup.
using lookup_reply = routing::lookup_reply;

/// Hashing depth of a group of chains.
using anchor_hint = routing::anchor_hint;

/// Asks a home for tokens.
using loan_request = limits::loan_request;

/// Answers a loan request.
using loan_reply = limits::loan_reply;

/// Ends a loan.
using loan_settle = limits::loan_settle;

/// Fullness of a share.
using share_hint = limits::share_hint;

/// Age of a failure domain's last word.
using domain_age = config::domain_age;

/// Freshness of the sender's keys and bundle.
using freshness_word = config::freshness_word;

/// A withdrawn key.
using withdrawal = config::withdrawal;

/// Asks for withdrawals and head row.
using state_request = config::state_request;

/// Withdrawals and head row.
using state_answer = config::state_answer;

/// Asks for a document.
using bundle_request = config::bundle_request;

/// A document.
using bundle_answer = config::bundle_answer;

/// What the sender holds of a member.
using member_word = membership::member_word;

/// Item spread to all instances.
using gossip_item = membership::gossip_item;

/// Asks for an answer.
using ping = membership::ping;

/// Answers a ping.
using ping_ack = membership::ping_ack;

/// Asks for a ping on the sender's behalf.
using ping_request = membership::ping_request;

/// Asks for a view.
using view_request = membership::view_request;

/// A view.
using view_answer = membership::view_answer;

/// One crash.
using crash_identity = recovery::crash_identity;

/// Requests in flight at a crash.
using crash_report = recovery::crash_report;

/// A request is refused everywhere.
using quarantine_notice = recovery::quarantine_notice;

/// Suspects that were cleared.
using exoneration_notice = recovery::exoneration_notice;

/// First message on a link: names the sender.
struct hello
{
    core::instance_id m_sender{};  ///< Sending instance.
    core::incarnation m_started{}; ///< Sender's incarnation.
};

/// Shows that a link is alive; carries nothing.
struct link_heartbeat
{};

/// A watcher's answer with the engine's last load report, so that load needs no messages of its
/// own.
struct lookup_answer
{
    lookup_reply m_reply;                   ///< Answer to the lookup.
    bool m_has_load{};                      ///< The load fields are valid.
    core::incarnation m_load_incarnation{}; ///< Incarnation that reported.
    std::uint64_t m_queued_tokens{};        ///< Prompt tokens waiting for prefill.
    std::uint64_t m_running{};              ///< Requests being decoded.
    double m_prefill_tokens_per_second{};   ///< Recent prefill rate.
    double m_decode_tokens_per_second{};    ///< Recent decode rate.
    std::chrono::milliseconds m_load_age{}; ///< Age of the report when sent.
};

/// Any message between entry instances.
using message =
    std::variant<hello, link_heartbeat, lookup_request, lookup_answer, anchor_hint, loan_request,
                 loan_reply, loan_settle, share_hint, withdrawal, state_request, state_answer,
                 bundle_request, bundle_answer, ping, ping_ack, ping_request, view_request,
                 view_answer, crash_report, quarantine_notice, exoneration_notice>;

/// CBOR bytes of a message.
std::string encode(const message& value);

/// Message in CBOR bytes; throws decode_error on anything else.
message decode(const std::string& bytes);

} // namespace tarragontrail::wire
