#include "tarragontrail/config/draft_row.hpp"

#include "tarragontrail/config/row_json.hpp"

#include <array>
#include <fmt/core.h>

namespace tarragontrail::config {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> state_names{"submitted", "reviewed", "signed_off", "rolled"};

draft_state read_state(const std::string& name)
{
    for (std::size_t i = 0; i < state_names.size(); ++i)
    {
        if (name == state_names[i])
        {
            return static_cast<draft_state>(i);
        }
    }
    throw bundle_error("/state", "is not a state of a draft");
}

} // namespace

std::string draft_key(std::string_view name)
{
    return fmt::format("draft/{}", name);
}

std::string serialize_draft_row(const draft_row& row)
{
    const json written = {{"name", row.m_name},
                          {"state", state_names[static_cast<std::size_t>(row.m_state)]},
                          {"author", row.m_author},
                          {"reviewer", row.m_reviewer},
                          {"signer", row.m_signer},
                          {"ref", ref_to_json(row.m_ref)},
                          {"steps", steps_to_json(row.m_steps)},
                          {"trail", history_to_json(row.m_history)}};
    return written.dump();
}

draft_row parse_draft_row(std::string_view text)
{
    return parse_row(text, [](const json& from) {
        draft_row row;
        row.m_name = from.at("name");
        row.m_state = read_state(from.at("state"));
        row.m_author = from.at("author");
        row.m_reviewer = from.at("reviewer");
        row.m_signer = from.at("signer");
        row.m_ref = ref_from_json(from.at("ref"));
        row.m_steps = steps_from_json(from.at("steps"));
        row.m_history = history_from_json(from.at("trail"));
        return row;
    });
}

} // namespace tarragontrail::config
