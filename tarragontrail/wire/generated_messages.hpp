#pragma once

#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/core/store_version.hpp"
#include "tarragontrail/limits/demand_share.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/membership/messages.hpp"
#include "tarragontrail/placement/duty_lease.hpp"
#include "tarragontrail/recovery/messages.hpp"
#include "tarragontrail/recovery/part_messages.hpp"
#include "tarragontrail/relay/fleet_member.hpp"
#include "tarragontrail/relay/table_mirror.hpp"
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

/// Prompt parts in flight at a crash.
using part_crash_report = recovery::part_crash_report;

/// Prompt parts on which an answer has begun.
using part_exoneration_notice = recovery::part_exoneration_notice;

/// A request with suspected parts is sent to an engine.
using part_trial_notice = recovery::part_trial_notice;

/// Requests with all of these parts are refused everywhere.
using part_quarantine_notice = recovery::part_quarantine_notice;

/// An instance's demand for one workspace's units.
using workspace_demand = limits::workspace_demand;

/// Position in the history of the table store.
using store_version = core::store_version;

/// How far a copy of a table reaches.
using table_position = relay::table_position;

/// Row of a table.
using table_row = relay::table_row;

/// Every change of a table between two versions.
using change_span = relay::change_span;

/// Row of an instance in the fleet's table.
using member_entry = relay::fleet_member;

/// Holder of a duty.
using duty_row = placement::duty_row;

/// Order that the holder of a duty sent to an engine.
using sent_order = placement::sent_order;

/// Row of a duty that its holder has given back.
using duty_release = placement::duty_release;

/// Row of a duty while it is held.
using duty_holding = placement::duty_holding;

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

/// Row of quarantined prompt parts in the fleet's table.
struct part_quarantine_entry
{
    std::vector<std::uint64_t> m_parts;    ///< Parts.
    std::uint64_t m_until_unix_ms{};       ///< End of the quarantine in milliseconds since 1970.
    std::vector<crash_identity> m_crashes; ///< Crashes explained.
};

/// Row of the fleet's table that keeps the quarantine of a whole request.
struct request_quarantine_entry
{
    std::uint64_t m_fingerprint{};         ///< Request.
    std::uint64_t m_until_unix_ms{};       ///< End of the quarantine in milliseconds since 1970.
    std::vector<crash_identity> m_crashes; ///< Crashes explained.
};

/// Row of the fleet's table that keeps the crashes of a suspended request.
struct request_suspension_entry
{
    std::uint64_t m_fingerprint{};         ///< Request.
    std::uint64_t m_until_unix_ms{};       ///< Time after which the crashes no longer count, in
                                           ///< milliseconds since 1970.
    std::vector<crash_identity> m_crashes; ///< Its crashes, oldest first.
};

/// Row of the fleet's table that keeps a crash of an engine and the requests that it ran.
struct crash_entry
{
    core::upstream_id m_engine{};     ///< Engine.
    core::incarnation m_started{};    ///< Incarnation that crashed.
    std::chrono::milliseconds m_at{}; ///< The store's clock when the crash was first reported.
    std::vector<std::uint64_t> m_fingerprints; ///< Requests.
};

/// When operators named a version of weights.
struct weights_naming
{
    std::uint64_t m_version{};        ///< Version.
    std::chrono::milliseconds m_at{}; ///< The store's clock.
};

/// Row of the fleet's table that keeps when the versions of a model's weights were named.
struct weights_naming_entry
{
    std::string m_model;                   ///< Model.
    std::vector<weights_naming> m_namings; ///< Newest versions, in ascending order.
};

/// What one instance has under way at one upstream, and how requests went there.
struct upstream_pulse
{
    core::upstream_id m_upstream{};        ///< Upstream.
    std::uint64_t m_in_flight{};           ///< Requests under way.
    std::uint64_t m_tokens{};              ///< Their tokens.
    std::chrono::milliseconds m_backlog{}; ///< Work before the first bytes that are owed.
    std::uint64_t m_served{};              ///< Requests served since the last pulse.
    std::uint64_t m_failed{};              ///< Requests failed since the last pulse.
};

/// What one instance says of itself.
struct member_state
{
    core::instance_id m_instance{};       ///< Instance.
    core::incarnation m_started{};        ///< Its incarnation.
    bool m_ready{};                       ///< It serves callers.
    bool m_leaving{};                     ///< It is shutting down.
    bool m_store_reached{};               ///< The platform's store answers it, as far as it knows.
    std::vector<std::uint64_t> m_cut_off; ///< Hashes of the names of services that it cannot reach.
};

/// How far an instance's copies of the followed tables reach.
struct table_versions
{
    table_position m_operators;      ///< Operators' table.
    table_position m_upstreams;      ///< Upstreams' table.
    table_position m_fleet;          ///< Fleet's table.
    std::uint64_t m_configuration{}; ///< Configuration in force; zero before the first one.
    std::chrono::milliseconds
        m_confirmed{}; ///< Time of the store's clock at which the configuration was known to be the
                       ///< newest; zero when it never was.
    std::chrono::milliseconds m_store_time{}; ///< The store's clock; zero when it is not known.
};

/// What an upstream said last of the requests that it takes.
struct upstream_limit
{
    core::upstream_id m_upstream{}; ///< Upstream.
    core::incarnation m_started{};  ///< Its start.
    double m_per_second{}; ///< Requests a second from all instances together; zero for any number.
    std::chrono::milliseconds m_said_at{}; ///< Time of the store's clock at which it said so.
};

/// Regular heartbeat of an instance to the others of its cell.
struct instance_pulse
{
    member_state m_state;                      ///< Sender.
    table_versions m_versions;                 ///< Tables.
    std::chrono::milliseconds m_since_order{}; ///< Time since it last gave an order or saw one take
                                               ///< effect; a day when it never did.
    std::vector<upstream_pulse> m_loads;       ///< Upstreams with work or news.
    std::vector<workspace_demand> m_demands;   ///< Workspaces with a limit.
    std::vector<upstream_limit>
        m_limits; ///< Upstreams that name a limit, or named one a moment ago.
};

/// Asks an instance that is not heard whether it is there.
struct presence_request
{};

/// Answer of an instance that is there.
struct presence_answer
{
    member_state m_state;                      ///< Sender.
    std::chrono::milliseconds m_since_order{}; ///< As in a heartbeat.
};

/// Regular sums over a cell of instances for the other cells.
struct cell_digest
{
    std::string m_cell;                  ///< Cell.
    std::vector<member_state> m_members; ///< Instances that are heard there.
    table_versions m_versions;           ///< Tables.
    std::chrono::milliseconds
        m_since_order{}; ///< Time since any of them gave an order or saw one take effect.
    std::vector<upstream_pulse> m_loads;     ///< Sums over its instances.
    std::vector<workspace_demand> m_demands; ///< Sums over its instances.
    std::vector<upstream_limit>
        m_limits; ///< Upstreams that name a limit, or named one a moment ago.
};

/// Demands that must not wait for the next heartbeat or digest.
struct cell_demands
{
    std::string m_cell; ///< Cell whose sums these are; empty for the sender's own.
    std::vector<workspace_demand> m_demands; ///< Some workspaces with a limit.
};

/// Carries a message to a cell; the receiver passes it on to the others there.
struct cell_relay
{
    std::string m_message; ///< Encoded message.
};

/// An engine is being sent a prompt part that it will keep.
struct part_notice
{
    std::uint64_t m_part{};             ///< Part, weights version and workspace included.
    core::upstream_id m_engine{};       ///< Engine.
    std::uint64_t m_tokens{};           ///< Its length.
    std::chrono::milliseconds m_work{}; ///< Work before the first byte that the request brings;
                                        ///< zero when another notice tells it.
};

/// Parts that engines are being sent.
struct part_notices
{
    std::string m_cell;                 ///< Cell that sends them; empty for the sender itself.
    std::vector<part_notice> m_notices; ///< Notices, oldest first.
};

/// An engine is about to take new weights, or has taken them.
struct weights_notice
{
    core::upstream_id m_engine{}; ///< Engine.
    std::string m_model;          ///< Model.
    bool m_loading{};             ///< It takes no work for now.
    std::uint64_t m_version{};    ///< Version that it has; zero when it is not known.
};

/// Asks for the sender's copy of a table of the platform's store.
struct rows_request
{
    std::uint64_t m_table{}; ///< Table.
};

/// Rows of a copy before they are compressed.
struct packed_rows
{
    std::vector<table_row> m_rows; ///< Rows.
};

/// Copy of a table.
struct rows_answer
{
    std::uint64_t m_table{}; ///< Table.
    store_version m_version; ///< The copy has every change up to this version.
    std::uint64_t m_size{};  ///< Bytes of the rows as a message of their own.
    std::string m_packed;    ///< That message, compressed.
};

/// Changed rows of a table, from an instance that follows the store.
struct rows_news
{
    std::uint64_t m_table{};       ///< Table.
    std::vector<table_row> m_rows; ///< Rows.
    change_span m_span;            ///< Changes that they are.
};

/// Row of a duty in the fleet's table.
struct duty_entry
{
    duty_row m_row; ///< Holder.
};

/// Software version of a slot of a service's streams.
struct version_assignment
{
    std::uint64_t m_slot{};              ///< Slot.
    std::string m_version;               ///< Software version.
    std::chrono::milliseconds m_since{}; ///< Time of the table store's clock.
};

/// Row of a service's version plan in the fleet's table.
struct version_plan_entry
{
    std::string m_service;                         ///< Service.
    std::uint64_t m_number{};                      ///< Grows with each change.
    std::vector<version_assignment> m_assignments; ///< By slot and time.
};

/// Version at which a caller's stream has begun.
struct begun_stream
{
    std::uint64_t m_stream{}; ///< Hash of the service and the stream's identity.
    std::string m_version;    ///< Software version.
};

/// Streams that the sender has begun.
struct streams_notice
{
    std::vector<begun_stream> m_streams; ///< Streams.
};

/// Any message between entry instances.
using message = std::variant<
    hello, link_heartbeat, lookup_request, lookup_answer, anchor_hint, loan_request, loan_reply,
    loan_settle, share_hint, withdrawal, state_request, state_answer, bundle_request, bundle_answer,
    ping, ping_ack, ping_request, view_request, view_answer, crash_report, quarantine_notice,
    exoneration_notice, part_crash_report, part_exoneration_notice, part_trial_notice,
    part_quarantine_notice, part_quarantine_entry, request_quarantine_entry,
    request_suspension_entry, crash_entry, weights_naming_entry, instance_pulse, presence_request,
    presence_answer, cell_digest, cell_demands, cell_relay, part_notices, weights_notice,
    rows_request, packed_rows, rows_answer, rows_news, member_entry, duty_entry, duty_release,
    duty_holding, version_plan_entry, streams_notice>;

/// Number of message types.
inline constexpr std::size_t message_type_count = std::variant_size_v<message>;

/// Name of a message's type by message::index(), for logs and metrics.
const char* message_type_name(std::size_t type) noexcept;

/// CBOR bytes of a message.
std::string encode(const message& value);

/// Message in CBOR bytes; throws decode_error on anything else.
message decode(const std::string& bytes);

} // namespace tarragontrail::wire
