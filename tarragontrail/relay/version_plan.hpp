#pragma once

#include "tarragontrail/relay/store_clock.hpp"
#include "tarragontrail/relay/upstream_identity.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tarragontrail::relay {

/// Identity of a caller's stream: hash of the id of the attempt that brought its first event.
enum class stream_id : std::uint64_t
{
};

/// Settings of version_plan.
struct version_plan_settings
{
    /// A share of streams may differ from the share of the upstreams by this much.
    double m_share_tolerance = 0.1;
    /// Between two changes, unless a version has lost all its upstreams.
    std::chrono::milliseconds m_min_interval{1'000};
    /// Assignments that ended longer ago are forgotten.
    std::chrono::milliseconds m_history{60'000};
};

/// Assigns the streams of one service to the software versions of its upstreams.
///
/// The assignment follows from a stream's identity, so that an instance that knows nothing but the
/// plan can tell at which version a stream began: identities are spread over slots, and the plan
/// names the version of each slot and since when. Slots move as upstreams come and go; a stream
/// whose slot moved while it may have begun has more than one possible version.
class version_plan
{
public:
    static constexpr std::size_t slot_count = 64;

    /// A slot was assigned to a version.
    struct assignment
    {
        std::uint64_t m_slot = 0;
        software_version m_version;
        store_time m_since{};

        bool operator==(const assignment&) const = default;
    };

    /// Without an assignment.
    version_plan() = default;

    /// Plan that was stored; assignments of slots that do not exist are ignored.
    version_plan(std::uint64_t number, const std::vector<assignment>& assignments);

    /// Grows with each change; zero for a plan without assignments.
    std::uint64_t number() const noexcept { return m_number; }

    /// All assignments that are kept, by slot and time.
    std::vector<assignment> assignments() const;

    /// Version at which a stream begins now; nothing when its slot has none.
    std::optional<software_version> version_of_new(stream_id stream) const;

    /// Versions at which a stream that began at `since` or later may have begun.
    std::vector<software_version> possible_versions(stream_id stream, store_time since) const;

    /// Versions at which any stream that began at `since` or later may have begun.
    std::vector<software_version> all_versions(store_time since) const;

    /// Time of the last assignment.
    store_time last_change() const noexcept { return m_changed; }

    /// Time from which on the plan shows every assignment that was in use; streams that began
    /// earlier may have begun by one that it does not show.
    store_time whole_since() const noexcept { return m_whole_since; }

    /// The same plan, whole from this time on.
    version_plan whole_from(store_time since) const;

    /// The same plan under another number.
    version_plan numbered(std::uint64_t number) const;

    /// This plan, in force from now on, with what another one shows that was in use until now.
    version_plan joined(const version_plan& other, store_time now,
                        const version_plan_settings& settings) const;

    /// Whether the plan shows all versions at which a stream that began at `since` or later may
    /// have begun by another plan.
    bool shows(const version_plan& other, store_time since) const;

    /// The same plan with the last assignments made at this time instead.
    version_plan moved_to(store_time time) const;

    /// Same, as a change of this plan.
    version_plan dated(store_time time) const;

    /// Number of slots of each version.
    std::map<software_version, std::size_t> shares() const;

    /// Plan for upstreams with these capacities, in requests at a time; nothing when this plan is
    /// good enough or there is no capacity at all.
    std::optional<version_plan> adapted(const std::map<software_version, std::uint64_t>& capacities,
                                        store_time now,
                                        const version_plan_settings& settings) const;

private:
    /// Time from which a slot has a version; it ends with the next period.
    struct period
    {
        software_version m_version;
        store_time m_since{};

        bool operator==(const period&) const = default;
    };

    static std::size_t slot_of(stream_id stream);
    static std::optional<std::size_t> repeated_from(const std::vector<period>& earlier,
                                                    const std::vector<period>& later,
                                                    store_time oldest);
    static std::vector<period> continued_slot(const std::vector<period>& earlier,
                                              std::vector<period> later, store_time oldest);
    static std::vector<period> parted_slot(const std::vector<period>& present,
                                           const std::vector<period>& other, store_time now);
    static void add_versions(const std::vector<period>& slot, store_time since,
                             std::vector<software_version>& versions);
    bool is_good_enough(const std::map<software_version, std::uint64_t>& capacities,
                        std::uint64_t total, store_time now,
                        const version_plan_settings& settings) const;
    void forget_before(store_time oldest);

    std::uint64_t m_number = 0;
    std::array<std::vector<period>, slot_count> m_slots; ///< Oldest period first.
    store_time m_changed{};                              ///< Time of the last assignment.
    store_time m_whole_since = store_time::min();
};

} // namespace tarragontrail::relay
