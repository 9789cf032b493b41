#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/load/answer_text.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::load {

/// What the callers send.
struct plan_settings
{
    std::uint64_t m_seed = 1;                           ///< Seed of the whole list.
    std::chrono::milliseconds m_duration{60'000};       ///< Time of the last request.
    double m_rate_per_s = 8;                            ///< Requests of all workspaces, no excess.
    std::size_t m_workspaces = 1;                       ///< Number of workspaces.
    std::size_t m_callers = 60;                         ///< Number of callers.
    std::size_t m_bundles = 20;                         ///< Bundles of each workspace.
    std::size_t m_bundle_pieces = 40;                   ///< Blocks of a bundle.
    std::size_t m_question_bytes = 1200;                ///< Length of a question.
    std::uint64_t m_max_tokens = 120;                   ///< Longest answer.
    double m_short_fraction = 0.1;                      ///< Questions with a short answer.
    double m_service_fraction = 0;                      ///< Calls of the plain service.
    std::chrono::milliseconds m_shift_interval{20'000}; ///< Time between changes of popularity.
    std::optional<std::size_t> m_excess_workspace;      ///< Sends more than its share.
    double m_excess_factor = 1;                         ///< How many times its share.
};

/// Plan of one deployment: "notices" or "tyres".
plan_settings deployment_preset(const std::string& deployment);

/// One request to send.
struct planned_request
{
    core::duration m_at{};       ///< Time since the start.
    std::size_t m_workspace = 0; ///< Workspace's index.
    std::size_t m_caller = 0;    ///< Caller's index.
    std::size_t m_bundle = 0;    ///< Bundle within the workspace.
    std::size_t m_part = 0;      ///< Part of the bundle.
    std::uint64_t m_number = 0;  ///< Number within the workspace; a repeat has the same one.
    bool m_short = false;        ///< Asks for a short answer.
    bool m_service = false;      ///< Calls the plain service.
    bool m_repeat = false;       ///< Second sending of a service call.

    bool operator==(const planned_request&) const = default;
};

/// Requests of a run, made from a seed: workspaces hold bundles, bundles have parts, and a question
/// goes on top, so that prompts share nested prefixes.
class request_plan
{
public:
    explicit request_plan(const plan_settings& settings);

    /// Requests by time.
    const std::vector<planned_request>& requests() const noexcept { return m_requests; }

    /// Messages of a chat request.
    std::vector<chat_message> messages_of(const planned_request& request) const;

    /// Settings that made this plan.
    const plan_settings& settings() const noexcept { return m_settings; }

private:
    void plan_workspace(std::size_t workspace, double rate_per_s);
    std::string filler(std::uint64_t identity, std::size_t bytes) const;

    plan_settings m_settings;                ///< Settings.
    std::vector<double> m_popularity;        ///< Cumulative share of bundles by rank.
    std::vector<double> m_part_popularity;   ///< Cumulative share of a bundle's parts.
    std::vector<planned_request> m_requests; ///< Requests by time.
};

} // namespace tarragontrail::load
