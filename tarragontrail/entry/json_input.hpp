#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace tarragontrail::entry {

/// Levels of nesting that JSON from outside may have.
constexpr std::size_t nesting_limit = 64;

/// Whether JSON text nests deeper than the limit; copying and writing such a tree would take stack
/// for each level.
bool nests_too_deep(std::string_view text) noexcept;

/// Reads a JSON object from outside; throws request_error when it is none or nests too deep.
nlohmann::json parse_json_object(const std::string& text);

/// Whether a text stands in any string or member name of a tree.
bool holds_text(const nlohmann::json& tree, const std::string& text);

} // namespace tarragontrail::entry
