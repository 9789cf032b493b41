#pragma once

#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/core/clock.hpp"

#include <optional>
#include <vector>

namespace tarragontrail::config {

/// Settings of key_freshness.
struct key_freshness_settings
{
    /// Oldest word of the store, or of a failure domain, on which keyed routes are served.
    std::chrono::milliseconds m_max_age{10000};
};

/// Ground on which keyed routes are served or refused.
enum class freshness_state
{
    table_confirmed, ///< The store's word is fresh, directly or through peers.
    peers_confirmed, ///< The store is silent, and every listed failure domain was heard lately.
    stale,           ///< Withdrawals may have been made elsewhere without reaching this instance.
};

/// Knows how old this instance's word of the store and of every failure domain is.
///
/// Ages are kept against the own monotonic clock. A peer's word carries an age, never a time, and
/// counts from the moment at which it was asked for, so that a word delayed on its way never
/// looks fresher than it is.
class key_freshness
{
public:
    explicit key_freshness(const key_freshness_settings& settings) : m_settings(settings) {}

    /// Sets the failure domains in which the platform lists live instances other than this one.
    /// The own domain counts only when there is no other: one who hears all others is not alone.
    void set_domains(const std::vector<core::failure_domain_id>& listed,
                     core::failure_domain_id own);

    /// Failure domains that count.
    std::vector<core::failure_domain_id> listed_domains() const;

    /// The store itself confirmed at `requested_at` that this instance holds all it has.
    void on_table_confirmed(core::time_point requested_at);

    /// A peer answered a question of `requested_at`, and this instance holds all that the peer has.
    void on_peer_freshness(const freshness_word& word, core::time_point requested_at);

    /// Verdict at a moment.
    freshness_state state(core::time_point now) const;

    /// Age of the store's word; none when it was never heard.
    std::optional<core::duration> table_confirmation_age(core::time_point now) const;

    /// Writes the ages into an outgoing word.
    void fill_ages(freshness_word& word, core::time_point now) const;

private:
    /// Moment at which a failure domain was last heard.
    struct domain_contact
    {
        core::failure_domain_id m_domain{};              ///< Failure domain.
        bool m_listed = false;                           ///< Counted in the verdict.
        std::optional<core::time_point> m_last_received; ///< Moment; none when never heard.
    };

    /// Mark of a failure domain, made when it is new.
    domain_contact& contact_of(core::failure_domain_id domain);

    /// Keeps the later of the known moment and `received_at`.
    void record_contact(core::failure_domain_id domain, core::time_point received_at);

    key_freshness_settings m_settings;                    ///< Limits.
    bool m_domains_known = false;                         ///< Whether the list was ever read.
    std::optional<core::time_point> m_table_confirmed_at; ///< Latest moment of the store's word.
    std::vector<domain_contact> m_domains;                ///< All domains known.
};

} // namespace tarragontrail::config
