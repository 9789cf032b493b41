#pragma once

#include "tarragontrail/membership/view.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace tarragontrail::membership {

class failure_detector;

/// Settings of locator.
struct locator_settings
{
    std::size_t m_addresses = 3;                     ///< Addresses in one answer.
    std::chrono::milliseconds m_ttl{30000};          ///< Time to keep an answer in a calm fleet.
    std::chrono::milliseconds m_ttl_unsettled{5000}; ///< Time to keep it when a home is suspected
                                                     ///< or draining.
};

/// Where a caller is.
struct caller_locality
{
    std::optional<core::region_id> m_region;         ///< Its region, if known.
    std::optional<core::failure_domain_id> m_domain; ///< Its failure domain, if known.
    std::uint64_t m_caller = 0;                      ///< Hash of its address; spreads callers.
};

/// One address for callers.
struct location
{
    core::instance_id m_instance{}; ///< Instance.
    std::string m_address;          ///< Numeric address.
    std::uint16_t m_port = 0;       ///< Port for callers.
};

/// Answer to a locate request.
struct locate_answer
{
    std::vector<location> m_locations; ///< Best first; empty only when no member is usable.
    std::chrono::milliseconds m_ttl{}; ///< How long to keep it.
};

/// Chooses the instances that a workspace's callers should use.
class locator
{
public:
    explicit locator(const locator_settings& settings) : m_settings(settings) {}

    /// Instances for a workspace of this many homes: homes in the caller's region, other members
    /// there, then homes and others elsewhere; all alive. Callers spread over the homes, twice as
    /// many to one in their own failure domain.
    locate_answer locate(const view& current, const failure_detector& detector,
                         core::workspace_id workspace, std::size_t homes,
                         const caller_locality& locality) const;

private:
    locator_settings m_settings; ///< Counts and times.
};

/// Number of homes for a workspace that has this share of the fleet's tokens a second.
std::size_t home_count(double share, std::size_t live_members) noexcept;

} // namespace tarragontrail::membership
