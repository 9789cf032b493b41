#pragma once

#include "tarragontrail/config/bundle.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace tarragontrail::config {

/// Parses a document and validates it against the schema, without the cross-reference checks.
///
/// Workspaces are validated and removed from the JSON tree one by one while parsing, so that the
/// tree of a large bundle is never in memory as a whole.
class bundle_reader
{
public:
    /// `is_delta` also requires the additional members of a delta document.
    explicit bundle_reader(bool is_delta) : m_is_delta(is_delta) {}

    /// Parses the document. Throws bundle_error if it is malformed or violates the schema.
    bundle read(std::string_view text);

    /// Version that a delta applies to.
    std::uint64_t base_version() const noexcept { return m_base_version; }

    /// Names of the workspaces that a delta removes.
    const std::vector<std::string>& removed() const noexcept { return m_removed; }

private:
    void read_workspace(const nlohmann::json& from);
    void take_delta_members(nlohmann::json& document);
    void read_other_members(const nlohmann::json& document);

    bool m_is_delta;                    ///< Whether the document is a delta.
    bundle m_bundle;                    ///< Result under construction.
    std::uint64_t m_base_version = 0;   ///< Version that a delta applies to.
    std::vector<std::string> m_removed; ///< Names of the workspaces that a delta removes.
};

} // namespace tarragontrail::config
