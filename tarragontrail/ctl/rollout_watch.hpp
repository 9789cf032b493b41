#pragma once

#include "tarragontrail/ctl/command.hpp"

#include <string>
#include <vector>

namespace tarragontrail::ctl {

/// What a roll-out has reached, as seen by one look at the fleet.
struct rollout_progress
{
    std::uint64_t m_head_version = 0;      ///< Version of the head; zero while unknown.
    std::vector<std::uint64_t> m_versions; ///< Version of each instance; zero while unknown.

    bool operator==(const rollout_progress&) const = default;

    /// Whether every instance has the head's version.
    bool is_complete() const noexcept;
};

/// Polls the fleet until every instance of the settings has the head's version.
class rollout_watch
{
public:
    explicit rollout_watch(command_context& context) : m_context(context) {}

    /// Returns when the roll-out is complete; prints each change meanwhile.
    command_result run();

private:
    rollout_progress look();
    nlohmann::json document_of(const rollout_progress& progress) const;
    void print(const rollout_progress& progress);

    command_context& m_context; ///< Client and output.
};

} // namespace tarragontrail::ctl
