#include "stand_ins/engine_server.hpp"

#include <boost/asio/post.hpp>

namespace tarragontrail::stand_ins {

using verb = boost::beast::http::verb;
using nlohmann::json;

engine_server::engine_server(boost::asio::io_context& context,
                             const config::engine_settings& settings)
    : m_context(context), m_settings(settings), m_cache(settings.m_cache_blocks),
      m_events(context, settings.m_event_delay, settings.m_event_loss, settings.m_seed),
      m_scheduler(
          context,
          {settings.m_prefill_tokens_per_s, settings.m_decode_tokens_per_s, settings.m_batch},
          m_cache, [this](const cache_change& change) { m_events.publish(change); },
          [this] { crash(); }),
      m_orders(
          context, settings, [this](bool loading) { m_scheduler.set_paused(loading); },
          [this] { m_events.publish(m_cache.clear()); }),
      m_sample_timer(context)
{
    restart();
    sample_load();
    m_server = make_server(context, settings.m_address, settings.m_port,
                           [this](const exchange_pointer& exchange) { handle(exchange); });
}

void engine_server::handle(const exchange_pointer& exchange)
{
    const std::string_view path = net::path_of(net::target_of(exchange->request()));
    if (serve_control(exchange, path))
    {
        return;
    }
    m_keys_seen += carries_caller_key(exchange->request()) ? 1 : 0;
    if (m_hung)
    {
        m_held.push_back(exchange);
        return;
    }
    if (path == "/v1/chat/completions")
    {
        serve_chat(exchange);
        return;
    }
    run_after(m_context, m_settings.m_network_delay,
              [this, exchange] { answer_errors(exchange, [&] { serve(exchange); }); });
}

bool engine_server::serve_control(const exchange_pointer& exchange, std::string_view path)
{
    if (path == "/faults")
    {
        set_faults(exchange);
        return true;
    }
    if (path == "/stats")
    {
        reply(*exchange, 200, stats());
        return true;
    }
    if (path == "/orders/log")
    {
        reply(*exchange, 200, {{"orders", m_orders.log()}});
        return true;
    }
    return false;
}

void engine_server::serve(const exchange_pointer& exchange)
{
    constexpr std::string_view requests_path = "/v1/requests/";
    const net::http_request& request = exchange->request();
    const std::string_view path = net::path_of(net::target_of(request));
    if (path.starts_with(requests_path) && request.method() == verb::delete_)
    {
        serve_cancel(exchange, path.substr(requests_path.size()));
    }
    else if (path == "/load")
    {
        reply(*exchange, 200, lagged_load_report());
    }
    else if (path == "/cache_events")
    {
        m_events.subscribe(exchange);
    }
    else if (path == "/cache_blocks")
    {
        reply(*exchange, 200,
              {{"incarnation", m_incarnation},
               {"sequence", m_events.sequence()},
               {"blocks", m_cache.blocks()}});
    }
    else if (path == "/orders")
    {
        m_orders.serve(exchange);
    }
    else if (path == "/kv/export")
    {
        export_blocks(exchange);
    }
    else if (path == "/kv/import")
    {
        import_blocks(exchange);
    }
    else
    {
        reply(*exchange, 404, {{"error", "no such path"}});
    }
}

void engine_server::serve_chat(const exchange_pointer& exchange)
{
    chat_request request = parse_chat_request(exchange->request());
    if (!m_orders.serves(request.m_model))
    {
        throw bad_request("model not loaded: " + request.m_model, 404);
    }
    const auto job = std::make_shared<engine_job>(
        m_context, std::move(request), chat_response(exchange, m_orders.weights_version()));
    const std::string& text = m_settings.m_crash_on;
    job->m_poisonous = text != "none" && exchange->request().body().find(text) != std::string::npos;
    exchange->on_client_gone([this, weak = std::weak_ptr(job)](net::close_cause) {
        if (const auto gone = weak.lock())
        {
            gone->m_client_gone = true;
            m_scheduler.cancel(gone);
        }
    });

    // The delay of the way back is spent here, so that it shifts the whole stream.
    run_after(m_context, m_settings.m_network_delay, [this, job, incarnation = m_incarnation] {
        if (!job->m_client_gone && incarnation == m_incarnation)
        {
            m_scheduler.submit(job);
        }
    });
}

void engine_server::serve_cancel(const exchange_pointer& exchange, std::string_view id)
{
    const std::size_t count = m_scheduler.cancel(percent_decode(id));
    reply(*exchange, count > 0 ? 200 : 404, {{"cancelled", count}});
}

void engine_server::export_blocks(const exchange_pointer& exchange)
{
    const json body = parse_body(exchange->request());
    const std::uint64_t salt = parse_number(body.at("cache_salt").get<std::string>());
    const std::vector<std::uint64_t> wanted = body.at("blocks");
    json blocks = json::array();
    for (const block_link& link : m_cache.find_links(salt, wanted))
    {
        blocks.push_back({{"hash", link.m_hash}, {"parent", link.m_parent}});
    }
    const std::uint64_t bytes = blocks.size() * m_settings.m_kv_block_bytes;
    reply(*exchange, 200,
          {{"cache_salt", std::to_string(salt)}, {"blocks", std::move(blocks)}, {"bytes", bytes}});
}

void engine_server::import_blocks(const exchange_pointer& exchange)
{
    const json body = parse_body(exchange->request());
    const std::uint64_t salt = parse_number(body.at("cache_salt").get<std::string>());
    std::vector<block_link> links;
    for (const json& block : body.at("blocks"))
    {
        links.push_back({block.at("hash"), block.at("parent")});
    }
    cache_change change;
    if (!m_cache.store_links(salt, links, change))
    {
        reply(*exchange, 409, {{"error", "a block does not hang on the salt's chain"}});
        return;
    }
    m_events.publish(change);
    reply(*exchange, 200, {{"stored", change.m_stored.size()}});
}

void engine_server::set_faults(const exchange_pointer& exchange)
{
    const json body = parse_body(exchange->request());
    observe::log("faults", {{"set", body.dump()}});
    m_hung = body.value("hang", m_hung);
    m_scheduler.set_hung(m_hung);
    m_events.set_silent(m_hung);
    if (!m_hung)
    {
        const std::vector<exchange_pointer> held = std::exchange(m_held, {});
        for (const exchange_pointer& waiting : held)
        {
            waiting->abort();
        }
    }
    reply(*exchange, 200, json::object());
    if (body.value("crash", false))
    {
        crash();
    }
}

void engine_server::crash()
{
    observe::log("crash", {{"mode", m_settings.m_crash_mode}});
    if (m_settings.m_crash_mode == "exit")
    {
        std::_Exit(EXIT_FAILURE);
    }
    ++m_crashes;
    m_scheduler.clear();
    boost::asio::post(m_context, [this] { restart(); });
}

void engine_server::restart()
{
    // Work in progress goes first, so that closing a connection finds nothing to cancel.
    m_scheduler.clear();
    m_cache.clear();
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto now_ns = std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
    m_incarnation = std::max(m_incarnation + 1, static_cast<std::uint64_t>(now_ns));
    m_orders.restart(m_incarnation);
    m_events.restart(m_incarnation);
    m_samples.clear();
    m_scheduler.set_paused(false);
    m_held.clear();
    if (m_server)
    {
        m_server->abort_connections();
    }
    observe::log("serving", {{"incarnation", m_incarnation},
                             {"region", m_settings.m_region},
                             {"weights_version", m_orders.weights_version()}});
}

void engine_server::sample_load()
{
    const core::time_point now = core::runtime_clock::now();
    m_samples.push_back({now, load_report()});
    while (m_samples.size() > 1 && m_samples[1].m_at + m_settings.m_load_lag <= now)
    {
        m_samples.pop_front();
    }
    m_sample_timer.run_after(sample_interval, [this] { sample_load(); });
}

json engine_server::lagged_load_report() const
{
    const bool current = m_settings.m_load_lag.count() == 0 || m_samples.empty();
    return current ? load_report() : m_samples.front().m_report;
}

json engine_server::load_report() const
{
    json report = m_orders.state();
    report["queued_tokens"] = m_scheduler.queued_tokens();
    report["running"] = m_scheduler.running();
    report["waiting"] = m_scheduler.waiting();
    report["prefill_tokens_per_s"] = m_settings.m_prefill_tokens_per_s;
    report["decode_tokens_per_s"] = m_settings.m_decode_tokens_per_s;
    report["cached_blocks"] = m_cache.size();
    report["cache_blocks"] = m_settings.m_cache_blocks;
    report["batch"] = m_settings.m_batch;
    return report;
}

json engine_server::stats() const
{
    json stats = m_orders.state();
    stats.update(m_scheduler.counters().to_json());
    stats["crashes"] = m_crashes;
    stats["keys_seen"] = m_keys_seen;
    return stats;
}

} // namespace tarragontrail::stand_ins
