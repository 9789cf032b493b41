#pragma once

#include "tarragontrail/config/setting_checks.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Stand-in of a model engine with a prefix cache, for tests.
struct engine_settings
{
    std::string m_name = "engine-1";     ///< Name in answers and log lines.
    std::string m_address = "127.0.0.1"; ///< Numeric address to bind.
    std::uint64_t m_port = 9100;         ///< TCP port.
    std::string m_region = "region-1";   ///< Region in log lines.
    std::string m_platform =
        "none"; ///< Address and port of the weight store; with none, weights load at once.
    std::string m_model = "model-1";     ///< Model loaded at the start.
    std::uint64_t m_weights_version = 1; ///< Version of the weights loaded at the start.
    double m_prefill_tokens_per_s =
        20000.0; ///< Uncached prompt tokens computed per second; one prompt at a time.
    double m_decode_tokens_per_s = 50.0; ///< Tokens generated per second in each running request.
    std::uint64_t m_cache_blocks =
        2000; ///< Blocks of 4096 prompt bytes that the prefix cache holds.
    std::uint64_t m_kv_block_bytes =
        16777216;               ///< Size of one block's KV cache as reported by export.
    std::uint64_t m_batch = 32; ///< Requests that run at once.
    std::chrono::milliseconds m_event_delay{200}; ///< Age at which cache events are sent.
    double m_event_loss = 0.0;                    ///< Fraction of cache events that are lost.
    std::chrono::milliseconds m_load_lag{200};    ///< Age of the load report.
    std::chrono::milliseconds m_network_delay{0}; ///< Delay added to each response.
    bool m_checks_fence = true; ///< Refuses an order whose fence is lower than one seen.
    std::string m_crash_on =
        "none"; ///< A request whose body has this text crashes the engine; none switches it off.
    std::string m_crash_mode =
        "reset"; ///< Crash by ending the process, or by dropping all connections and state.
    std::uint64_t m_seed = 1; ///< Seed of the random faults.
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
engine_settings load_engine_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
