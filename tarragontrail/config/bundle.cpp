#include "tarragontrail/config/bundle.hpp"

#include "tarragontrail/config/bundle_checks.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/bundle_reader.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <set>

namespace tarragontrail::config {

namespace {

/// Heap bytes of a string; zero when the small string optimization applies.
std::size_t heap_bytes(const std::string& text) noexcept
{
    const std::string inline_text;
    return text.capacity() > inline_text.capacity() ? text.capacity() + 1 : 0;
}

} // namespace

std::size_t bundle::memory_bytes() const noexcept
{
    std::size_t bytes = sizeof(bundle);
    bytes += m_workspaces.capacity() * sizeof(workspace);
    bytes += m_keys.capacity() * sizeof(key_entry);
    bytes += m_upstreams.capacity() * sizeof(upstream);
    bytes += m_models.capacity() * sizeof(model);
    for (const workspace& each : m_workspaces)
    {
        bytes += heap_bytes(each.m_name);
    }
    for (const upstream& each : m_upstreams)
    {
        bytes += heap_bytes(each.m_name) + heap_bytes(each.m_model);
    }
    return bytes;
}

bool bundle::is_open_route(std::string_view path) const noexcept
{
    return std::find(m_open_routes.begin(), m_open_routes.end(), path) != m_open_routes.end();
}

bundle parse_bundle(std::string_view text)
{
    bundle parsed = bundle_reader(false).read(text);
    check_bundle(parsed);
    normalize(parsed);
    return parsed;
}

void check_successor(const bundle& current, const bundle& next)
{
    if (next.m_version != current.m_version + 1)
    {
        throw bundle_error(
            "/version", fmt::format("must be {} but is {}", current.m_version + 1, next.m_version));
    }
    std::set<key_prefix> withdrawn;
    for (const key_entry& key : current.m_keys)
    {
        if (key.m_state == key_state::withdrawn)
        {
            withdrawn.insert(prefix_of(key.m_digest));
        }
    }
    for (const key_entry& key : next.m_keys)
    {
        if (key.m_state == key_state::active && withdrawn.contains(prefix_of(key.m_digest)))
        {
            const std::uint32_t first = next.m_workspaces[key.m_workspace].m_first_key;
            const auto index = static_cast<std::uint32_t>(&key - next.m_keys.data());
            throw bundle_error(
                fmt::format("/workspaces/{}/keys/{}/state", key.m_workspace, index - first),
                "reactivates a withdrawn key");
        }
    }
}

} // namespace tarragontrail::config
