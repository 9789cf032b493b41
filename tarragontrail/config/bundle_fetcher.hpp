#pragma once

#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"

#include <map>
#include <optional>
#include <string>

namespace tarragontrail::config {

/// Settings of bundle_fetcher.
struct bundle_fetcher_settings
{
    std::chrono::milliseconds m_delta_timeout{1500}; ///< Wait for a change before the next source.
    std::chrono::milliseconds m_document_timeout{5000}; ///< Wait for a whole document.
    std::chrono::milliseconds m_initial_backoff{250};   ///< Largest pause after a failed attempt.
};

/// Next attempt of a fetch.
struct fetch_attempt
{
    std::string m_object;                    ///< Object wanted.
    std::optional<core::instance_id> m_peer; ///< Peer to ask; none asks the object store.
};

/// Fetches one bundle's documents: a change when possible, peers and object store by turns.
class bundle_fetcher
{
public:
    bundle_fetcher(const bundle_fetcher_settings& settings, std::uint64_t seed);

    /// Starts on a bundle unless it is wanted already.
    void set_target(const bundle_ref& target, std::uint64_t applied_version, core::time_point now);

    /// Ends the fetch.
    void cancel() noexcept { m_target.reset(); }

    /// Notes the bundle version that a peer applies.
    void record_peer_version(core::instance_id peer, std::uint64_t applied_version);

    /// Forgets peers that are no members any more.
    void retain_peers(const std::vector<core::instance_id>& members);

    /// Attempt to make now, if one is due.
    std::optional<fetch_attempt> next_attempt(core::time_point now);

    /// Drops the use of a change after it did not lead to the wanted bundle.
    void abandon_delta(core::time_point now);

    /// The attempt for this object failed; the next source is due soon.
    void on_failed(const std::string& object, core::time_point now);

    /// Bundle being fetched.
    const std::optional<bundle_ref>& target() const noexcept { return m_target; }

    /// Whether this object is the one being fetched.
    bool is_target_object(const std::string& object) const;

    /// Whether the object being fetched is a change.
    bool uses_delta() const noexcept { return m_use_delta; }

    /// Time of the next attempt.
    std::optional<core::time_point> next_deadline() const;

private:
    /// Object being fetched.
    const std::string& target_object() const;

    /// Random pause of at most this many retry pauses.
    core::duration random_backoff(std::uint64_t multiple);

    /// A peer that applies the target, chosen at random; none when no peer is known to.
    std::optional<core::instance_id> choose_peer();

    bundle_fetcher_settings m_settings;                 ///< Waits.
    core::seeded_random m_random;                       ///< Choice of peers and pauses.
    std::optional<bundle_ref> m_target;                 ///< Bundle being fetched.
    bool m_use_delta = false;                           ///< Whether a change is asked for.
    std::uint64_t m_attempts = 0;                       ///< Attempts made for the target.
    core::time_point m_next_attempt_at{};               ///< Moment of the next attempt.
    std::map<core::instance_id, std::uint64_t> m_peers; ///< Applied versions of peers.
};

} // namespace tarragontrail::config
