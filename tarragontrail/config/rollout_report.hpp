#pragma once

#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragontrail::config {

/// Bundle version that an instance applies.
struct instance_version
{
    core::instance_id m_instance{};
    std::string m_failure_domain;
    std::uint64_t m_version = 0; ///< Zero if not reported.
};

/// Determines which instances do not yet apply the bundle that the head row names for them.
class rollout_report
{
public:
    /// Records the version that an instance reported. A version lower than an earlier one is
    /// outdated and ignored.
    void record_version(core::instance_id instance, std::uint64_t version);

    /// Removes the reported version of an instance after a restart.
    void forget_instance(core::instance_id instance);

    /// Returns the members that do not apply their target yet, with their reported versions. The
    /// versions passed in are ignored.
    std::vector<instance_version> lagging(const head_row& head,
                                          std::vector<instance_version> members) const;

private:
    std::map<core::instance_id, std::uint64_t> m_versions; ///< Highest versions reported.
};

} // namespace tarragontrail::config
