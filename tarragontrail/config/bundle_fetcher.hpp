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
    /// Timeout of a delta before the next source is tried.
    std::chrono::milliseconds m_delta_timeout{1500};
    /// Timeout of a whole document before the next source is tried.
    std::chrono::milliseconds m_document_timeout{5000};
    /// Maximum delay after the first failed attempt; grows linearly up to eightfold.
    std::chrono::milliseconds m_initial_backoff{250};
};

/// One attempt to fetch an object.
struct fetch_attempt
{
    std::string m_object; ///< Name of the object.
    /// Peer to request it from; none for the object store.
    std::optional<core::instance_id> m_peer;
};

/// Fetches the documents of one bundle: as a delta if possible, alternately from peers and the
/// object store.
class bundle_fetcher
{
public:
    bundle_fetcher(const bundle_fetcher_settings& settings, std::uint64_t seed);

    /// Starts to fetch a bundle unless it is already the target.
    void set_target(const bundle_ref& target, std::uint64_t applied_version, core::time_point now);

    /// Cancels the fetch.
    void cancel() noexcept { m_target.reset(); }

    /// Records the bundle version that a peer applies.
    void record_peer_version(core::instance_id peer, std::uint64_t applied_version);

    /// Removes peers that are no longer members.
    void retain_peers(const std::vector<core::instance_id>& members);

    /// Attempt to make now, if one is due.
    std::optional<fetch_attempt> next_attempt(core::time_point now);

    /// Fetches the whole document instead, after a delta did not produce the target bundle.
    void abandon_delta(core::time_point now);

    /// An attempt to fetch this object failed; brings the next attempt forward to a random backoff.
    void on_failed(const std::string& object, core::time_point now);

    /// Bundle being fetched.
    const std::optional<bundle_ref>& target() const noexcept { return m_target; }

    /// Whether this object is the one being fetched.
    bool is_target_object(const std::string& object) const;

    /// Whether the object being fetched is a delta.
    bool uses_delta() const noexcept { return m_use_delta; }

    /// Time of the next attempt.
    std::optional<core::time_point> next_deadline() const;

private:
    /// Object being fetched.
    const std::string& target_object() const;

    /// Random delay of up to `multiple` times the initial backoff.
    core::duration random_backoff(std::uint64_t multiple);

    /// Random peer that applies the target or a later version; none if no such peer is known.
    std::optional<core::instance_id> choose_peer();

    bundle_fetcher_settings m_settings;
    core::seeded_random m_random;       ///< Source of peer choices and backoffs.
    std::optional<bundle_ref> m_target; ///< Bundle being fetched.
    bool m_use_delta = false;     ///< Whether to fetch the delta instead of the whole document.
    std::uint64_t m_attempts = 0; ///< Attempts made to fetch the target.
    core::time_point m_next_attempt_at{};
    std::map<core::instance_id, std::uint64_t> m_peers; ///< Bundle versions that peers apply.
};

} // namespace tarragontrail::config
