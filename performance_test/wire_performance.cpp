// Sizes and costs of messages, links and the inputs that engines and the platform send.
#include "tarragontrail/core/bounded_ring.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/entry/engine_watcher.hpp"
#include "tarragontrail/membership/view_change.hpp"
#include "tarragontrail/net/duty.hpp"
#include "tarragontrail/net/peer_link.hpp"
#include "tarragontrail/wire/generated_messages.hpp"
#include "tarragontrail/wire/websocket_codec.hpp"

#include <benchmark/benchmark.h>
#include <fmt/core.h>
#include <malloc.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace {

using namespace tarragontrail;
using namespace std::chrono_literals;

/// Large identifiers, as hashes are: nine bytes each in CBOR.
std::uint64_t wide(std::uint64_t number)
{
    return core::seeded_random(number + 1)() | (std::uint64_t{1} << 63U);
}

wire::lookup_request make_lookup(std::size_t hashes)
{
    wire::lookup_request request;
    request.m_lookup_id = 100'000;
    request.m_engine = core::upstream_id{wide(1)};
    request.m_incarnation = core::incarnation{wide(2)};
    for (std::size_t place = 0; place < hashes; ++place)
    {
        request.m_depths.push_back(1 + place * 8);
        request.m_hashes.push_back(wide(place));
    }
    return request;
}

wire::lookup_answer make_answer()
{
    wire::lookup_answer answer;
    answer.m_reply = {
        100'000, core::upstream_id{wide(1)}, core::incarnation{wide(2)}, 90, 100, true, 5000ms};
    answer.m_has_load = true;
    answer.m_load_incarnation = core::incarnation{wide(2)};
    answer.m_queued_tokens = 40'000;
    answer.m_running = 32;
    answer.m_prefill_tokens_per_second = 20'000.5;
    answer.m_decode_tokens_per_second = 50.25;
    answer.m_load_age = 120ms;
    return answer;
}

/// Ping with so many member words and the ages of so many failure domains.
wire::ping make_ping(std::size_t words, std::size_t domains)
{
    wire::ping ping{core::instance_id{wide(1)}, core::view_number{1000}, 100'000, {}, {}, {}};
    for (std::size_t place = 0; place < words; ++place)
    {
        ping.m_members.push_back(
            {core::instance_id{wide(place)}, core::incarnation{wide(2)}, 1, 0});
    }
    ping.m_freshness = {ping.m_sender, core::failure_domain_id{wide(3)},
                        true,          1500ms,
                        100'000,       wide(4),
                        100'000,       {}};
    for (std::size_t place = 0; place < domains; ++place)
    {
        ping.m_freshness.m_domains.push_back({core::failure_domain_id{wide(place)}, 1500ms});
    }
    return ping;
}

/// Encodes and decodes one message a step.
void run_codec(benchmark::State& state, const wire::message& message)
{
    std::string bytes;
    for ([[maybe_unused]] auto _ : state)
    {
        bytes = wire::encode(message);
        benchmark::DoNotOptimize(wire::decode(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

/// Question to a watcher; the argument is its number of hashes.
void wire_lookup_request(benchmark::State& state)
{
    run_codec(state, make_lookup(static_cast<std::size_t>(state.range(0))));
}

void wire_lookup_answer(benchmark::State& state)
{
    run_codec(state, make_answer());
}

void wire_loan_request(benchmark::State& state)
{
    run_codec(state, wire::loan_request{wide(1), core::workspace_id{wide(2)}, 8'000'000'000,
                                        core::view_number{1000}});
}

void wire_loan_reply(benchmark::State& state)
{
    run_codec(state, wire::loan_reply{wide(1), core::workspace_id{wide(2)}, true, 8'000'000'000,
                                      9'000'000'000, 0ms});
}

void wire_loan_settle(benchmark::State& state)
{
    run_codec(state, wire::loan_settle{wide(1), core::workspace_id{wide(2)}, 8'000'000'000});
}

void wire_share_hint(benchmark::State& state)
{
    run_codec(state, wire::share_hint{core::workspace_id{wide(2)}, 8'000'000'000, 1000,
                                      core::view_number{1000}});
}

/// The arguments are member words and failure domains.
void wire_ping(benchmark::State& state)
{
    run_codec(state, make_ping(static_cast<std::size_t>(state.range(0)),
                               static_cast<std::size_t>(state.range(1))));
}

/// Frame of one message from a client, which masks it, taken in by a server.
void websocket_frame(benchmark::State& state)
{
    wire::websocket_codec client(wire::websocket_role::client, "127.0.0.1");
    wire::websocket_codec server(wire::websocket_role::server, "127.0.0.1");
    const std::string asked = client.take_output();
    server.feed(asked.data(), asked.size());
    const std::string accepted = server.take_output();
    client.feed(accepted.data(), accepted.size());
    if (!client.is_open() || !server.is_open())
    {
        state.SkipWithError("no connection");
        return;
    }
    const std::string payload(static_cast<std::size_t>(state.range(0)), 'x');
    std::size_t frame_bytes = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        client.send(payload);
        const std::string frame = client.take_output();
        frame_bytes = frame.size();
        server.feed(frame.data(), frame.size());
        benchmark::DoNotOptimize(server.take_messages());
    }
    state.counters["frame_overhead_bytes"] =
        static_cast<double>(frame_bytes) - static_cast<double>(payload.size());
}

/// Heap bytes of one open connection's codec, over so many connections.
void websocket_memory(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    for ([[maybe_unused]] auto _ : state)
    {
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        std::vector<std::unique_ptr<wire::websocket_codec>> codecs;
        for (std::size_t place = 0; place < count; ++place)
        {
            codecs.push_back(
                std::make_unique<wire::websocket_codec>(wire::websocket_role::client, "127.0.0.1"));
        }
        const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
        state.counters["bytes_per_connection"] =
            static_cast<double>(after - before) / static_cast<double>(count);
    }
    state.counters["link_bytes"] = sizeof(net::peer_link);
}

/// Parse of a batch of cache events that stores and evicts so many blocks.
void cache_event_json(benchmark::State& state)
{
    nlohmann::json made{{"incarnation", wide(1)},
                        {"sequence", 100'000},
                        {"stored", nlohmann::json::array()},
                        {"evicted", nlohmann::json::array()}};
    for (std::int64_t place = 0; place < state.range(0); ++place)
    {
        made["stored"].push_back(wide(static_cast<std::uint64_t>(place)));
        made["evicted"].push_back(wide(static_cast<std::uint64_t>(place) + 1'000'000));
    }
    const std::string text = made.dump();
    for ([[maybe_unused]] auto _ : state)
    {
        const nlohmann::json body = nlohmann::json::parse(text);
        benchmark::DoNotOptimize(body.at("stored").get<std::vector<std::uint64_t>>());
        benchmark::DoNotOptimize(body.at("evicted").get<std::vector<std::uint64_t>>());
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

/// Parse of an engine's load report.
void load_report_json(benchmark::State& state)
{
    const std::string text = nlohmann::json{
        {"incarnation", wide(1)},
        {"queued_tokens", 40'000},
        {"running", 32},
        {"prefill_tokens_per_s", 20'000.5},
        {"decode_tokens_per_s", 50.25},
        {"weights_version", 3},
        {"sequence", 100'000}}.dump();
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(entry::parse_engine_report(text, core::time_point{}));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

std::vector<membership::member> make_fleet(std::int64_t count)
{
    std::vector<membership::member> members;
    for (std::int64_t place = 0; place < count; ++place)
    {
        membership::member named;
        named.m_name = fmt::format("entry-{}", place);
        named.m_region = fmt::format("region-{}", place % 2);
        named.m_failure_domain = fmt::format("domain-{}", place % 6);
        named.m_address = fmt::format("10.20.{}.{}", place / 250, place % 250);
        named.m_ports = {8080, 8081, 8082};
        named.m_incarnation = core::incarnation{1};
        members.push_back(membership::make_member(named));
    }
    return members;
}

/// Size and parse of the platform's list of so many instances, with the fields that are read.
void instance_list_json(benchmark::State& state)
{
    nlohmann::json list = nlohmann::json::array();
    for (const membership::member& each : make_fleet(state.range(0)))
    {
        list.push_back({{"name", each.m_name},
                        {"address", each.m_address},
                        {"caller_port", each.m_ports.m_caller},
                        {"peer_port", each.m_ports.m_peer},
                        {"admin_port", each.m_ports.m_admin},
                        {"region", each.m_region},
                        {"failure_domain", each.m_failure_domain},
                        {"state", "live"}});
    }
    const std::string text = nlohmann::json{{"instances", list}}.dump();
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(nlohmann::json::parse(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

/// Judgement whether the view needs a change, made at every timer event of the control thread.
void view_change_needed(benchmark::State& state)
{
    const auto members = make_fleet(state.range(0));
    std::vector<membership::listed_instance> listed;
    std::vector<core::instance_id> others;
    for (const membership::member& each : members)
    {
        listed.push_back({each, membership::listed_state::live});
        others.push_back(each.m_id);
    }
    const membership::view current(core::view_number{1}, members);
    membership::view_change_planner planner(members.front());
    planner.on_list(listed);
    planner.on_view(current);
    others.erase(others.begin());
    membership::failure_detector detector({}, {}, members.front().m_id, core::incarnation{1}, 1);
    detector.start(core::time_point{1h});
    detector.set_members(others);
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(planner.needed_changes(current, detector));
    }
}

/// Heap bytes of one duty's ring of so many tasks.
void duty_ring_memory(benchmark::State& state)
{
    for ([[maybe_unused]] auto _ : state)
    {
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        const core::bounded_ring<net::duty::task> ring(static_cast<std::size_t>(state.range(0)));
        const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
        benchmark::DoNotOptimize(ring.size());
        state.counters["bytes"] = static_cast<double>(after - before);
    }
}

} // namespace

BENCHMARK(wire_lookup_request)->Arg(1)->Arg(4)->Arg(8)->Arg(16);
BENCHMARK(wire_lookup_answer);
BENCHMARK(wire_loan_request);
BENCHMARK(wire_loan_reply);
BENCHMARK(wire_loan_settle);
BENCHMARK(wire_share_hint);
BENCHMARK(wire_ping)->ArgsProduct({{0, 1, 4, 8}, {0, 2, 6}});
BENCHMARK(websocket_frame)->Arg(24)->Arg(200)->Arg(2000);
BENCHMARK(websocket_memory)->Arg(10)->Arg(100)->Arg(760)->Iterations(1);
BENCHMARK(cache_event_json)->Arg(1)->Arg(16)->Arg(64)->Arg(256);
BENCHMARK(load_report_json);
BENCHMARK(instance_list_json)->Arg(8)->Arg(32)->Arg(128)->Arg(380);
BENCHMARK(view_change_needed)->Arg(8)->Arg(32)->Arg(128)->Arg(380);
BENCHMARK(duty_ring_memory)->Arg(1'024)->Arg(8'192)->Arg(65'536)->Iterations(1);
