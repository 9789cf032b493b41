#pragma once

#include "tarragontrail/wire/json_document.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace tarragontrail::entry {

using wire::nesting_limit;
using wire::nests_too_deep;

/// Reads a JSON object from outside; throws request_error when it is none or nests too deep.
nlohmann::json parse_json_object(const std::string& text);

/// Whether a text stands in any string or member name of a tree.
bool holds_text(const nlohmann::json& tree, const std::string& text);

} // namespace tarragontrail::entry
