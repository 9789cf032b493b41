#include "stand_ins/platform_server.hpp"

namespace tarragontrail::stand_ins {

using verb = boost::beast::http::verb;
using nlohmann::json;

namespace {

/// Values travel within JSON, so they must be UTF-8.
void check_text(const std::string& value)
{
    try
    {
        (void)json(value).dump();
    }
    catch (const json::exception&)
    {
        throw bad_request("value is not UTF-8");
    }
}

json row_fields(const table_row& row)
{
    json fields{{"version", row.m_version}};
    if (row.m_version > 0)
    {
        fields["value"] = row.m_value;
    }
    return fields;
}

} // namespace

platform_server::platform_server(boost::asio::io_context& context,
                                 const config::platform_settings& settings)
    : m_context(context), m_settings(settings), m_random(settings.m_seed),
      m_weights(context, settings.m_weight_load_time), m_list(settings.m_list_lag)
{
    m_server = make_server(context, settings.m_address, settings.m_port,
                           [this](const exchange_pointer& exchange) { handle(exchange); });
}

void platform_server::handle(const exchange_pointer& exchange)
{
    std::string_view path = net::path_of(net::target_of(exchange->request()));
    const std::string_view service = take_segment(path);

    // Control paths of scripts are free of faults.
    if (service == "faults")
    {
        set_faults(exchange);
        return;
    }
    if (service == "stats")
    {
        reply(*exchange, 200, stats());
        return;
    }
    if (service == "instances" && exchange->request().method() != verb::get)
    {
        change_instance(exchange, percent_decode(path));
        return;
    }
    if (service == "weights")
    {
        const std::string name(path);
        m_weights.start_load([exchange, name] { reply(*exchange, 200, {{"weights", name}}); });
        return;
    }

    // All other calls may be dropped or late; a late call still takes effect.
    if (m_random.unit() < m_faults.m_drop_request_fraction)
    {
        ++m_counters.m_dropped_requests;
        exchange->abort();
        return;
    }
    run_after(m_context, m_faults.m_delay,
              [this, exchange] { answer_errors(exchange, [&] { serve(exchange); }); });
}

void platform_server::serve(const exchange_pointer& exchange)
{
    std::string_view path = net::path_of(net::target_of(exchange->request()));
    const std::string_view service = take_segment(path);
    const bool is_table = service == "table" || service == "transaction";
    const bool down = (is_table && m_faults.m_table_down) ||
                      (service == "objects" && m_faults.m_object_down) ||
                      (service == "instances" && m_faults.m_list_down);
    if (down)
    {
        reply(*exchange, 503, {{"error", "down"}});
        return;
    }
    if (service == "table")
    {
        serve_table(exchange, path);
        return;
    }
    if (service == "transaction")
    {
        serve_transaction(exchange);
        return;
    }
    if (service == "objects")
    {
        serve_object(exchange, percent_decode(path));
        return;
    }
    if (service == "instances")
    {
        list_instances(exchange);
        return;
    }
    reply(*exchange, 404, {{"error", "no such path"}});
}

void platform_server::serve_table(const exchange_pointer& exchange, std::string_view path)
{
    const net::http_request& request = exchange->request();
    const std::string table = percent_decode(take_segment(path));
    const std::string key = percent_decode(path);
    if (request.method() == verb::put)
    {
        const auto expected =
            parse_number(net::query_value(net::target_of(request), "expected_version"));
        apply_writes(exchange, {{table, key, expected, request.body()}}, false);
        return;
    }
    if (request.method() != verb::get)
    {
        throw bad_request("method not allowed", 405);
    }
    ++m_counters.m_reads;
    if (key.empty())
    {
        scan_rows(exchange, table);
        return;
    }
    read_row(exchange, table, key);
}

void platform_server::read_row(const exchange_pointer& exchange, const std::string& table,
                               const std::string& key)
{
    const auto row = m_table.get(table, key);
    if (!row)
    {
        answer(exchange, 404, {{"error", "no such row"}});
        return;
    }
    json fields = row_fields(*row);
    if (!net::query_value(net::target_of(exchange->request()), "version_only").empty())
    {
        fields.erase("value");
    }
    answer(exchange, 200, fields);
}

void platform_server::scan_rows(const exchange_pointer& exchange, const std::string& table)
{
    const auto prefix = net::query_value(net::target_of(exchange->request()), "prefix");
    json rows = json::array();
    for (const auto& [key, row] : m_table.scan(table, prefix))
    {
        json fields = row_fields(row);
        fields["key"] = key;
        rows.push_back(std::move(fields));
    }
    answer(exchange, 200, {{"rows", std::move(rows)}});
}

void platform_server::serve_transaction(const exchange_pointer& exchange)
{
    std::vector<table_write> writes;
    const json body = parse_body(exchange->request());
    for (const json& write : body.at("writes"))
    {
        writes.push_back(
            {write.at("table"), write.at("key"), write.at("expected_version"), write.at("value")});
    }
    apply_writes(exchange, writes, true);
}

void platform_server::apply_writes(const exchange_pointer& exchange,
                                   const std::vector<table_write>& writes, bool is_transaction)
{
    for (const table_write& write : writes)
    {
        check_text(write.m_value);
    }
    const table_outcome outcome = m_table.apply(writes);
    if (outcome.m_failed_index)
    {
        ++m_counters.m_conflicts;
        json fields = row_fields(outcome.m_current);
        if (is_transaction)
        {
            fields["failed"] = *outcome.m_failed_index;
        }
        answer(exchange, 409, fields);
        return;
    }
    if (is_transaction)
    {
        ++m_counters.m_transactions;
        answer(exchange, 200, {{"versions", outcome.m_versions}});
        return;
    }
    ++m_counters.m_writes;
    answer(exchange, 200, {{"version", outcome.m_versions.front()}});
}

void platform_server::serve_object(const exchange_pointer& exchange, const std::string& name)
{
    const net::http_request& request = exchange->request();
    if (request.method() == verb::put)
    {
        ++m_counters.m_objects_written;
        m_objects[name] = request.body();
        answer(exchange, 200, json::object());
        return;
    }
    ++m_counters.m_objects_read;
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
    {
        answer(exchange, 404, {{"error", "no such object"}});
        return;
    }
    net::http_response response = net::make_json_response(200, found->second);
    response.set(boost::beast::http::field::content_type, "application/octet-stream");
    answer(exchange, std::move(response));
}

void platform_server::change_instance(const exchange_pointer& exchange, const std::string& name)
{
    const core::time_point now = core::runtime_clock::now();
    if (exchange->request().method() == verb::delete_)
    {
        m_list.erase(name, now);
    }
    else
    {
        json fields = parse_body(exchange->request());
        fields["name"] = name;
        m_list.put(name, std::move(fields), now);
    }
    reply(*exchange, 200, json::object());
}

void platform_server::list_instances(const exchange_pointer& exchange)
{
    json shown = json::array();
    for (const auto& [name, fields] : m_list.shown(core::runtime_clock::now()))
    {
        shown.push_back(fields);
    }
    answer(exchange, 200, {{"instances", std::move(shown)}});
}

void platform_server::set_faults(const exchange_pointer& exchange)
{
    const json body = parse_body(exchange->request());
    m_faults.update(body);
    if (body.contains("seed"))
    {
        m_random = core::seeded_random(body.at("seed").get<std::uint64_t>());
    }
    observe::log("faults", {{"set", body.dump()}});
    reply(*exchange, 200, json::object());
}

json platform_server::stats() const
{
    json counts = m_counters.to_json();
    counts["weight_loads"] = m_weights.total();
    counts["max_concurrent_weight_loads"] = m_weights.max_concurrent();
    return counts;
}

void platform_server::answer(const exchange_pointer& exchange, net::http_response response)
{
    if (m_random.unit() < m_faults.m_lose_reply_fraction)
    {
        ++m_counters.m_lost_replies;
        exchange->abort();
        return;
    }
    exchange->respond(std::move(response));
}

void platform_server::answer(const exchange_pointer& exchange, unsigned status, const json& body)
{
    answer(exchange, net::make_json_response(status, body.dump()));
}

} // namespace tarragontrail::stand_ins
