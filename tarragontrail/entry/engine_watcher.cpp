#include "tarragontrail/entry/engine_watcher.hpp"

#include "tarragontrail/entry/control_service.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/wire/json_document.hpp"
#include "tarragontrail/wire/json_fields.hpp"

#include <nlohmann/json.hpp>

namespace tarragontrail::entry {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned status_ok = 200;

/// Deadlines of the short calls to an engine.
net::call_settings short_call()
{
    net::call_settings settings;
    settings.m_connect_timeout = std::chrono::milliseconds(500);
    settings.m_first_byte_timeout = std::chrono::milliseconds(2000);
    settings.m_idle_timeout = std::chrono::milliseconds(2000);
    return settings;
}

/// Reads a field of an answer that may be any number of 64 bits.
std::uint64_t word_at(const json& from, const char* name)
{
    return wire::to_count(wire::field_at(from, name), name, wire::any_word);
}

std::vector<std::uint64_t> words_at(const json& from, const char* name)
{
    std::vector<std::uint64_t> words;
    for (const json& each : wire::to_list(wire::field_at(from, name), name))
    {
        words.push_back(wire::to_count(each, name, wire::any_word));
    }
    return words;
}

} // namespace

/// Hands an event stream's bytes to its watcher.
class engine_watcher::stream_listener : public net::call_listener
{
public:
    explicit stream_listener(std::weak_ptr<engine_watcher> watcher) : m_watcher(std::move(watcher))
    {}

    void on_head(const net::http_response& head, net::body_framing /*framing*/) override
    {
        m_ok = head.result_int() == status_ok;
    }

    void on_body(std::string_view piece) override
    {
        const auto watcher = m_watcher.lock();
        if (watcher && m_ok)
        {
            watcher->m_reader.feed(
                piece, [&watcher](std::string_view data) { watcher->on_stream_data(data); });
        }
    }

    void on_complete() override { closed(); }

    void on_failed(const net::call_failure& /*failure*/) override { closed(); }

private:
    void closed()
    {
        if (const auto watcher = m_watcher.lock())
        {
            watcher->on_stream_closed();
        }
    }

    std::weak_ptr<engine_watcher> m_watcher; ///< Gone once the engine is no longer watched.
    bool m_ok = false;                       ///< The engine accepted the subscription.
};

engine_watcher::engine_watcher(net::http_client& client, core::upstream_id engine,
                               const net::tcp::endpoint& endpoint,
                               const engine_watcher_settings& settings, report_handler on_report)
    : m_client(client), m_engine(engine), m_endpoint(endpoint), m_settings(settings),
      m_on_report(std::move(on_report)), m_index(engine, settings.m_index)
{}

engine_watcher::~engine_watcher()
{
    stop();
}

void engine_watcher::start(core::time_point now)
{
    open_stream();
    ask_load(now);
}

void engine_watcher::stop()
{
    m_stopped = true;
    for (const auto& call : {m_stream, m_load, m_snapshot})
    {
        if (call)
        {
            call->cancel();
        }
    }
}

std::optional<core::time_point> engine_watcher::next_deadline() const
{
    return earlier(m_next_load, earlier(m_next_stream, m_index.next_deadline()));
}

void engine_watcher::on_timer(core::time_point now)
{
    if (m_stopped)
    {
        return;
    }
    if (now >= m_next_load)
    {
        ask_load(now);
    }
    if (m_next_stream && now >= *m_next_stream)
    {
        m_next_stream.reset();
        open_stream();
    }
    m_index.on_timer(now);
    run_index_actions();
}

void engine_watcher::open_stream()
{
    m_reader = net::sse_reader();
    net::call_settings settings = short_call();
    settings.m_idle_timeout = m_settings.m_stream_silence;
    settings.m_body_limit_bytes = std::numeric_limits<std::uint64_t>::max();
    settings.m_fresh_connection = true;
    m_stream = m_client.start(m_endpoint, net::make_request(http::verb::get, "/cache_events"),
                              settings, std::make_shared<stream_listener>(weak_from_this()));
}

void engine_watcher::on_stream_data(std::string_view data)
{
    const core::time_point now = core::runtime_clock::now();
    try
    {
        const json body = wire::parse_json(data);
        routing::cache_event event;
        event.m_incarnation = core::incarnation{word_at(body, "incarnation")};
        event.m_sequence = word_at(body, "sequence");
        event.m_stored = words_at(body, "stored");
        event.m_evicted = words_at(body, "evicted");
        m_index.on_event(event, now);
    }
    catch (const wire::json_error& failure)
    {
        observe::log("cache_event_refused",
                     {{"engine", core::value_of(m_engine)}, {"reason", failure.what()}});
        m_index.on_stream_lost(now);
    }
    run_index_actions();
}

void engine_watcher::on_stream_closed()
{
    if (m_stopped)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    m_index.on_stream_lost(now);
    m_next_stream = now + m_settings.m_retry;
    run_index_actions();
}

void engine_watcher::ask_load(core::time_point now)
{
    m_next_load = now + m_settings.m_load_interval;
    if (m_load)
    {
        return;
    }
    m_load = m_client.fetch(
        m_endpoint, net::make_request(http::verb::get, "/load"), short_call(),
        [weak = weak_from_this(), now](const net::http_client::fetch_result& result) {
            const auto self = weak.lock();
            if (self && !self->m_stopped)
            {
                self->on_load(result, now);
            }
        });
}

void engine_watcher::on_load(const net::http_client::fetch_result& result,
                             core::time_point asked_at)
{
    m_load.reset();
    try
    {
        if (result.m_ok && result.m_response.result_int() == status_ok)
        {
            m_report = parse_engine_report(result.m_response.body(), asked_at);
            if (m_report->m_sequence > 0)
            {
                m_index.on_sequence_announced(m_report->m_load.m_incarnation, m_report->m_sequence,
                                              core::runtime_clock::now());
            }
            m_on_report(m_report);
            run_index_actions();
            return;
        }
    }
    catch (const wire::json_error& failure)
    {
        observe::log("load_report_refused",
                     {{"engine", core::value_of(m_engine)}, {"reason", failure.what()}});
    }
    m_on_report(std::nullopt);
}

void engine_watcher::ask_snapshot()
{
    if (m_snapshot || m_stopped)
    {
        return;
    }
    m_snapshot = m_client.fetch(
        m_endpoint, net::make_request(http::verb::get, "/cache_blocks"), short_call(),
        [weak = weak_from_this()](const net::http_client::fetch_result& result) {
            const auto self = weak.lock();
            if (self && !self->m_stopped)
            {
                self->on_snapshot(result);
            }
        });
}

void engine_watcher::on_snapshot(const net::http_client::fetch_result& result)
{
    m_snapshot.reset();
    if (!result.m_ok || result.m_response.result_int() != status_ok)
    {
        return;
    }
    try
    {
        const json body = wire::parse_json(result.m_response.body());
        routing::cache_snapshot snapshot;
        snapshot.m_incarnation = core::incarnation{word_at(body, "incarnation")};
        snapshot.m_sequence = word_at(body, "sequence");
        snapshot.m_blocks = words_at(body, "blocks");
        m_index.on_snapshot(snapshot, core::runtime_clock::now());
    }
    catch (const wire::json_error& failure)
    {
        observe::log("cache_snapshot_refused",
                     {{"engine", core::value_of(m_engine)}, {"reason", failure.what()}});
    }
    run_index_actions();
}

void engine_watcher::run_index_actions()
{
    if (!m_index.take_snapshot_requests().empty())
    {
        ask_snapshot();
    }
}

engine_report parse_engine_report(const std::string& body, core::time_point reported_at)
{
    const json report = wire::parse_json(body);
    engine_report parsed;
    parsed.m_load.m_incarnation = core::incarnation{word_at(report, "incarnation")};
    parsed.m_load.m_queued_tokens =
        wire::to_count(wire::field_at(report, "queued_tokens"), "queued_tokens");
    parsed.m_load.m_running = wire::to_count(wire::field_at(report, "running"), "running");
    parsed.m_load.m_prefill_tokens_per_second = wire::amount_or(report, "prefill_tokens_per_s", 0);
    parsed.m_load.m_decode_tokens_per_second = wire::amount_or(report, "decode_tokens_per_s", 0);
    parsed.m_load.m_reported_at = reported_at;
    parsed.m_weights_version =
        wire::to_count(wire::field_at(report, "weights_version"), "weights_version");
    parsed.m_sequence = wire::count_or(report, "sequence", 0);
    return parsed;
}

} // namespace tarragontrail::entry
