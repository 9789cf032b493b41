#include "stand_ins/service_server.hpp"

namespace tarragontrail::stand_ins {

service_server::service_server(boost::asio::io_context& context,
                               const config::service_settings& settings)
    : m_context(context), m_settings(settings), m_random(settings.m_seed)
{
    m_server = make_server(context, settings.m_address, settings.m_port,
                           [this](const exchange_pointer& exchange) { handle(exchange); });
}

void service_server::handle(const exchange_pointer& exchange)
{
    if (net::path_of(net::target_of(exchange->request())) == "/stats")
    {
        reply(*exchange, 200, stats());
        return;
    }
    m_keys_seen += carries_caller_key(exchange->request()) ? 1 : 0;
    if (m_random.unit() < m_settings.m_refuse)
    {
        reply(*exchange, 503, {{"error", "refused, not run"}});
        return;
    }
    run_after(m_context, m_settings.m_delay, [this, exchange] { execute(exchange); });
}

void service_server::execute(const exchange_pointer& exchange)
{
    const net::http_request& request = exchange->request();
    std::string key = net::header_value(request, "Idempotency-Key");
    if (key.empty())
    {
        key = net::header_value(request, "X-Request-Id");
    }
    ++m_executions;
    ++m_per_key[key];
    observe::log("execute", {{"key", key}, {"execution", m_executions}});
    if (m_random.unit() < m_settings.m_crash_after_run)
    {
        exchange->abort();
        return;
    }
    const nlohmann::json body{{"service", m_settings.m_name},
                              {"execution", m_executions},
                              {"path", net::target_of(request)}};
    const bool is_unframed = m_random.unit() < m_settings.m_unframed;
    run_after(m_context, m_settings.m_network_delay, [exchange, body, is_unframed] {
        if (!is_unframed)
        {
            reply(*exchange, 200, body);
            return;
        }
        exchange->begin_until_close(net::make_json_response(200, {}));
        exchange->write(body.dump());
        exchange->end_stream();
    });
}

nlohmann::json service_server::stats() const
{
    std::uint64_t max_per_key = 0;
    for (const auto& [key, count] : m_per_key)
    {
        max_per_key = key.empty() ? max_per_key : std::max(max_per_key, count);
    }
    return {{"executions", m_executions},
            {"max_per_key", max_per_key},
            {"per_key", m_per_key},
            {"keys_seen", m_keys_seen}};
}

} // namespace tarragontrail::stand_ins
