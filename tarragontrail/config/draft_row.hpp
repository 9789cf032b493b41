#pragma once

#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/config/write_history.hpp"

#include <string>
#include <string_view>

namespace tarragontrail::config {

/// State of a draft.
enum class draft_state
{
    submitted,  ///< Waits for a review.
    reviewed,   ///< Waits for the sign-off.
    signed_off, ///< May be rolled.
    rolled,     ///< Was made the head.
};

/// Value of a draft's row.
struct draft_row
{
    std::string m_name;                           ///< Draft's name.
    draft_state m_state = draft_state::submitted; ///< State.
    std::string m_author;                         ///< Operator who submitted it.
    std::string m_reviewer;                       ///< Operator who reviewed it; empty before.
    std::string m_signer;                         ///< Operator who signed it off; empty before.
    bundle_ref m_ref;                             ///< Bundle that it would put in force.
    std::vector<rollout_step> m_steps;            ///< Steps of its rollout.
    write_history m_history;                      ///< Last writes of the row.
};

/// Key of a draft's row in the head's table.
std::string draft_key(std::string_view name);

/// Text of the row.
std::string serialize_draft_row(const draft_row& row);

/// Reads the row; throws bundle_error when it is malformed.
draft_row parse_draft_row(std::string_view text);

} // namespace tarragontrail::config
