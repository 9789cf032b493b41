#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/net/http_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::load {

/// Who looks for an entry instance.
struct caller_site
{
    std::size_t m_caller = 0; ///< Caller's index.
    std::string m_workspace;  ///< Workspace's name.
    std::string m_region;     ///< Caller's region.
};

/// Asks entry instances which of them a caller should use, and keeps the answer as long as told.
class entry_finder
{
public:
    using found_handler = std::function<void(std::optional<net::tcp::endpoint>)>;

    /// `entries` are the instances that callers know from the start.
    entry_finder(net::http_client& client, std::vector<net::tcp::endpoint> entries);

    /// Finds an instance; none when no known instance answers.
    void find(const caller_site& site, const found_handler& on_found);

    /// Drops an instance that could not be reached; the next in the answer takes its place.
    void forget(const caller_site& site, const net::tcp::endpoint& unreachable);

private:
    using site_key = std::pair<std::size_t, std::string>;

    /// Answer kept for a caller.
    struct kept_answer
    {
        std::vector<net::tcp::endpoint> m_entries; ///< Best first.
        core::time_point m_until;                  ///< Not to be used afterwards.
    };

    void ask(const caller_site& site, std::size_t tries, const found_handler& on_found);
    bool keep(const caller_site& site, const std::string& body);

    net::http_client& m_client;                ///< Client of all callers.
    std::vector<net::tcp::endpoint> m_entries; ///< Known from the start.
    std::map<site_key, kept_answer> m_kept;    ///< Answers by caller and workspace.
};

} // namespace tarragontrail::load
