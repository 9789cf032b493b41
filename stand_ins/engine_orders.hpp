#pragma once

#include "stand_ins/http_support.hpp"
#include "tarragontrail/config/generated_engine_settings.hpp"
#include "tarragontrail/net/http_client.hpp"

namespace tarragontrail::stand_ins {

/// Model, weights and role of an engine, and the fenced orders that change them.
class engine_orders
{
public:
    /// `on_loading` is told when a load begins and ends, `on_cache_lost` when the cache is void.
    engine_orders(boost::asio::io_context& context, const config::engine_settings& settings,
                  std::function<void(bool)> on_loading, std::function<void()> on_cache_lost);

    /// Returns to the settings' model and weights and forgets the highest fence.
    void restart(std::uint64_t incarnation);

    /// Carries out one order.
    void serve(const exchange_pointer& exchange);

    /// True for the loaded model, with or without an adapter after a colon.
    bool serves(const std::string& model) const;

    /// Incarnation, model, weights version and role.
    nlohmann::json state() const;

    /// Version of the loaded weights.
    std::uint64_t weights_version() const noexcept { return m_weights_version; }

    /// Every order received, also before a restart.
    const nlohmann::json& log() const noexcept { return m_log; }

private:
    void load_weights(const exchange_pointer& exchange, const nlohmann::json& order);
    void finish_load(const exchange_pointer& exchange, const nlohmann::json& order,
                     std::uint64_t number, bool ok);

    static constexpr const char* default_role = "both";

    config::engine_settings m_settings;     ///< Settings.
    net::http_client m_client;              ///< Client of the weight store.
    std::function<void(bool)> m_on_loading; ///< Told when a load begins and ends.
    std::function<void()> m_on_cache_lost;  ///< Told when the cache is void.
    nlohmann::json m_log;                   ///< Every order received.
    std::string m_model;                    ///< Loaded model; empty for none.
    std::string m_role;                     ///< Role set by an order.
    std::uint64_t m_weights_version = 0;    ///< Version of the loaded weights.
    std::uint64_t m_incarnation = 0;        ///< Engine's incarnation.
    std::uint64_t m_highest_fence = 0;      ///< Highest fence seen since the restart.
    std::uint64_t m_load_number = 0;        ///< Number of the latest weight load.
};

} // namespace tarragontrail::stand_ins
