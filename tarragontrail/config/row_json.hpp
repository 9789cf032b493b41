#pragma once

#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/wire/json_document.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace tarragontrail::config {

/// Conversions of the members that the head row and the draft row share.
nlohmann::json ref_to_json(const bundle_ref& ref);
bundle_ref ref_from_json(const nlohmann::json& from);
nlohmann::json steps_to_json(const std::vector<rollout_step>& steps);
std::vector<rollout_step> steps_from_json(const nlohmann::json& from);
nlohmann::json history_to_json(const write_history& history);
write_history history_from_json(const nlohmann::json& from);

/// Parses a row's JSON text and passes it to `read`; throws bundle_error on any JSON error.
template <class Read>
auto parse_row(std::string_view text, Read read)
{
    try
    {
        return read(wire::parse_json(text));
    }
    catch (const wire::json_error& failure)
    {
        throw bundle_error("", failure.what());
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw bundle_error("", failure.what());
    }
}

} // namespace tarragontrail::config
