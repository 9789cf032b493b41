#include "tarragontrail/config/generated_engine_settings.hpp"

#include <array>
#include <gflags/gflags.h>

DEFINE_string(name, "engine-1", "Name in answers and log lines.");
DEFINE_string(address, "127.0.0.1", "Numeric address to bind.");
DEFINE_uint64(port, 9100, "TCP port.");
DEFINE_string(region, "region-1", "Region in log lines.");
DEFINE_string(platform, "none",
              "Address and port of the weight store; with none, weights load at once.");
DEFINE_string(model, "model-1", "Model loaded at the start.");
DEFINE_uint64(weights_version, 1, "Version of the weights loaded at the start.");
DEFINE_double(prefill_tokens_per_s, 20000.0,
              "Uncached prompt tokens computed per second; one prompt at a time.");
DEFINE_double(decode_tokens_per_s, 50.0, "Tokens generated per second in each running request.");
DEFINE_uint64(cache_blocks, 2000, "Blocks of 4096 prompt bytes that the prefix cache holds.");
DEFINE_uint64(kv_block_bytes, 16777216, "Size of one block's KV cache as reported by export.");
DEFINE_uint64(batch, 32, "Requests that run at once.");
DEFINE_double(event_delay, 200, "Age at which cache events are sent.");
DEFINE_double(event_loss, 0.0, "Fraction of cache events that are lost.");
DEFINE_double(load_lag, 200, "Age of the load report.");
DEFINE_double(network_delay, 0, "Delay added to each response.");
DEFINE_bool(checks_fence, true, "Refuses an order whose fence is lower than one seen.");
DEFINE_string(crash_on, "none",
              "A request whose body has this text crashes the engine; none switches it off.");
DEFINE_string(crash_mode, "reset",
              "Crash by ending the process, or by dropping all connections and state.");
DEFINE_uint64(seed, 1, "Seed of the random faults.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 20> descriptions{{
    {"name", "string", "engine-1", "text that matches ^[a-z0-9-]{1,64}$",
     "Name in answers and log lines."},
    {"address", "string", "127.0.0.1", "any text", "Numeric address to bind."},
    {"port", "integer", "9100", "a whole number between 1 and 65535", "TCP port."},
    {"region", "string", "region-1", "text that matches ^[a-z0-9-]{1,64}$", "Region in log lines."},
    {"platform", "string", "none", "text that matches ^(none|[0-9a-fA-F.:\\[\\]]+:[0-9]+)$",
     "Address and port of the weight store; with none, weights load at once."},
    {"model", "string", "model-1", "text that matches ^[A-Za-z0-9._-]{1,64}$",
     "Model loaded at the start."},
    {"weights_version", "integer", "1", "a whole number between 0 and 1000000000000000.0",
     "Version of the weights loaded at the start."},
    {"prefill_tokens_per_s", "number", "20000.0", "a number between 1 and 1000000000.0",
     "Uncached prompt tokens computed per second; one prompt at a time."},
    {"decode_tokens_per_s", "number", "50.0", "a number between 0.1 and 1000000.0",
     "Tokens generated per second in each running request."},
    {"cache_blocks", "integer", "2000", "a whole number between 1 and 100000000.0",
     "Blocks of 4096 prompt bytes that the prefix cache holds."},
    {"kv_block_bytes", "integer", "16777216", "a whole number between 1 and 1000000000000.0",
     "Size of one block's KV cache as reported by export."},
    {"batch", "integer", "32", "a whole number between 1 and 100000", "Requests that run at once."},
    {"event_delay", "duration_ms", "200", "a number between 0 and 600000",
     "Age at which cache events are sent."},
    {"event_loss", "number", "0.0", "a number between 0 and 1",
     "Fraction of cache events that are lost."},
    {"load_lag", "duration_ms", "200", "a number between 0 and 600000", "Age of the load report."},
    {"network_delay", "duration_ms", "0", "a number between 0 and 60000",
     "Delay added to each response."},
    {"checks_fence", "boolean", "true", "true or false",
     "Refuses an order whose fence is lower than one seen."},
    {"crash_on", "string", "none", "any text",
     "A request whose body has this text crashes the engine; none switches it off."},
    {"crash_mode", "string", "reset", "text that matches ^(exit|reset)$",
     "Crash by ending the process, or by dropping all connections and state."},
    {"seed", "integer", "1", "a whole number between 0 and 1e+18", "Seed of the random faults."},
}};

} // namespace

engine_settings load_engine_settings(int& argc, char**& argv)
{
    const setting_page page{"stand-in-engine",
                            "Stand-in of a model engine with a prefix cache, for tests.", ""};
    parse_settings(page, descriptions, argc, argv);

    engine_settings settings;
    check_pattern("name", FLAGS_name, "^[a-z0-9-]{1,64}$");
    settings.m_name = FLAGS_name;
    settings.m_address = FLAGS_address;
    check_range("port", static_cast<double>(FLAGS_port), 1, 65535);
    settings.m_port = FLAGS_port;
    check_pattern("region", FLAGS_region, "^[a-z0-9-]{1,64}$");
    settings.m_region = FLAGS_region;
    check_pattern("platform", FLAGS_platform, "^(none|[0-9a-fA-F.:\\[\\]]+:[0-9]+)$");
    settings.m_platform = FLAGS_platform;
    check_pattern("model", FLAGS_model, "^[A-Za-z0-9._-]{1,64}$");
    settings.m_model = FLAGS_model;
    check_range("weights_version", static_cast<double>(FLAGS_weights_version), 0,
                1000000000000000.0);
    settings.m_weights_version = FLAGS_weights_version;
    check_range("prefill_tokens_per_s", static_cast<double>(FLAGS_prefill_tokens_per_s), 1,
                1000000000.0);
    settings.m_prefill_tokens_per_s = FLAGS_prefill_tokens_per_s;
    check_range("decode_tokens_per_s", static_cast<double>(FLAGS_decode_tokens_per_s), 0.1,
                1000000.0);
    settings.m_decode_tokens_per_s = FLAGS_decode_tokens_per_s;
    check_range("cache_blocks", static_cast<double>(FLAGS_cache_blocks), 1, 100000000.0);
    settings.m_cache_blocks = FLAGS_cache_blocks;
    check_range("kv_block_bytes", static_cast<double>(FLAGS_kv_block_bytes), 1, 1000000000000.0);
    settings.m_kv_block_bytes = FLAGS_kv_block_bytes;
    check_range("batch", static_cast<double>(FLAGS_batch), 1, 100000);
    settings.m_batch = FLAGS_batch;
    check_range("event_delay", FLAGS_event_delay, 0, 600000);
    settings.m_event_delay = rounded_milliseconds(FLAGS_event_delay);
    check_range("event_loss", static_cast<double>(FLAGS_event_loss), 0, 1);
    settings.m_event_loss = FLAGS_event_loss;
    check_range("load_lag", FLAGS_load_lag, 0, 600000);
    settings.m_load_lag = rounded_milliseconds(FLAGS_load_lag);
    check_range("network_delay", FLAGS_network_delay, 0, 60000);
    settings.m_network_delay = rounded_milliseconds(FLAGS_network_delay);
    settings.m_checks_fence = FLAGS_checks_fence;
    settings.m_crash_on = FLAGS_crash_on;
    check_pattern("crash_mode", FLAGS_crash_mode, "^(exit|reset)$");
    settings.m_crash_mode = FLAGS_crash_mode;
    check_range("seed", static_cast<double>(FLAGS_seed), 0, 1e+18);
    settings.m_seed = FLAGS_seed;
    return settings;
}

} // namespace tarragontrail::config
