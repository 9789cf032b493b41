#pragma once

#include "tarragontrail/core/error.hpp"

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace tarragontrail::wire {

/// Levels of nesting that a document from outside may have.
constexpr std::size_t nesting_limit = 64;

/// Text from outside is no JSON document, or nests too deep.
class json_error : public core::error
{
public:
    using core::error::error;
};

/// Whether JSON text nests deeper than the limit; copying, comparing and writing such a tree would
/// take stack for each level.
bool nests_too_deep(std::string_view text) noexcept;

/// Tree of a JSON text from outside; throws json_error.
nlohmann::json parse_json(std::string_view text);

} // namespace tarragontrail::wire
