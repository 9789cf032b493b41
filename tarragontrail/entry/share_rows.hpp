#pragma once

#include "tarragontrail/limits/home_assignment.hpp"
#include "tarragontrail/limits/messages.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::entry {

/// Bytes of a share row for gossip, and back; parse throws wire::decode_error.
std::string gossip_bytes(const limits::share_row& row);
limits::share_row parse_gossip_row(const std::string& bytes);

/// Key of a workspace's share row, and back; nothing for a key of another form.
std::string share_row_key(core::workspace_id workspace);
std::optional<core::workspace_id> workspace_of_key(const std::string& key);

/// Value of a share row in the table service, and back; parse throws
/// wire::json_error.
std::string share_row_text(const limits::share_row& row);
limits::share_row parse_share_row(core::workspace_id workspace, std::uint64_t version,
                                  const std::string& text);

/// Value of the row with the first division of limits, and back; parse throws
/// wire::json_error.
std::string genesis_text(const std::vector<limits::member>& members);
std::vector<limits::member> parse_genesis(const std::string& text);

} // namespace tarragontrail::entry
