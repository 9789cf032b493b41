#pragma once

#include "stand_ins/http_support.hpp"
#include "tarragontrail/config/generated_service_settings.hpp"
#include "tarragontrail/core/random.hpp"

#include <map>

namespace tarragontrail::stand_ins {

/// Plain service that counts the executions of each idempotency key.
class service_server
{
public:
    service_server(boost::asio::io_context& context, const config::service_settings& settings);

    /// Port in use.
    std::uint16_t port() const { return m_server->port(); }

private:
    void handle(const exchange_pointer& exchange);
    void execute(const exchange_pointer& exchange);
    nlohmann::json stats() const;

    boost::asio::io_context& m_context;             ///< Event loop.
    config::service_settings m_settings;            ///< Settings.
    core::seeded_random m_random;                   ///< Source of the random faults.
    std::uint64_t m_executions = 0;                 ///< Executions of any call.
    std::uint64_t m_keys_seen = 0;                  ///< Requests that carried a caller's key.
    std::map<std::string, std::uint64_t> m_per_key; ///< Executions by idempotency key.
    std::unique_ptr<net::http_server> m_server;     ///< Listener.
};

} // namespace tarragontrail::stand_ins
