#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/load/answer_check.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::load {

/// Smallest value that at least `percent` of the values do not exceed; zero for no values.
std::chrono::milliseconds percentile(std::vector<core::duration> values, double percent);

/// How one request ended.
struct request_outcome
{
    std::size_t m_workspace = 0;         ///< Workspace's index.
    bool m_service = false;              ///< Call of the plain service.
    bool m_ok = false;                   ///< Answered whole.
    std::string m_failure;               ///< Kind of failure; empty when ok.
    bool m_refused = false;              ///< Its last answer was a refusal.
    bool m_conforms = true;              ///< Within the workspace's rate each time it was sent.
    std::uint64_t m_refusals = 0;        ///< Refusals on the way.
    std::uint64_t m_resumes = 0;         ///< Streams resumed on the way.
    bool m_refused_within_rate = false;  ///< Refused at least once although within rate.
    std::uint64_t m_demand_tokens = 0;   ///< Prompt and expected answer.
    std::uint64_t m_distinct_tokens = 0; ///< Tokens that no earlier request had.
    answer_usage m_usage;                ///< Counts told by the engine.
    std::optional<core::duration> m_first_token; ///< Time from sending to the first token.
};

/// Sums over one workspace.
struct workspace_tally
{
    std::string m_name;                        ///< Workspace's name.
    std::uint64_t m_requests = 0;              ///< Chat requests ended.
    std::uint64_t m_ok = 0;                    ///< Answered whole.
    std::uint64_t m_refused = 0;               ///< Ended by a refusal.
    std::uint64_t m_refused_within_rate = 0;   ///< Refused at least once although within rate.
    double m_demand_tokens = 0;                ///< Tokens asked for.
    double m_served_tokens = 0;                ///< Tokens of requests answered whole.
    double m_entitled_tokens = 0;              ///< Tokens that its rate allows; zero for no bound.
    std::vector<core::duration> m_first_token; ///< Of requests within rate.

    /// Served tokens over the smaller of demand and entitlement.
    double goodput() const;
};

/// Statistics of stand-in engines, summed.
struct engine_totals
{
    std::uint64_t m_prompt_tokens = 0;     ///< Prompt tokens.
    std::uint64_t m_computed_tokens = 0;   ///< Tokens computed in prefill.
    std::uint64_t m_recomputed_tokens = 0; ///< Of these, computed before by the same engine.
    std::uint64_t m_keys_seen = 0;         ///< Requests that carried a caller's key.
};

/// Measures of a run.
class load_report
{
public:
    explicit load_report(const std::vector<std::string>& workspaces);

    /// Counts one ended request.
    void add(const request_outcome& outcome);

    /// Sets what a workspace's rate allows.
    void set_entitlement(std::size_t workspace, double tokens);

    /// Adds what the engines did during the run.
    void set_engines(const engine_totals& before, const engine_totals& after);

    /// Adds the most executions that one idempotency key had.
    void set_executions_per_key(std::uint64_t most) { m_executions_per_key = most; }

    /// Counts requests that had no answer when the run ended.
    void set_unanswered(std::uint64_t count);

    /// False when an answer was cut, out of order or crossed, or a call ran twice.
    bool is_sound() const;

    /// All figures.
    nlohmann::json to_json() const;

    /// All figures as a table.
    std::string to_table() const;

    /// Requests ended.
    std::uint64_t ended() const noexcept { return m_requests + m_service_calls; }

private:
    const workspace_tally& worst_workspace() const;

    std::vector<workspace_tally> m_workspaces;         ///< Sums by workspace.
    std::map<std::string, std::uint64_t> m_failed;     ///< Failures by kind.
    std::vector<core::duration> m_first_token;         ///< Of all chat requests within rate.
    std::uint64_t m_requests = 0;                      ///< Chat requests.
    std::uint64_t m_ok = 0;                            ///< Chat requests answered whole.
    std::uint64_t m_refused = 0;                       ///< Chat requests that ended refused.
    std::uint64_t m_refusals = 0;                      ///< Refusals, also those retried.
    std::uint64_t m_resumes = 0;                       ///< Streams resumed.
    std::uint64_t m_refused_within_rate = 0;           ///< Requests refused although within rate.
    std::uint64_t m_service_calls = 0;                 ///< Service calls.
    std::uint64_t m_service_ok = 0;                    ///< Service calls answered.
    std::uint64_t m_prompt_tokens = 0;                 ///< Told by the engines.
    std::uint64_t m_cached_tokens = 0;                 ///< Told by the engines.
    std::uint64_t m_distinct_tokens = 0;               ///< Tokens that had to be computed once.
    std::optional<engine_totals> m_engines;            ///< Work of the engines.
    std::optional<std::uint64_t> m_executions_per_key; ///< Most executions of one call.
};

} // namespace tarragontrail::load
