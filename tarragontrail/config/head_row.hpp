#pragma once

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/config/write_history.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragontrail::config {

/// Reference to a bundle's documents in the object store. Object names end in the SHA-256 of the
/// content.
struct bundle_ref
{
    std::uint64_t m_version = 0;
    std::string m_object;             ///< Name of the object with the whole document.
    std::uint64_t m_base_version = 0; ///< Version that the delta applies to.
    /// Name of the object with the delta from the base version; may be empty.
    std::string m_delta_object;
};

/// Row of the table service that names the current bundle of the fleet and the progress of its
/// rollout.
struct head_row
{
    bundle_ref m_current;              ///< Newest bundle.
    bundle_ref m_previous;             ///< Last bundle whose rollout was completed.
    std::vector<rollout_step> m_steps; ///< Rollout steps of the newest bundle.
    /// Index of the current step; the size of m_steps when the rollout is complete.
    std::uint64_t m_step = 0;
    std::vector<withdrawal> m_withdrawals; ///< Withdrawals not included in the newest bundle.
    write_history m_history;               ///< Last writes of this row.

    /// Whether all instances are to apply the newest bundle.
    bool is_rollout_complete() const noexcept { return m_step >= m_steps.size(); }

    /// Bundle that instances in a failure domain are to apply.
    const bundle_ref& target_for(std::string_view failure_domain) const noexcept;
};

/// Table and key of the head row.
inline constexpr const char* head_table = "bundle";
inline constexpr const char* head_key = "head";

/// Object with a copy of the head row, for instances that start while the table service is down.
inline constexpr const char* head_copy_object = "recent/head";

/// Serializes the row to its table value.
std::string serialize_head_row(const head_row& row);

/// Parses the row's table value. Throws bundle_error if it is malformed.
head_row parse_head_row(std::string_view text);

/// Returns the object name of a document: `kind/SHA-256 of the bytes`.
std::string object_name(std::string_view kind, std::string_view bytes);

/// Whether the SHA-256 of the bytes is the one in the object's name.
bool matches_object_name(std::string_view object, std::string_view bytes);

} // namespace tarragontrail::config
