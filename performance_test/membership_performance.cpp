// Costs of heartbeats, gossip, views, bundles and keys by fleet and workspace count.
#include "tarragontrail/config/bundle_delta.hpp"
#include "tarragontrail/config/key_table.hpp"
#include "tarragontrail/membership/failure_detector.hpp"
#include "tarragontrail/membership/view.hpp"

#include <benchmark/benchmark.h>
#include <fmt/core.h>
#include <malloc.h>
#include <memory>
#include <unordered_map>
#include <variant>

namespace {

using namespace tarragontrail;
using namespace std::chrono_literals;

/// Heap bytes in use.
double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks) + static_cast<double>(mallinfo2().hblkhd);
}

std::vector<membership::member> make_members(std::size_t count)
{
    std::vector<membership::member> members;
    for (std::size_t i = 0; i < count; ++i)
    {
        membership::member named;
        named.m_name = fmt::format("entry-{}", i);
        named.m_region = fmt::format("region-{}", i % 2);
        named.m_failure_domain = fmt::format("domain-{}", i % 6);
        named.m_address = fmt::format("10.20.{}.{}", i / 250, i % 250);
        named.m_ports = {8080, 8081, 8082};
        named.m_incarnation = core::incarnation{1764800000000 + i};
        members.push_back(membership::make_member(named));
    }
    return members;
}

/// Encoded bytes of a message: fixed fields at 9 bytes each, words and items in full.
template <class Message>
double message_bytes(const Message& message)
{
    double bytes = 9.0 * 5 + 30.0 * static_cast<double>(message.m_members.size());
    if constexpr (requires { message.m_freshness; })
    {
        bytes += 9.0 * 6 + 13.0 * 6;
        for (const membership::gossip_item& item : message.m_items)
        {
            bytes += static_cast<double>(membership::encoded_bytes(item));
        }
    }
    return bytes;
}

/// Detectors joined without loss, one period at a time.
class detector_ring
{
public:
    explicit detector_ring(std::size_t count)
    {
        std::vector<core::instance_id> ids;
        for (const membership::member& each : make_members(count))
        {
            ids.push_back(each.m_id);
        }
        for (const core::instance_id id : ids)
        {
            auto& made = m_detectors[id];
            made = std::make_unique<membership::failure_detector>(
                membership::failure_detector_settings{}, membership::gossip_buffer_settings{}, id,
                core::incarnation{1}, core::value_of(id));
            made->set_members(ids);
            made->start(m_now);
        }
    }

    /// Runs one period; every instance spreads this many new items.
    void run_period(std::uint64_t items)
    {
        m_now += 1s;
        for (auto& [id, each] : m_detectors)
        {
            for (std::uint64_t i = 0; i < items; ++i)
            {
                each->spread({1, core::value_of(id), ++m_order, std::string(24, 'x')});
            }
            each->on_timer(m_now);
        }
        while (deliver())
        {}
    }

    double m_bytes = 0;    ///< Bytes sent.
    double m_messages = 0; ///< Messages sent.

private:
    bool deliver()
    {
        bool any = false;
        for (auto& [id, each] : m_detectors)
        {
            for (auto& action : each->take_actions())
            {
                std::visit([&](auto& one) { any = carry_out(one) || any; }, action);
            }
        }
        return any;
    }

    bool carry_out(membership::send_ping& sent)
    {
        count(sent.m_message);
        m_detectors[sent.m_to]->on_ping(sent.m_message, m_now);
        return true;
    }

    bool carry_out(membership::send_ping_ack& sent)
    {
        count(sent.m_message);
        m_detectors[sent.m_to]->on_ping_ack(sent.m_message, m_now);
        return true;
    }

    template <class Other>
    bool carry_out(Other& /*other*/)
    {
        return false;
    }

    template <class Message>
    void count(const Message& message)
    {
        m_bytes += message_bytes(message);
        ++m_messages;
    }

    core::time_point m_now{1h}; ///< Current moment.
    std::uint64_t m_order = 0;  ///< Order of the last item.
    std::unordered_map<core::instance_id, std::unique_ptr<membership::failure_detector>>
        m_detectors; ///< All instances.
};

/// Cost of one node's period; the second argument is how many instances spread an item each.
void heartbeat_period(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    detector_ring ring(count);

    // The words on everyone's start are spread before the measurement.
    constexpr int warm_up_periods = 150;
    for (int period = 0; period < warm_up_periods; ++period)
    {
        ring.run_period(0);
    }
    ring.m_bytes = 0;
    ring.m_messages = 0;
    for (auto each : state)
    {
        ring.run_period(static_cast<std::uint64_t>(state.range(1)));
    }
    const auto nodes = static_cast<double>(state.iterations()) * static_cast<double>(count);
    state.counters["bytes_per_node_period"] = ring.m_bytes / nodes;
    state.counters["messages_per_node_period"] = ring.m_messages / nodes;
    const auto per_second = benchmark::Counter::kIsRate | benchmark::Counter::kInvert;
    state.counters["cpu_per_node_period"] = benchmark::Counter(nodes, per_second);
}
BENCHMARK(heartbeat_period)->ArgsProduct({{8, 32, 128, 380}, {0, 1}});

void view_parse(benchmark::State& state)
{
    const membership::view made(core::view_number{1},
                                make_members(static_cast<std::size_t>(state.range(0))));
    const std::string text = membership::serialise(made);
    for (auto each : state)
    {
        benchmark::DoNotOptimize(membership::parse_view(text));
    }
    state.counters["text_bytes"] = static_cast<double>(text.size());
    state.counters["memory_bytes"] = static_cast<double>(made.memory_bytes());
}
BENCHMARK(view_parse)->Arg(8)->Arg(32)->Arg(128)->Arg(380);

void view_owner(benchmark::State& state)
{
    const membership::view made(core::view_number{1},
                                make_members(static_cast<std::size_t>(state.range(0))));
    const auto region = core::id_of<core::region_id>("region-1");
    std::uint64_t shard = 0;
    for (auto each : state)
    {
        benchmark::DoNotOptimize(made.owner_of(++shard, region));
    }
}
BENCHMARK(view_owner)->Arg(8)->Arg(32)->Arg(128)->Arg(380);

/// Bundle with one key for each workspace.
config::bundle make_bundle(std::size_t workspaces)
{
    config::bundle made;
    made.m_version = 1;
    made.m_regions = {{"region-0", {"domain-0"}}};
    for (std::size_t i = 0; i < workspaces; ++i)
    {
        config::workspace each;
        each.m_name = fmt::format("workspace-{:05}", i);
        each.m_id = core::id_of<core::workspace_id>(each.m_name);
        each.m_tokens_per_second = 1000;
        each.m_burst_tokens = 60000;
        each.m_first_key = static_cast<std::uint32_t>(i);
        each.m_key_count = 1;
        made.m_workspaces.push_back(each);
        made.m_keys.push_back({config::sha256(each.m_name), 1, static_cast<std::uint32_t>(i),
                               config::key_state::active});
    }
    return made;
}

void bundle_parse(benchmark::State& state)
{
    const std::string text =
        config::serialize(make_bundle(static_cast<std::size_t>(state.range(0))));
    const double before = heap_bytes();
    const config::bundle parsed = config::parse_bundle(text);
    state.counters["heap_bytes"] = heap_bytes() - before;
    state.counters["memory_bytes"] = static_cast<double>(parsed.memory_bytes());
    state.counters["text_bytes"] = static_cast<double>(text.size());
    for (auto each : state)
    {
        benchmark::DoNotOptimize(config::parse_bundle(text));
    }
}
BENCHMARK(bundle_parse)->Arg(1000)->Arg(10000)->Arg(36000)->Unit(benchmark::kMillisecond);

/// Adds as many engines as the fleet is to have.
void add_upstreams(config::bundle& to)
{
    constexpr std::size_t engine_count = 710;
    to.m_models = {{"model-with-a-name-1", "2026-12-01", {}, 1}};
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        config::upstream each;
        each.m_name = fmt::format("engine-{}", i);
        each.m_address = fmt::format("10.30.{}.{}", i / 250, i % 250);
        each.m_port = 9000;
        each.m_region = "region-0";
        each.m_failure_domain = "domain-0";
        each.m_model = "model-with-a-name-1";
        each.m_weights_version = "2026-12-01";
        to.m_upstreams.push_back(each);
    }
}

/// A change of one workspace, with the check of the result's digest.
void bundle_change(benchmark::State& state)
{
    config::bundle base = make_bundle(static_cast<std::size_t>(state.range(0)));
    config::bundle next = base;
    add_upstreams(base);
    add_upstreams(next);
    next.m_version = 2;
    next.m_workspaces[7].m_burst_tokens = 5;
    const std::string delta = config::make_delta(base, next);
    for (auto each : state)
    {
        benchmark::DoNotOptimize(
            config::sha256(config::serialize(config::apply_delta(base, delta))));
    }
    state.counters["change_bytes"] = static_cast<double>(delta.size());
}
BENCHMARK(bundle_change)->Arg(1000)->Arg(10000)->Arg(36000)->Unit(benchmark::kMillisecond);

void key_check(benchmark::State& state)
{
    config::key_table table{config::key_freshness_settings{}};
    table.freshness().on_table_confirmed(core::time_point{1h});
    const auto count = static_cast<std::size_t>(state.range(0));
    table.apply(std::make_shared<const config::bundle>(make_bundle(count)));
    const std::vector<config::key_entry>& keys = table.applied()->m_keys;
    std::size_t next = 0;
    for (auto each : state)
    {
        next = (next + 7919) % keys.size();
        benchmark::DoNotOptimize(table.check(keys[next].m_digest, core::time_point{1h}));
    }
    state.counters["table_bytes"] = static_cast<double>(table.memory_bytes());
}
BENCHMARK(key_check)->Arg(1000)->Arg(10000)->Arg(36000);

void key_digest(benchmark::State& state)
{
    const std::string key(48, 'k');
    for (auto each : state)
    {
        benchmark::DoNotOptimize(config::sha256(key));
    }
}
BENCHMARK(key_digest);

} // namespace
