#include "stand_ins/http_support.hpp"

#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/net/timer.hpp"

#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>

namespace tarragontrail::stand_ins {

void reply(net::http_exchange& exchange, unsigned status, const nlohmann::json& body)
{
    exchange.respond(net::make_json_response(status, body.dump()));
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned value = 0;
        const bool escaped = text[i] == '%' && i + 2 < text.size();
        const char* first = text.data() + i + 1;
        if (!escaped || std::from_chars(first, first + 2, value, 16).ptr != first + 2)
        {
            decoded.push_back(text[i]);
            continue;
        }
        decoded.push_back(static_cast<char>(value));
        i += 2;
    }
    return decoded;
}

std::string_view take_segment(std::string_view& path)
{
    if (path.starts_with('/'))
    {
        path.remove_prefix(1);
    }
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view segment = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    return segment;
}

std::uint64_t parse_number(std::string_view text)
{
    const auto value = core::parse_number(text);
    if (!value)
    {
        throw bad_request("not a number: " + std::string(text));
    }
    return *value;
}

nlohmann::json parse_body(const net::http_request& request)
{
    try
    {
        return nlohmann::json::parse(request.body());
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw bad_request(failure.what());
    }
}

bool carries_caller_key(const net::http_request& request)
{
    constexpr std::string_view key_prefix = "tt-";
    for (const auto& field : request)
    {
        const std::string value(field.value());
        const bool is_credential = field.name() == boost::beast::http::field::authorization ||
                                   boost::beast::iequals(field.name_string(), "X-Api-Key");
        if (is_credential || value.starts_with(key_prefix) ||
            value.find(" tt-") != std::string::npos)
        {
            return true;
        }
    }
    return net::target_of(request).find("=tt-") != std::string_view::npos ||
           request.body().find(key_prefix) != std::string::npos;
}

void answer_errors(const exchange_pointer& exchange, const std::function<void()>& handler)
{
    try
    {
        handler();
    }
    catch (const bad_request& failure)
    {
        reply(*exchange, failure.status(), {{"error", failure.what()}});
    }
    catch (const nlohmann::json::exception& failure)
    {
        reply(*exchange, 400, {{"error", failure.what()}});
    }
}

std::unique_ptr<net::http_server> make_server(boost::asio::io_context& context,
                                              const std::string& address, std::uint64_t port,
                                              std::function<void(const exchange_pointer&)> handler)
{
    net::http_server_settings settings;
    settings.m_body_limit_bytes = std::uint64_t{64} * 1024 * 1024;
    const net::tcp::endpoint endpoint(boost::asio::ip::make_address(address),
                                      static_cast<std::uint16_t>(port));
    return std::make_unique<net::http_server>(
        context, endpoint, settings,
        [handler = std::move(handler)](const exchange_pointer& exchange) {
            answer_errors(exchange, [&] { handler(exchange); });
        },
        [](net::request_fault) { return net::make_json_response(400, "{}"); });
}

void run_after(boost::asio::io_context& context, std::chrono::milliseconds delay,
               std::function<void()> work)
{
    if (delay.count() == 0)
    {
        work();
        return;
    }
    auto timer = std::make_shared<net::timer>(context);
    timer->run_after(delay, [timer, work = std::move(work)] { work(); });
}

void run_until_signal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    while (!context.stopped())
    {
        try
        {
            context.run();
        }
        catch (const std::exception& failure)
        {
            observe::log("event_failed", {{"reason", failure.what()}});
        }
    }
}

} // namespace tarragontrail::stand_ins
