#pragma once

#include "tarragontrail/config/bundle_fetcher.hpp"
#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/config/key_table.hpp"
#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/config/platform_calls.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::config {

/// Settings of bundle_agent.
struct bundle_agent_settings
{
    std::chrono::milliseconds m_poll_interval{2000}; ///< Interval of version polls.
    std::chrono::milliseconds m_call_timeout{1500};  ///< Wait for a reply of the table service.
    std::chrono::milliseconds m_state_request_interval{500}; ///< Least time between state requests.
    std::chrono::milliseconds m_max_persist_delay{5000};     ///< Largest delay before a withdrawal
                                                             ///< learned from a peer is written.
    bundle_fetcher_settings m_fetcher;                       ///< Settings of the fetch.
};

/// Action: send a request for a peer's state.
struct send_state_request
{
    core::instance_id m_to{}; ///< Receiver.
    state_request m_message;  ///< Message.
};

/// Action: answer a peer's state request.
struct send_state_answer
{
    core::instance_id m_to{}; ///< Receiver.
    state_answer m_message;   ///< Message.
};

/// Action: ask a peer for an object.
struct send_bundle_request
{
    core::instance_id m_to{}; ///< Receiver.
    bundle_request m_message; ///< Message.
};

/// Action: answer a peer's request for an object.
struct send_bundle_answer
{
    core::instance_id m_to{}; ///< Receiver.
    bundle_answer m_message;  ///< Message.
};

/// Action: a bundle came into force on this instance.
struct bundle_applied
{
    std::uint64_t m_version = 0; ///< Its version.
};

/// Action: spread a withdrawal to all peers by gossip.
struct gossip_withdrawal
{
    withdrawal m_withdrawal; ///< Withdrawal.
};

/// Whether keyed routes may be served.
enum class agent_state
{
    not_ready,   ///< The head is not known, or its bundle is not held yet.
    provisional, ///< A bundle is held whose place as head is not confirmed; open routes only.
    ready,       ///< The bundle in force is applied.
};

/// How far the withdrawals made on an instance have come.
enum class withdrawal_propagation
{
    pending,  ///< Known to this instance; no other is known to have them.
    on_peers, ///< An instance of every listed failure domain has them.
    in_table, ///< The head row or the bundle has them.
};

/// Keeps one instance's bundle and withdrawals up to date.
///
/// Polls the head row by version, learns it also from peers, fetches documents and applies only
/// higher versions.
class bundle_agent
{
public:
    using action =
        std::variant<table_read, table_write, object_get, send_state_request, send_state_answer,
                     send_bundle_request, send_bundle_answer, bundle_applied, gossip_withdrawal>;

    bundle_agent(const bundle_agent_settings& settings, core::instance_id self,
                 std::string failure_domain, key_table& keys, std::uint64_t seed);

    /// Starts polling.
    void start(core::time_point now);

    /// Timer fired.
    void on_timer(core::time_point now);

    /// Replies of the table service.
    void on_table_read(const read_reply& reply, core::time_point now);
    void on_table_written(const write_reply& reply, core::time_point now);
    void on_table_failed(operation_id operation, core::time_point now);

    /// Replies of the object store; a missing object counts as a failure.
    void on_object(operation_id operation, const std::string& bytes, core::time_point now);
    void on_object_failed(operation_id operation, core::time_point now);

    /// A peer's word arrived with a heartbeat; `requested_at` is set when it answers an own one.
    void on_peer_freshness(const freshness_word& word, std::optional<core::time_point> requested_at,
                           core::time_point now);

    /// Messages of peers.
    void on_state_request(const state_request& request, core::time_point now);
    void on_state_answer(const state_answer& answer, core::time_point now);
    void on_bundle_request(const bundle_request& request, core::time_point now);
    void on_bundle_answer(const bundle_answer& answer, core::time_point now);

    /// A withdrawal arrived by gossip.
    void on_withdrawal(const withdrawal& received, core::time_point now);

    /// An operator withdrew a key here; effective at once, then spread and written to the table.
    void withdraw(key_prefix key, core::time_point now);

    /// How far the withdrawals made here have come; an operator is told of a withdrawal as done
    /// only when it is no longer pending.
    withdrawal_propagation propagation() const;

    /// Members of the current view; peers outside it are not asked any more.
    void set_members(const std::vector<core::instance_id>& members);

    /// Word for the next heartbeat.
    freshness_word make_freshness_word(core::time_point now) const;

    /// Whether keyed routes may be served as far as the bundle goes.
    agent_state state() const noexcept;

    /// Verdict on a key's digest; asked for each request and again while its stream runs.
    key_check_result check_key(const sha256_digest& digest, core::time_point now) const;

    /// Head row as last learned.
    const std::optional<head_row>& head() const noexcept { return m_head; }

    /// Table version of the head row as last learned.
    std::uint64_t head_revision() const noexcept { return m_head_revision; }

    /// Version in force on this instance; zero before the first.
    std::uint64_t applied_version() const noexcept;

    /// Whether every withdrawal held here is in the head row or the bundle.
    bool withdrawals_persisted() const;

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// Call to the platform's services that awaits its reply.
    struct pending_call
    {
        operation_id m_operation{};        ///< Its operation.
        core::time_point m_requested_at{}; ///< Moment of the call.
        core::time_point m_expires_at{};   ///< Moment at which it counts as failed.
        std::string m_object_or_row_text;  ///< Object asked for, or row text being written.
    };

    // Table service.
    pending_call make_pending_call(core::time_point now, std::string subject);
    void read_head_row(bool version_only, core::time_point now);
    void adopt_head(const std::string& text, std::uint64_t revision, core::time_point now);
    void record_table_confirmation(core::time_point requested_at);
    void request_head_copy(core::time_point now);

    // Documents.
    const bundle_ref* target() const noexcept;
    bool has_target_applied() const noexcept;
    void fetch_target(core::time_point now);
    void start_fetch_attempt(core::time_point now);
    void accept_object(const std::string& object, const std::string& bytes, core::time_point now);
    bundle read_document(const std::string& bytes) const;
    void apply(bundle next, core::time_point now);

    // Withdrawals and peers.
    void merge_withdrawal(const withdrawal& received, bool gossip, core::time_point now);
    bool is_persisted(const withdrawal& held) const;
    void record_informed_domain(core::failure_domain_id domain);
    void schedule_persist(core::duration max_duration, core::time_point now);
    void persist_withdrawals(core::time_point now);
    void request_state(core::instance_id peer, core::time_point now);
    core::duration random_duration(core::duration max_duration);

    bundle_agent_settings m_settings;             ///< Intervals.
    core::instance_id m_self;                     ///< This instance.
    std::string m_failure_domain;                 ///< Its failure domain.
    key_table& m_keys;                            ///< Keys, withdrawals and bundle in force.
    core::seeded_random m_random;                 ///< Jitter.
    bundle_fetcher m_fetcher;                     ///< Fetch of the target bundle.
    std::optional<head_row> m_head;               ///< Head row as last learned.
    std::string m_head_text;                      ///< Its text.
    std::uint64_t m_head_revision = 0;            ///< Its table version.
    std::optional<head_row> m_head_copy;          ///< Copy of unknown age from the object store.
    std::optional<pending_call> m_pending_read;   ///< Read under way.
    std::optional<pending_call> m_pending_write;  ///< Write under way.
    std::optional<pending_call> m_pending_fetch;  ///< Object call under way.
    core::time_point m_next_poll_at{};            ///< Moment of the next poll.
    std::optional<core::time_point> m_persist_at; ///< Moment to write unwritten withdrawals.
    core::time_point m_last_withdrawal_at{};      ///< Moment of the last withdrawal made here.
    std::vector<core::failure_domain_id>
        m_informed_domains;                     ///< Domains that answered with all of them.
    core::time_point m_next_state_request_at{}; ///< Earliest moment of a state request.
    core::time_point m_state_requested_at{};    ///< Moment of the last state request.
    std::uint64_t m_state_request_sequence = 0; ///< Sequence of the last state request.
    std::string m_applied_object;               ///< Object name of the document in force.
    std::string m_delta_object;                 ///< Object name of the change that led to it.
    std::string m_delta_text;                   ///< That change, for peers.
    bool m_has_been_ready = false;              ///< Whether the bundle in force was ever held.
    std::optional<core::time_point>
        m_table_confirmed_at;                   ///< Question that the store answered last.
    std::size_t m_consecutive_failed_reads = 0; ///< Reads that failed in a row.
    std::uint64_t m_last_operation = 0;         ///< Last operation id given.
    std::vector<action> m_actions;              ///< Actions not yet taken.
};

} // namespace tarragontrail::config
