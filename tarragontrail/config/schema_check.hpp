#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace tarragontrail::config {

/// Throws bundle_error unless the document, whose workspaces were taken out, fits the schema.
void check_document(const nlohmann::json& document);

/// Throws bundle_error unless the value fits the schema of a workspace; `path` is its pointer.
void check_workspace(const nlohmann::json& value, const std::string& path);

} // namespace tarragontrail::config
