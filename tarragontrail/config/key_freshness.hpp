#pragma once

#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/core/clock.hpp"

#include <optional>
#include <vector>

namespace tarragontrail::config {

/// Settings of key_freshness.
struct key_freshness_settings
{
    /// Maximum age of the confirmation of the table service, or of every failure domain, at which
    /// keyed routes are served.
    std::chrono::milliseconds m_max_age{10000};
};

/// Whether keyed routes may be served, and on which basis.
enum class freshness_state
{
    table_confirmed, ///< Confirmed recently by the table service, directly or through peers.
    peers_confirmed, ///< The table service does not answer, but every listed failure domain
                     ///< confirmed recently.
    stale,           ///< Neither; withdrawals made elsewhere may not have reached this instance.
};

/// Tracks when the table service and each failure domain last confirmed that this instance holds
/// all withdrawals.
///
/// Times are of the local monotonic clock. Peers send ages instead of times, and an age counts from
/// the moment of the request, so that a delayed reply never appears fresher than it is.
class key_freshness
{
public:
    explicit key_freshness(const key_freshness_settings& settings) : m_settings(settings) {}

    /// Sets the failure domains in which the platform lists live instances other than this one. The
    /// own domain is required only if there is no other: an instance that receives from all other
    /// domains is not partitioned.
    void set_domains(const std::vector<core::failure_domain_id>& listed,
                     core::failure_domain_id own);

    /// Failure domains whose confirmation is required.
    std::vector<core::failure_domain_id> listed_domains() const;

    /// The table service confirmed, by the reply to a request of `requested_at`, that this instance
    /// holds all that the table has.
    void on_table_confirmed(core::time_point requested_at);

    /// A peer replied to a request of `requested_at`, and this instance holds all that the peer
    /// has.
    void on_peer_freshness(const freshness_word& status, core::time_point requested_at);

    /// Freshness at the given time.
    freshness_state state(core::time_point now) const;

    /// Age of the last confirmation by the table service; none before the first.
    std::optional<core::duration> table_confirmation_age(core::time_point now) const;

    /// Sets the ages in an outgoing message.
    void fill_ages(freshness_word& status, core::time_point now) const;

private:
    /// Last confirmation by a failure domain.
    struct domain_contact
    {
        core::failure_domain_id m_domain{};
        bool m_listed = false;                           ///< Whether its confirmation is required.
        std::optional<core::time_point> m_last_received; ///< None before the first confirmation.
    };

    /// Entry of a failure domain; created if absent.
    domain_contact& contact_of(core::failure_domain_id domain);

    /// Records a confirmation unless a later one is recorded.
    void record_contact(core::failure_domain_id domain, core::time_point received_at);

    key_freshness_settings m_settings;
    bool m_domains_known = false; ///< Whether set_domains() was ever called.
    /// Last confirmation by the table service.
    std::optional<core::time_point> m_table_confirmed_at;
    std::vector<domain_contact> m_domains; ///< All failure domains seen so far.
};

} // namespace tarragontrail::config
