#pragma once

#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/config/write_history.hpp"

#include <string>
#include <string_view>

namespace tarragontrail::config {

/// State of a draft in the approval workflow.
enum class draft_state
{
    submitted,  ///< Awaits a review.
    reviewed,   ///< Awaits the sign-off.
    signed_off, ///< Its rollout may be started.
    rolled,     ///< Its rollout was started: it became the head.
};

/// Row of a draft in the table service.
struct draft_row
{
    std::string m_name; ///< Unique name.
    draft_state m_state = draft_state::submitted;
    std::string m_author;              ///< Operator who submitted it.
    std::string m_reviewer;            ///< Operator who reviewed it; empty until then.
    std::string m_signer;              ///< Operator who signed it off; empty until then.
    bundle_ref m_ref;                  ///< Bundle that it proposes.
    std::vector<rollout_step> m_steps; ///< Rollout steps of that bundle.
    write_history m_history;           ///< Last writes of this row.
};

/// Key of a draft's row in head_table.
std::string draft_key(std::string_view name);

/// Serializes the row to its table value.
std::string serialize_draft_row(const draft_row& row);

/// Parses the row's table value. Throws bundle_error if it is malformed.
draft_row parse_draft_row(std::string_view text);

} // namespace tarragontrail::config
