#include "tarragontrail/config/bundle_checks.hpp"

#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/core/ids.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/core.h>
#include <numeric>
#include <unordered_set>

namespace tarragontrail::config {

namespace {

/// Whether a name is not empty and has only characters that need no escaping anywhere in the
/// system.
bool is_name(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return letter || (c >= '0' && c <= '9') ||
               std::string_view("._/:-").find(c) != std::string_view::npos;
    });
}

/// Set of names of one kind; each must be well formed, and its hash unique.
class name_set
{
public:
    /// Adds the name at `path`; throws bundle_error if it is malformed or not unique.
    void add(const std::string& name, const std::string& path)
    {
        if (!is_name(name))
        {
            throw bundle_error(path, "must be letters, digits and ._/:- only");
        }
        if (!m_hashes.insert(core::hash_name(name)).second)
        {
            throw bundle_error(path,
                               fmt::format("duplicates '{}' or collides with its hash", name));
        }
    }

    /// Throws bundle_error unless the name, referenced at `path`, was added.
    void require_declared(const std::string& name, const std::string& path) const
    {
        if (!m_hashes.contains(core::hash_name(name)))
        {
            throw bundle_error(path, fmt::format("refers to unknown name '{}'", name));
        }
    }

private:
    std::unordered_set<std::uint64_t> m_hashes; ///< Hashes of the names.
};

/// Names that other parts of the document may refer to.
struct declared_names
{
    name_set m_regions;
    name_set m_domains; ///< Failure domains.
    name_set m_models;
    name_set m_services; ///< Plain services.
};

void check_regions(const bundle& checked, declared_names& names)
{
    std::size_t index = 0;
    for (const region& each : checked.m_regions)
    {
        const std::string path = fmt::format("/regions/{}", index++);
        names.m_regions.add(each.m_name, path + "/name");
        std::size_t position = 0;
        for (const std::string& domain : each.m_failure_domains)
        {
            names.m_domains.add(domain, fmt::format("{}/failure_domains/{}", path, position++));
        }
    }
}

void check_workspaces(const bundle& checked)
{
    name_set names;
    std::size_t index = 0;
    for (const workspace& each : checked.m_workspaces)
    {
        const std::string path = fmt::format("/workspaces/{}", index++);
        names.add(each.m_name, path + "/name");
        std::unordered_set<std::uint32_t> ids;
        for (std::uint32_t i = 0; i < each.m_key_count; ++i)
        {
            if (!ids.insert(checked.m_keys[each.m_first_key + i].m_id).second)
            {
                throw bundle_error(fmt::format("{}/keys/{}/id", path, i),
                                   "duplicates another key's id");
            }
        }
    }
}

/// Checks that key digests are unique, also by their leading half: withdrawals name a key by that
/// half.
void check_digests(const bundle& checked)
{
    std::vector<std::uint32_t> order(checked.m_keys.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto prefix = [&checked](std::uint32_t i) {
        return prefix_of(checked.m_keys[i].m_digest);
    };
    std::sort(order.begin(), order.end(),
              [&](std::uint32_t a, std::uint32_t b) { return prefix(a) < prefix(b); });
    const auto duplicate =
        std::adjacent_find(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
            return prefix(a) == prefix(b);
        });
    if (duplicate == order.end())
    {
        return;
    }
    const key_entry& key = checked.m_keys[*std::next(duplicate)];
    const std::uint32_t position =
        *std::next(duplicate) - checked.m_workspaces[key.m_workspace].m_first_key;
    throw bundle_error(fmt::format("/workspaces/{}/keys/{}/sha256", key.m_workspace, position),
                       "duplicates another key's digest");
}

void check_models(const bundle& checked, declared_names& names)
{
    std::size_t index = 0;
    for (const model& each : checked.m_models)
    {
        const std::string path = fmt::format("/models/{}", index++);
        names.m_models.add(each.m_name, path + "/name");
        name_set adapters;
        std::size_t position = 0;
        for (const std::string& adapter : each.m_adapters)
        {
            adapters.add(adapter, fmt::format("{}/adapters/{}", path, position++));
        }
    }
}

bool is_numeric_address(const std::string& text) noexcept
{
    in6_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

/// Throws bundle_error unless the upstream's failure domain belongs to its region.
void check_upstream_locality(const bundle& checked, const upstream& each, const std::string& path)
{
    for (const region& candidate : checked.m_regions)
    {
        if (candidate.m_name != each.m_region)
        {
            continue;
        }
        const std::vector<std::string>& domains = candidate.m_failure_domains;
        if (std::find(domains.begin(), domains.end(), each.m_failure_domain) != domains.end())
        {
            return;
        }
    }
    throw bundle_error(path + "/failure_domain", "is not in the upstream's region");
}

void check_upstreams(const bundle& checked, declared_names& names)
{
    name_set unique;
    std::size_t index = 0;
    for (const upstream& each : checked.m_upstreams)
    {
        const std::string path = fmt::format("/upstreams/{}", index++);
        unique.add(each.m_name, path + "/name");
        names.m_regions.require_declared(each.m_region, path + "/region");
        check_upstream_locality(checked, each, path);
        if (!is_numeric_address(each.m_address))
        {
            throw bundle_error(path + "/address", "must be a numeric IP address");
        }
        if (!each.m_model.empty())
        {
            names.m_models.require_declared(each.m_model, path + "/model");
        }
        if (each.m_kind == upstream_kind::service)
        {
            names.m_services.add(each.m_name, path + "/name");
        }
    }
}

void check_path(const std::string& text, const std::string& path)
{
    if (text.front() != '/')
    {
        throw bundle_error(path, "must begin with '/'");
    }
}

void check_routes(const bundle& checked, const declared_names& names)
{
    std::size_t index = 0;
    for (const std::string& route : checked.m_open_routes)
    {
        check_path(route, fmt::format("/open_routes/{}", index++));
    }
    index = 0;
    std::unordered_set<std::string> prefixes;
    for (const service_route& each : checked.m_service_routes)
    {
        const std::string path = fmt::format("/service_routes/{}", index++);
        check_path(each.m_path_prefix, path + "/path_prefix");
        if (!prefixes.insert(each.m_path_prefix).second)
        {
            throw bundle_error(path + "/path_prefix", "duplicates another route's prefix");
        }
        std::size_t position = 0;
        for (const std::string& name : each.m_upstreams)
        {
            names.m_services.require_declared(name,
                                              fmt::format("{}/upstreams/{}", path, position++));
        }
    }
}

void check_rollout(const bundle& checked, const declared_names& names)
{
    std::size_t index = 0;
    for (const rollout_step& step : checked.m_rollout)
    {
        std::size_t position = 0;
        for (const std::string& domain : step.m_failure_domains)
        {
            names.m_domains.require_declared(
                domain, fmt::format("/rollout/{}/failure_domains/{}", index, position++));
        }
        ++index;
    }
}

} // namespace

void normalize(bundle& checked)
{
    std::vector<workspace> sorted = std::move(checked.m_workspaces);
    std::sort(sorted.begin(), sorted.end(),
              [](const workspace& a, const workspace& b) { return a.m_name < b.m_name; });
    std::vector<key_entry> keys;
    keys.reserve(checked.m_keys.size());
    std::uint32_t index = 0;
    for (workspace& each : sorted)
    {
        const std::uint32_t first = each.m_first_key;
        each.m_first_key = static_cast<std::uint32_t>(keys.size());
        for (std::uint32_t i = 0; i < each.m_key_count; ++i)
        {
            keys.push_back(checked.m_keys[first + i]);
            keys.back().m_workspace = index;
        }
        ++index;
    }
    sorted.shrink_to_fit();
    checked.m_workspaces = std::move(sorted);
    checked.m_keys = std::move(keys);
}

void check_bundle(const bundle& checked)
{
    declared_names names;
    check_regions(checked, names);
    check_workspaces(checked);
    check_digests(checked);
    check_models(checked, names);
    check_upstreams(checked, names);
    check_routes(checked, names);
    check_rollout(checked, names);
}

} // namespace tarragontrail::config
