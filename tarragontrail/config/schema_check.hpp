#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace tarragontrail::config {

/// Validates a document without its workspaces against the schema; throws bundle_error.
void check_document(const nlohmann::json& document);

/// Validates a workspace against its schema; throws bundle_error. `path` is the workspace's JSON
/// pointer.
void check_workspace(const nlohmann::json& value, const std::string& path);

} // namespace tarragontrail::config
