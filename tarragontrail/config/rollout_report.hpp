#pragma once

#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragontrail::config {

/// An instance and the bundle version that it applies.
struct instance_version
{
    core::instance_id m_instance{}; ///< Instance.
    std::string m_failure_domain;   ///< Its failure domain.
    std::uint64_t m_version = 0;    ///< Version; zero when it was not heard.
};

/// Says which instances apply the bundle that the head row wants from them.
class rollout_report
{
public:
    /// An instance said which version it applies; a lower one than before is out of date.
    void record_version(core::instance_id instance, std::uint64_t version);

    /// Forgets what an instance said, as it started anew.
    void forget_instance(core::instance_id instance);

    /// Those of the members that do not apply their target yet. Members come with their failure
    /// domains; their versions are not read.
    std::vector<instance_version> lagging(const head_row& head,
                                          std::vector<instance_version> members) const;

private:
    std::map<core::instance_id, std::uint64_t> m_versions; ///< Versions heard.
};

} // namespace tarragontrail::config
