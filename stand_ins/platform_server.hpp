#pragma once

#include "stand_ins/http_support.hpp"
#include "stand_ins/platform_counters.hpp"
#include "stand_ins/platform_faults.hpp"
#include "stand_ins/platform_instances.hpp"
#include "stand_ins/platform_table.hpp"
#include "stand_ins/platform_weights.hpp"
#include "tarragontrail/config/generated_platform_settings.hpp"
#include "tarragontrail/core/random.hpp"

#include <map>

namespace tarragontrail::stand_ins {

/// HTTP front of the platform's services.
class platform_server
{
public:
    platform_server(boost::asio::io_context& context, const config::platform_settings& settings);

    /// Port in use.
    std::uint16_t port() const { return m_server->port(); }

private:
    void handle(const exchange_pointer& exchange);
    void serve(const exchange_pointer& exchange);
    void serve_table(const exchange_pointer& exchange, std::string_view path);
    void read_row(const exchange_pointer& exchange, const std::string& table,
                  const std::string& key);
    void scan_rows(const exchange_pointer& exchange, const std::string& table);
    void serve_transaction(const exchange_pointer& exchange);
    void apply_writes(const exchange_pointer& exchange, const std::vector<table_write>& writes,
                      bool is_transaction);
    void serve_object(const exchange_pointer& exchange, const std::string& name);
    void change_instance(const exchange_pointer& exchange, const std::string& name);
    void list_instances(const exchange_pointer& exchange);
    void set_faults(const exchange_pointer& exchange);
    nlohmann::json stats() const;
    void answer(const exchange_pointer& exchange, net::http_response response);
    void answer(const exchange_pointer& exchange, unsigned status, const nlohmann::json& body);

    boost::asio::io_context& m_context;           ///< Event loop.
    config::platform_settings m_settings;         ///< Settings.
    core::seeded_random m_random;                 ///< Source of the random faults.
    platform_faults m_faults;                     ///< Faults in force.
    platform_counters m_counters;                 ///< Calls served.
    platform_table m_table;                       ///< Rows.
    platform_weights m_weights;                   ///< Weight store.
    std::map<std::string, std::string> m_objects; ///< Objects by name.
    platform_instances m_list;                    ///< Instance list.
    std::unique_ptr<net::http_server> m_server;   ///< Listener.
};

} // namespace tarragontrail::stand_ins
