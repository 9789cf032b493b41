#pragma once

#include "tarragontrail/limits/actions.hpp"
#include "tarragontrail/limits/admission_request.hpp"
#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/outgoing_loan_requests.hpp"
#include "tarragontrail/limits/share_ownership.hpp"
#include "tarragontrail/limits/workspace_limit.hpp"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tarragontrail::limits {

/// Counters since process start, for metrics.
struct admission_counts
{
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_loan_requests_sent = 0;
    std::uint64_t m_loans_granted = 0; ///< Loans received within their lifetime.
    /// Loan requests without an answer within the reply timeout.
    std::uint64_t m_loan_requests_timed_out = 0;
};

/// Admits requests under the fleet-wide rate and burst of their workspaces; one object per
/// instance.
///
/// A charge is taken from the local share first; the rest is borrowed from the workspace's other
/// homes. Tokens count at the moment of admission: in every window, at most burst + rate * window
/// tokens are admitted.
class admission_control
{
public:
    /// Loan ids count up from `loan_seed`, which must differ between two processes of one instance.
    admission_control(const limit_settings& settings, core::instance_id self,
                      std::uint64_t loan_seed);

    /// Forwarded to share_ownership; see there.
    void set_genesis(std::vector<member> members, core::time_point now);
    void set_view(const std::vector<member>& members, core::view_number view, core::time_point now);
    void set_listed_instances(const std::vector<core::instance_id>& listed,
                              core::time_point requested_at, core::time_point now);
    void on_rows_loaded(core::time_point now);
    void on_share_row(const share_row& row, core::time_point now);
    void on_share_row_missing(core::workspace_id workspace, core::time_point now);
    void learn_share_row(const share_row& row, core::time_point now);

    /// Sets a workspace's limit, in whole tokens. Ignored unless `limit_epoch` is newer than the
    /// known one.
    void set_limit(core::workspace_id workspace, std::uint64_t tokens_per_second,
                   std::uint64_t burst_tokens, std::uint64_t limit_epoch, core::time_point now);
    void remove_workspace(core::workspace_id workspace, core::time_point now);

    /// Starts admission of a request. Yields `admitted` or `refused`, immediately or once loan
    /// replies have arrived.
    void admit(core::request_id request, core::workspace_id workspace, std::uint64_t charge_tokens,
               core::time_point deadline, core::time_point now);

    /// Ends an admitted request and refunds its unused tokens.
    void settle(core::request_id request, std::uint64_t used_tokens, core::time_point now);

    /// Cancels a request that has not been dispatched and refunds its whole charge.
    void cancel(core::request_id request, core::time_point now);

    void on_loan_request(core::instance_id from, const loan_request& message, core::time_point now);
    void on_loan_reply(core::instance_id from, const loan_reply& message, core::time_point now);
    void on_loan_settle(core::instance_id from, const loan_settle& message, core::time_point now);
    void on_share_hint(core::instance_id from, const share_hint& message, core::time_point now);

    std::optional<core::time_point> next_deadline() const;
    void on_timer(core::time_point now);
    std::vector<action> take_actions();

    const admission_counts& counts() const noexcept { return m_counts; }
    const share_ownership& ownership() const noexcept { return m_ownership; }

    /// State of a workspace, or nullptr if it is unknown.
    const workspace_limit* find(core::workspace_id workspace) const;

private:
    using request_map = std::unordered_map<core::request_id, admission_request>;

    limit_context make_context(const share_row& row, core::time_point now) const;
    workspace_limit* find_limit(core::workspace_id workspace);
    home_share* find_share(core::workspace_id workspace);
    void apply_ownership_changes(core::time_point now);
    void refuse(core::request_id request, refusal_reason reason,
                std::chrono::milliseconds retry_after);

    void gather_charge(request_map::iterator place, core::time_point now);
    void request_loans(core::request_id request, admission_request& state, core::time_point now);
    void request_loan(core::request_id request, admission_request& state, core::instance_id lender,
                      std::uint64_t amount, core::time_point now);
    void end_workspace_requests(core::workspace_id workspace, core::time_point now);
    void drop_unusable_tokens(admission_request& state, core::time_point now);
    void finish_admission(core::request_id request, admission_request& state);
    void refuse_and_release(request_map::iterator place, core::time_point now);
    void release_tokens(admission_request& state);
    void abandon_loan_requests(admission_request& state);
    void refund(admission_request& state, std::uint64_t unused, core::time_point now);
    home_share* own_share(const admission_request& state);
    void time_out_loan_requests(core::time_point now);
    void send_hints(core::time_point now);
    void send_settlement(core::instance_id lender, core::workspace_id workspace,
                         std::uint64_t loan_id, std::uint64_t used);

    limit_settings m_settings;
    core::instance_id m_self;
    core::view_number m_view{};  ///< Number of the agreed membership view.
    share_ownership m_ownership; ///< Which instance holds which share.
    std::unordered_map<core::workspace_id, workspace_limit> m_limits; ///< By workspace.
    /// Workspaces whose share is held locally.
    std::unordered_set<core::workspace_id> m_held_workspaces;
    request_map m_requests; ///< Requests that are gathering tokens or not yet settled.
    outgoing_loan_requests m_loan_requests; ///< Sent loan requests, by loan id.
    lenders_in_backoff m_lenders_in_backoff;
    std::vector<lender_candidate> m_candidates; ///< Reused buffer of request_loans().
    core::time_point m_next_hint_round;         ///< Time of the next round of share hints.
    admission_counts m_counts;
    std::vector<action> m_actions; ///< Returned by the next take_actions().
};

} // namespace tarragontrail::limits
