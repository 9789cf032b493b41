#pragma once

#include "stand_ins/http_support.hpp"
#include "stand_ins/platform_table.hpp"
#include "stand_ins/platform_weights.hpp"
#include "tarragontrail/config/generated_platform_settings.hpp"
#include "tarragontrail/core/random.hpp"

#include <deque>
#include <map>

namespace tarragontrail::stand_ins {

/// Faults that scripts switch on and off.
struct platform_faults
{
    bool m_table_down = false;            ///< Table calls are refused.
    bool m_object_down = false;           ///< Object calls are refused.
    bool m_list_down = false;             ///< Instance list is refused.
    std::chrono::milliseconds m_delay{0}; ///< Added before a call takes effect.
    double m_lose_reply_fraction = 0;     ///< Calls that take effect and get no answer.
    double m_drop_request_fraction = 0;   ///< Calls that have no effect and get no answer.
};

/// Calls served since the start.
struct platform_counters
{
    std::uint64_t m_reads = 0;            ///< Row reads and scans.
    std::uint64_t m_writes = 0;           ///< Writes of one row that took effect.
    std::uint64_t m_transactions = 0;     ///< Transactions that took effect.
    std::uint64_t m_conflicts = 0;        ///< Writes and transactions with a wrong version.
    std::uint64_t m_objects_read = 0;     ///< Object reads.
    std::uint64_t m_objects_written = 0;  ///< Object writes.
    std::uint64_t m_lost_replies = 0;     ///< Answers withheld after the effect.
    std::uint64_t m_dropped_requests = 0; ///< Calls dropped before the effect.
};

/// HTTP front of the platform's services.
class platform_server
{
public:
    platform_server(boost::asio::io_context& context, const config::platform_settings& settings);

    /// Port in use.
    std::uint16_t port() const { return m_server->port(); }

private:
    using instance_map = std::map<std::string, nlohmann::json>;

    /// State of the instance list from a time on.
    struct list_state
    {
        core::time_point m_since; ///< When it became true.
        instance_map m_instances; ///< Instances by name.
    };

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
    void serve_instances(const exchange_pointer& exchange, const std::string& name);
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
    std::deque<list_state> m_list;                ///< History of the instance list.
    std::unique_ptr<net::http_server> m_server;   ///< Listener.
};

} // namespace tarragontrail::stand_ins
