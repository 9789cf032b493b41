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
    /// Mean interval between polls of the head row.
    std::chrono::milliseconds m_poll_interval{2000};
    /// Timeout of one call to the platform's services.
    std::chrono::milliseconds m_call_timeout{1500};
    /// Minimum time between state requests to peers.
    std::chrono::milliseconds m_state_request_interval{500};
    std::chrono::milliseconds m_max_persist_delay{5000}; ///< Maximum delay before a withdrawal
                                                         ///< received from a peer is written.
    bundle_fetcher_settings m_fetcher;
};

/// Action: request a peer's head row and withdrawals.
struct send_state_request
{
    core::instance_id m_to{}; ///< Receiver.
    state_request m_message;
};

/// Action: reply to a peer's state request.
struct send_state_answer
{
    core::instance_id m_to{}; ///< Receiver.
    state_answer m_message;
};

/// Action: request an object from a peer.
struct send_bundle_request
{
    core::instance_id m_to{}; ///< Receiver.
    bundle_request m_message;
};

/// Action: reply to a peer's object request.
struct send_bundle_answer
{
    core::instance_id m_to{}; ///< Receiver.
    bundle_answer m_message;
};

/// Action: report that this instance now applies a bundle.
struct bundle_applied
{
    std::uint64_t m_version = 0;
};

/// Action: send a withdrawal to all peers by gossip.
struct gossip_withdrawal
{
    withdrawal m_withdrawal;
};

/// Whether this instance may serve keyed routes, as far as the bundle is concerned.
enum class agent_state
{
    not_ready,   ///< No bundle is applied yet.
    provisional, ///< A bundle is applied but not confirmed to be the head; open routes only.
    ready,       ///< The bundle that the head row names for this instance was applied.
};

/// How far the withdrawals made on this instance have propagated.
enum class withdrawal_propagation
{
    pending,  ///< Not yet confirmed by an instance of every listed failure domain.
    on_peers, ///< Held by at least one instance of every listed failure domain.
    in_table, ///< Stored in the head row or the bundle.
};

/// Keeps the bundle and the withdrawals of one instance up to date.
///
/// Polls the version of the head row in the table service, also accepts the row from peers, fetches
/// the bundle that it names and applies only increasing versions.
class bundle_agent
{
public:
    using action =
        std::variant<table_read, table_write, object_get, send_state_request, send_state_answer,
                     send_bundle_request, send_bundle_answer, bundle_applied, gossip_withdrawal>;

    bundle_agent(const bundle_agent_settings& settings, core::instance_id self,
                 std::string failure_domain, key_table& keys, std::uint64_t seed);

    /// Starts polling the head row.
    void start(core::time_point now);

    /// Handles expired calls and starts what is due. Call at next_deadline().
    void on_timer(core::time_point now);

    /// Results of table service calls.
    void on_table_read(const read_reply& reply, core::time_point now);
    void on_table_written(const write_reply& reply, core::time_point now);
    void on_table_failed(operation_id operation, core::time_point now);

    /// Results of object store reads; a missing object counts as a failure.
    void on_object(operation_id operation, const std::string& bytes, core::time_point now);
    void on_object_failed(operation_id operation, core::time_point now);

    /// A heartbeat with a peer's freshness was received. `requested_at` is the time of this
    /// instance's request if the heartbeat answers one.
    void on_peer_freshness(const freshness_word& status,
                           std::optional<core::time_point> requested_at, core::time_point now);

    /// Messages received from peers.
    void on_state_request(const state_request& request, core::time_point now);
    void on_state_answer(const state_answer& answer, core::time_point now);
    void on_bundle_request(const bundle_request& request, core::time_point now);
    void on_bundle_answer(const bundle_answer& answer, core::time_point now);

    /// A withdrawal was received by gossip.
    void on_withdrawal(const withdrawal& received, core::time_point now);

    /// Withdraws a key by an operator's command: takes effect locally at once, then is sent to
    /// peers by gossip and written to the table.
    void withdraw(key_prefix key, core::time_point now);

    /// How far the withdrawals made here have propagated. A withdrawal is reported to the operator
    /// as done only once this is no longer `pending`.
    withdrawal_propagation propagation() const;

    /// Sets the members of the current view; objects are no longer requested from other instances.
    void set_members(const std::vector<core::instance_id>& members);

    /// Freshness to send with the next heartbeat.
    freshness_word make_freshness_word(core::time_point now) const;

    /// Whether keyed routes may be served, as far as the bundle is concerned.
    agent_state state() const noexcept;

    /// Checks a key by its digest; called for each request and again while its response streams.
    key_check_result check_key(const sha256_digest& digest, core::time_point now) const;

    /// Latest head row received.
    const std::optional<head_row>& head() const noexcept { return m_head; }

    /// Table version of the latest head row received.
    std::uint64_t head_revision() const noexcept { return m_head_revision; }

    /// Bundle version applied on this instance; zero before the first.
    std::uint64_t applied_version() const noexcept;

    /// Whether every withdrawal held here is stored in the head row or the bundle.
    bool withdrawals_persisted() const;

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// Pending call to the table service or the object store.
    struct pending_call
    {
        operation_id m_operation{};
        core::time_point m_requested_at{};
        core::time_point m_expires_at{};  ///< When it counts as failed.
        std::string m_object_or_row_text; ///< Name of the requested object, or row being written.
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

    bundle_agent_settings m_settings;
    core::instance_id m_self;
    std::string m_failure_domain; ///< Failure domain of this instance.
    key_table& m_keys;            ///< Keys, withdrawals and the applied bundle; not owned.
    core::seeded_random m_random; ///< Source of jitter and nonces.
    bundle_fetcher m_fetcher;
    std::optional<head_row> m_head;      ///< Latest head row received.
    std::string m_head_text;             ///< Text of m_head.
    std::uint64_t m_head_revision = 0;   ///< Table version of m_head.
    std::optional<head_row> m_head_copy; ///< Head row copy of unknown age from the object store.
    std::optional<pending_call> m_pending_read;  ///< Pending table read.
    std::optional<pending_call> m_pending_write; ///< Pending table write.
    std::optional<pending_call> m_pending_fetch; ///< Pending object store read.
    core::time_point m_next_poll_at{};
    /// When to write withdrawals that are not in the table yet.
    std::optional<core::time_point> m_persist_at;
    core::time_point m_last_withdrawal_at{}; ///< Time of the last withdrawal made here.
    /// Failure domains that confirmed all of them.
    std::vector<core::failure_domain_id> m_informed_domains;
    core::time_point m_next_state_request_at{}; ///< Earliest time of the next state request.
    core::time_point m_state_requested_at{};    ///< Time of the last state request.
    std::uint64_t m_state_request_sequence = 0; ///< Sequence number of the last state request.
    std::string m_applied_object;               ///< Object name of the applied bundle.
    std::string m_delta_object;    ///< Object name of the delta that led to it; may be empty.
    std::string m_delta_text;      ///< Content of that delta, served to peers.
    bool m_has_been_ready = false; ///< Whether the target of the head row was ever applied.
    /// Time of the request that the table service answered last.
    std::optional<core::time_point> m_table_confirmed_at;
    std::size_t m_consecutive_failed_reads = 0; ///< Table reads that failed in a row.
    std::uint64_t m_last_operation = 0;         ///< Last operation id assigned.
    std::vector<action> m_actions;              ///< Actions not yet taken by the I/O layer.
};

} // namespace tarragontrail::config
