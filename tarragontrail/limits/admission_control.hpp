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

/// Counts since the start, for metrics.
struct admission_counts
{
    std::uint64_t m_admitted = 0;                ///< Requests admitted.
    std::uint64_t m_refused = 0;                 ///< Requests refused.
    std::uint64_t m_loan_requests_sent = 0;      ///< Loan requests sent.
    std::uint64_t m_loans_granted = 0;           ///< Loans received in time.
    std::uint64_t m_loan_requests_timed_out = 0; ///< Loan requests without an answer in time.
};

/// Admits requests under the fleet-wide rate and burst of their workspaces, one object an instance.
///
/// A charge is taken from the share held here and, for what is missing, from loans of other homes.
/// Admission is the moment that counts: no window sees more than burst + rate * window admitted.
class admission_control
{
public:
    /// `loan_seed` must differ between two processes of one instance.
    admission_control(const limit_settings& settings, core::instance_id self,
                      std::uint64_t loan_seed);

    /// Membership and rows, see share_ownership.
    void set_genesis(std::vector<member> members, core::time_point now);
    void set_view(const std::vector<member>& members, core::view_number view, core::time_point now);
    void set_listed_instances(const std::vector<core::instance_id>& listed,
                              core::time_point asked_at, core::time_point now);
    void on_rows_loaded(core::time_point now);
    void on_share_row(const share_row& row, core::time_point now);
    void on_share_row_missing(core::workspace_id workspace, core::time_point now);
    void learn_share_row(const share_row& row, core::time_point now);

    /// Sets a workspace's limit; an epoch that is not newer than the known one has no effect.
    void set_limit(core::workspace_id workspace, std::uint64_t tokens_per_second,
                   std::uint64_t burst_tokens, std::uint64_t limit_epoch, core::time_point now);
    void remove_workspace(core::workspace_id workspace, core::time_point now);

    /// Asks to run a request; answered by `admitted` or `refused`, at once or after loans.
    void admit(core::request_id request, core::workspace_id workspace, std::uint64_t charge_tokens,
               core::time_point deadline, core::time_point now);

    /// Ends an admitted request and refunds what it did not use.
    void settle(core::request_id request, std::uint64_t used_tokens, core::time_point now);

    /// Withdraws a request that has not been dispatched; everything is refunded.
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

    /// Workspace's state here, nothing when it is unknown.
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

    limit_settings m_settings;                                        ///< Settings.
    core::instance_id m_self;                                         ///< This instance.
    core::view_number m_view{};                                       ///< Agreed view.
    share_ownership m_ownership;                                      ///< Who holds which share.
    std::unordered_map<core::workspace_id, workspace_limit> m_limits; ///< All workspaces.
    std::unordered_set<core::workspace_id> m_held_workspaces; ///< Workspaces with a share here.
    request_map m_requests;                                   ///< Requests not yet settled.
    outgoing_loan_requests m_loan_requests;                   ///< Loan requests sent.
    lenders_in_backoff m_lenders_in_backoff;                  ///< Lenders that timed out.
    std::vector<lender_candidate> m_candidates;               ///< Buffer of request_loans.
    core::time_point m_next_hint_round;                       ///< Next round of hints.
    admission_counts m_counts;                                ///< For metrics.
    std::vector<action> m_actions;                            ///< Actions not yet taken.
};

} // namespace tarragontrail::limits
