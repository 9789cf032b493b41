#pragma once

#include "tarragontrail/config/bundle.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace tarragontrail::config {

/// Reads a document against the schema, without the cross checks.
///
/// Workspaces are checked and dropped from the document one by one, so that a large bundle never
/// stands in memory as a tree. `extra_fields` receives members that the schema does not know and
/// that the caller names in `extra_names`.
class bundle_reader
{
public:
    /// Also accepts the members of a change document.
    explicit bundle_reader(bool is_delta) : m_is_delta(is_delta) {}

    /// Reads the document; throws bundle_error.
    bundle read(std::string_view text);

    /// Version that a change applies to.
    std::uint64_t base_version() const noexcept { return m_base_version; }

    /// Names of workspaces that a change removes.
    const std::vector<std::string>& removed() const noexcept { return m_removed; }

private:
    void read_workspace(const nlohmann::json& from);
    void take_delta_members(nlohmann::json& document);
    void read_other_members(const nlohmann::json& document);

    bool m_is_delta;                    ///< Whether a change document is read.
    bundle m_bundle;                    ///< What was read so far.
    std::uint64_t m_base_version = 0;   ///< Version that a change applies to.
    std::vector<std::string> m_removed; ///< Workspaces that a change removes.
};

} // namespace tarragontrail::config
