#pragma once

#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/head_row.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace tarragontrail::config {

/// Parts that rows share.
nlohmann::json write_ref(const bundle_ref& ref);
bundle_ref read_ref(const nlohmann::json& from);
nlohmann::json write_steps(const std::vector<rollout_step>& steps);
std::vector<rollout_step> read_steps(const nlohmann::json& from);
nlohmann::json write_trail(const row_trail& trail);
row_trail read_trail(const nlohmann::json& from);

/// Parses a row and hands it to `read`; every failure becomes a bundle_error.
template <class Read>
auto read_row(std::string_view text, Read read)
{
    try
    {
        return read(nlohmann::json::parse(text));
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw bundle_error("", failure.what());
    }
}

} // namespace tarragontrail::config
