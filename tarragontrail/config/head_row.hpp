#pragma once

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/messages.hpp"
#include "tarragontrail/config/write_history.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragontrail::config {

/// Where a bundle's documents are; object names end in the SHA-256 of their content.
struct bundle_ref
{
    std::uint64_t m_version = 0;      ///< Bundle's version.
    std::string m_object;             ///< Object with the whole document.
    std::uint64_t m_base_version = 0; ///< Version that the change applies to.
    std::string m_delta_object;       ///< Object with the change from it; may be empty.
};

/// Value of the row that says which bundle is in force and how far its rollout has come.
struct head_row
{
    bundle_ref m_current;                  ///< Newest bundle.
    bundle_ref m_previous;                 ///< Last bundle that was in force everywhere.
    std::vector<rollout_step> m_steps;     ///< Steps of the rollout.
    std::uint64_t m_step = 0;              ///< Steps up to this one apply the newest bundle.
    std::vector<withdrawal> m_withdrawals; ///< Withdrawals that the newest bundle lacks.
    write_history m_history;               ///< Last writes of the row.

    /// Whether the rollout has reached every instance.
    bool is_rollout_complete() const noexcept { return m_step >= m_steps.size(); }

    /// Bundle that instances in a failure domain apply.
    const bundle_ref& target_for(std::string_view failure_domain) const noexcept;
};

/// Table and key of the row.
inline constexpr const char* head_table = "bundle";
inline constexpr const char* head_key = "head";

/// Object with a copy of the head row, for instances that start while the table is down.
inline constexpr const char* head_copy_object = "recent/head";

/// Text of the row.
std::string serialize_head_row(const head_row& row);

/// Reads the row; throws bundle_error when it is malformed.
head_row parse_head_row(std::string_view text);

/// Object name of a document: its kind and the SHA-256 of its bytes.
std::string object_name(std::string_view kind, std::string_view bytes);

/// Whether the bytes are what the object's name says.
bool matches_object_name(std::string_view object, std::string_view bytes);

} // namespace tarragontrail::config
