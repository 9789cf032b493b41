#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/store_version.hpp"
#include "tarragontrail/relay/version_plan.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragontrail::relay {

/// Settings of stream_versions.
struct stream_versions_settings
{
    /// Longest time until every instance that is in contact with others uses a changed plan.
    std::chrono::milliseconds m_plan_lag{1'500};
    /// Streams that began within this time of a move of their slot are made known to others: the
    /// plan lag and the longest time for which callers go on with a stream.
    std::chrono::milliseconds m_announced_time{11'500};
    /// Without news of the fleet for this long an instance cannot know whether its plans hold.
    std::chrono::milliseconds m_contact_limit{1'200};
    /// Streams that began longer ago are forgotten.
    std::chrono::seconds m_memory{60};
    /// Streams remembered at most; the oldest are forgotten first.
    std::size_t m_memory_limit = 16'384;
};

/// What told the version at which a stream began.
enum class version_evidence
{
    memory, ///< This instance began the stream, or the one that did has told.
    plan,   ///< The stream's slot had one version all the while.
    single, ///< The service has had no other version.
    none,   ///< Several versions are possible.
};

/// Name of the evidence in logs and metrics.
const char* to_string(version_evidence evidence) noexcept;

/// Version at which a stream began.
struct stream_origin
{
    std::optional<software_version> m_version; ///< Empty when it cannot be known.
    version_evidence m_evidence = version_evidence::none;
};

/// A stream has begun at a version; sent to other instances where the plan alone may not tell.
struct begun_stream
{
    std::uint64_t m_stream = 0; ///< Hash of the service and the stream's identity.
    software_version m_version;
};

/// Knows at which software version each resumable stream of a service begins or has begun.
///
/// Output of two versions does not fit together, so a stream goes on only at the version that began
/// it. Streams begin where the service's plan says; the plan is kept in the table store and
/// outlives all instances. Streams whose slot has just moved are remembered, here and at the other
/// instances.
class stream_versions
{
public:
    explicit stream_versions(stream_versions_settings settings = {}) : m_settings(settings) {}

    /// Takes over a service's plan unless one at least as new is known; returns whether it did.
    /// Streams that began here in slots that have moved are added to the announcements.
    bool set_plan(const std::string& service, version_plan plan, core::time_point now);

    /// The table store answers in this era. For some time after a return from an older copy nothing
    /// is known of a service without a plan: the store may have lost it.
    void on_era(std::uint64_t era, core::time_point now);

    /// Whether plans that the store has lost may tell of streams that callers still go on with.
    bool may_have_lost_plans(core::time_point now) const;

    /// Plan of a service; null when none is known.
    const version_plan* plan_of(const std::string& service) const;

    /// The table store's clock shows this time.
    void set_store_time(store_time time, core::time_point now) { m_store_clock.set(time, now); }

    /// Time of the table store's clock; nothing before its first answer.
    std::optional<store_time> store_time_at(core::time_point now) const
    {
        return m_store_clock.at(now);
    }

    /// Other instances or the table store have confirmed that this one knew the newest rows at
    /// this time.
    void on_contact(core::time_point as_of)
    {
        m_last_contact = std::max(m_last_contact.value_or(as_of), as_of);
    }

    /// Nothing that was heard before counts as contact: this instance may have stood still.
    void forget_contact() { m_last_contact.reset(); }

    /// Version at which a stream is to begin; nothing when none can be chosen now. `present` are
    /// the versions of the service's upstreams.
    std::optional<software_version> version_of_new(const std::string& service, stream_id stream,
                                                   const std::set<software_version>& present,
                                                   core::time_point now) const;

    /// A stream has begun here.
    void on_begun(const std::string& service, stream_id stream, const software_version& version,
                  core::time_point now);

    /// A stream has begun at another instance.
    void on_announced(const begun_stream& begun, core::time_point now);

    /// Streams that other instances must be told of; each is returned once.
    std::vector<begun_stream> take_announcements();

    /// Version at which a stream began, at most `max_age` ago; without an identity it is known
    /// only if all streams began at one version.
    stream_origin origin(const std::string& service, std::optional<stream_id> stream,
                         const std::set<software_version>& present, core::duration max_age,
                         core::time_point now) const;

    /// Number of a service's plan, for logs; zero when none is known.
    std::uint64_t plan_number(const std::string& service) const;

    /// Time since others last confirmed that this instance knows the newest rows, for logs; nothing
    /// when nobody has.
    std::optional<core::duration> contact_age(core::time_point now) const;

    /// Whether it is remembered where a stream began.
    bool remembers(const std::string& service, stream_id stream, core::time_point now) const;

    /// Whether the service's plan is known and in use at the other instances too.
    bool is_informed(const std::string& service, core::time_point now) const;

private:
    /// A stream that has begun.
    struct remembered_stream
    {
        software_version m_version;
        core::time_point m_at{};
        std::optional<stream_id> m_own; ///< Set for one that began here.
    };

    /// Order in which streams are forgotten.
    struct memory_entry
    {
        std::uint64_t m_key = 0;
        core::time_point m_at{};
    };

    static std::uint64_t key_of(const std::string& service, stream_id stream);
    void remember(std::uint64_t key, remembered_stream begun);
    std::optional<store_time> earliest(core::duration max_age, core::time_point now) const;
    bool is_in_contact(core::time_point now) const;
    /// The only version, while the service has never had a plan.
    std::optional<software_version> only_version(const std::set<software_version>& present,
                                                 core::time_point now) const;
    bool has_moved(const version_plan& plan, stream_id stream, core::duration max_age,
                   core::time_point now) const;

    stream_versions_settings m_settings;
    std::map<std::string, version_plan> m_plans; ///< By service.
    std::unordered_map<std::uint64_t, remembered_stream> m_begun;
    std::deque<memory_entry> m_order; ///< Of m_begun, oldest first.
    std::vector<begun_stream> m_announcements;
    store_clock m_store_clock;
    std::optional<core::time_point> m_last_contact;
    std::uint64_t m_era = 0;        ///< Of the table store.
    core::time_point m_era_since{}; ///< When it became known.
};

} // namespace tarragontrail::relay
