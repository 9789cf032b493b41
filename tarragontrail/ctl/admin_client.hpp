#pragma once

#include "tarragontrail/net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tarragontrail::ctl {

/// Where and how the administration API is called.
struct admin_client_settings
{
    std::string m_admins;                        ///< Addresses, separated by commas.
    std::string m_token;                         ///< Operator's token; never shown.
    std::chrono::milliseconds m_timeout{20'000}; ///< Longest wait for one answer.
    bool m_dry_run = false;                      ///< Changes are shown instead of sent.
};

/// Calls the administration API of the entry instances, one call at a time.
class admin_client
{
public:
    /// Throws usage_error on a token or an address that cannot be used.
    explicit admin_client(admin_client_settings settings);

    /// Addresses of the instances.
    const std::vector<std::string>& admins() const noexcept { return m_admins; }

    /// Whether changes are shown instead of sent.
    bool dry_run() const noexcept { return m_settings.m_dry_run; }

    /// Reads from the first instance that answers.
    nlohmann::json read(const std::string& target);

    /// Reads from one instance; throws unreachable_error or refused_error.
    nlohmann::json read_from(std::size_t admin, const std::string& target);

    /// Sends a change; another instance is tried only when no connection was made.
    nlohmann::json change(boost::beast::http::verb method, const std::string& target,
                          const std::string& body);

    /// Asks an instance without changing anything, as `bundles/check` does.
    nlohmann::json ask(const std::string& target, const std::string& body);

    /// Waits on the runtime's clock.
    void pause(std::chrono::milliseconds time);

private:
    using fetch_result = net::http_client::fetch_result;

    fetch_result call(std::size_t admin, boost::beast::http::verb method, const std::string& target,
                      const std::string& body);
    nlohmann::json send(boost::beast::http::verb method, const std::string& target,
                        const std::string& body);
    std::size_t admin_at(std::size_t turn) const noexcept;

    admin_client_settings m_settings;            ///< Settings.
    std::vector<std::string> m_admins;           ///< Addresses as given.
    std::vector<net::tcp::endpoint> m_endpoints; ///< The same as endpoints.
    std::size_t m_preferred = 0;                 ///< Instance that answered last.
    boost::asio::io_context m_context{1};        ///< Runs one call at a time.
    net::http_client m_client;                   ///< HTTP client.
};

} // namespace tarragontrail::ctl
