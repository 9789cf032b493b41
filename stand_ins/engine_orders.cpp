#include "stand_ins/engine_orders.hpp"

namespace tarragontrail::stand_ins {

using verb = boost::beast::http::verb;
using nlohmann::json;

engine_orders::engine_orders(boost::asio::io_context& context,
                             const config::engine_settings& settings,
                             std::function<void(bool)> on_loading,
                             std::function<void()> on_cache_lost)
    : m_settings(settings), m_client(context), m_on_loading(std::move(on_loading)),
      m_on_cache_lost(std::move(on_cache_lost)), m_log(json::array())
{}

void engine_orders::restart(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    m_model = m_settings.m_model;
    m_role = default_role;
    m_weights_version = m_settings.m_weights_version;
    m_highest_fence = 0;
    ++m_load_number;
}

bool engine_orders::serves(const std::string& model) const
{
    return !m_model.empty() && model.substr(0, model.find(':')) == m_model;
}

json engine_orders::state() const
{
    return {{"incarnation", m_incarnation},
            {"model", m_model},
            {"weights_version", m_weights_version},
            {"role", m_role}};
}

void engine_orders::serve(const exchange_pointer& exchange)
{
    const json order = parse_body(exchange->request());
    const std::uint64_t fence = order.at("fence");
    const std::string kind = order.at("kind");
    const bool stale = fence < m_highest_fence;
    const bool accepted = !stale || !m_settings.m_checks_fence;
    json entry = order;
    entry["accepted"] = accepted;
    entry["highest_fence"] = m_highest_fence;
    entry["incarnation"] = m_incarnation;
    m_log.push_back(std::move(entry));
    observe::log("order", {{"fence", fence}, {"kind", kind}, {"accepted", accepted}});
    if (!accepted)
    {
        reply(*exchange, 409, {{"error", "old fence"}, {"highest_fence", m_highest_fence}});
        return;
    }
    m_highest_fence = std::max(m_highest_fence, fence);
    if (kind == "load")
    {
        load_weights(exchange, order);
        return;
    }
    if (kind == "unload")
    {
        ++m_load_number;
        m_model.clear();
        m_on_cache_lost();
        m_on_loading(false);
    }
    else if (kind == "role")
    {
        m_role = order.at("role");
    }
    else
    {
        throw bad_request("no such order");
    }
    reply(*exchange, 200, state());
}

void engine_orders::load_weights(const exchange_pointer& exchange, const json& order)
{
    const std::string model = order.at("model");
    const std::uint64_t version = order.at("weights_version");
    const std::uint64_t number = ++m_load_number;
    m_on_loading(true);
    if (m_settings.m_platform == "none")
    {
        finish_load(exchange, order, number, true);
        return;
    }
    const std::string target = "/weights/" + model + "/" + std::to_string(version);
    m_client.fetch(net::parse_endpoint(m_settings.m_platform), net::make_request(verb::get, target),
                   {},
                   [this, exchange, order, number](const net::http_client::fetch_result& result) {
                       const bool ok = result.m_ok && result.m_response.result_int() == 200;
                       finish_load(exchange, order, number, ok);
                   });
}

void engine_orders::finish_load(const exchange_pointer& exchange, const json& order,
                                std::uint64_t number, bool ok)
{
    if (number != m_load_number)
    {
        reply(*exchange, 409, {{"error", "superseded"}});
        return;
    }
    if (!ok)
    {
        m_on_loading(false);
        reply(*exchange, 502, {{"error", "weight store failed"}});
        return;
    }
    m_model = order.at("model");
    m_weights_version = order.at("weights_version");
    m_on_cache_lost();
    m_on_loading(false);
    observe::log("weights_loaded", {{"model", m_model}, {"version", m_weights_version}});
    reply(*exchange, 200, state());
}

} // namespace tarragontrail::stand_ins
