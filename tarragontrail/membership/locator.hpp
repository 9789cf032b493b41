#pragma once

#include "tarragontrail/membership/view.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace tarragontrail::membership {

class failure_detector;

/// Number and lifetime of the locations in an answer.
struct locator_settings
{
    std::size_t m_addresses = 3;            ///< Locations in one answer.
    std::chrono::milliseconds m_ttl{30000}; ///< Lifetime of an answer while all homes are live.
    std::chrono::milliseconds m_ttl_unsettled{5000}; ///< Lifetime while a home is suspected, failed
                                                     ///< or draining.
};

/// Region and failure domain of a caller.
struct caller_locality
{
    std::optional<core::region_id> m_region;         ///< Region, if known.
    std::optional<core::failure_domain_id> m_domain; ///< Failure domain, if known.
    std::uint64_t m_caller = 0; ///< Hash of the address; distributes callers over instances.
};

/// Address of an instance for callers.
struct location
{
    core::instance_id m_instance{};
    std::string m_address; ///< Numeric IP address.
    std::uint16_t m_port = 0;
};

/// Answer to a locate request.
struct locate_answer
{
    std::vector<location> m_locations; ///< Best first; empty only when no member can take requests.
    std::chrono::milliseconds m_ttl{}; ///< Time that the caller may cache the answer.
};

/// Chooses the instances that the callers of a workspace should use.
class locator
{
public:
    explicit locator(const locator_settings& settings) : m_settings(settings) {}

    /// Returns instances for a workspace with `homes` homes, none of them failed or stopping: homes
    /// in the caller's region first, then other members of that region, then homes and other
    /// members of other regions; suspected members come after all others. Callers are distributed
    /// over the homes, with twice the weight for homes in their own failure domain.
    locate_answer locate(const view& current, const failure_detector& detector,
                         core::workspace_id workspace, std::size_t homes,
                         const caller_locality& locality) const;

private:
    locator_settings m_settings;
};

/// Number of homes for a workspace with this share of the fleet's token rate; `share` is 0 to 1.
std::size_t home_count(double share, std::size_t live_members) noexcept;

} // namespace tarragontrail::membership
