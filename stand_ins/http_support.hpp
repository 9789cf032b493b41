#pragma once

#include "tarragontrail/config/setting_checks.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/observe/log.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace tarragontrail::stand_ins {

/// Exchange shared by the server and the pending work of its request.
using exchange_pointer = std::shared_ptr<net::http_exchange>;

/// A request cannot be served as it stands; answered with its status.
class bad_request : public core::error
{
public:
    explicit bad_request(const std::string& reason, unsigned status = 400)
        : core::error(reason), m_status(status)
    {}

    unsigned status() const noexcept { return m_status; }

private:
    unsigned m_status; ///< HTTP status of the answer.
};

/// Sends a JSON response.
void reply(net::http_exchange& exchange, unsigned status, const nlohmann::json& body);

/// Text without percent escapes.
std::string percent_decode(std::string_view text);

/// Removes and returns the path's first segment; `path` keeps what follows the next slash.
std::string_view take_segment(std::string_view& path);

/// Unsigned decimal text; throws bad_request on anything else.
std::uint64_t parse_number(std::string_view text);

/// JSON body of a request; throws bad_request.
nlohmann::json parse_body(const net::http_request& request);

/// True when the request has a header or query that carries a caller's key.
bool carries_caller_key(const net::http_request& request);

/// Server whose handler may throw bad_request or a JSON error.
std::unique_ptr<net::http_server> make_server(boost::asio::io_context& context,
                                              const std::string& address, std::uint64_t port,
                                              std::function<void(const exchange_pointer&)> handler);

/// Runs the handler and answers the errors that it throws.
void answer_errors(const exchange_pointer& exchange, const std::function<void()>& handler);

/// Runs `work` after a delay, at once when there is none.
void run_after(boost::asio::io_context& context, std::chrono::milliseconds delay,
               std::function<void()> work);

/// Runs the loop until SIGTERM or SIGINT.
void run_until_signal(boost::asio::io_context& context);

/// Whole program of a stand-in: settings, server, loop.
template <class StandIn, class Settings>
int run_program(Settings (*load_settings)(int&, char**&), int argc, char** argv)
{
    try
    {
        const Settings settings = load_settings(argc, argv);
        observe::set_log_name(settings.m_name);
        boost::asio::io_context context(1);
        StandIn stand_in(context, settings);
        observe::log("start", {{"address", settings.m_address}, {"port", settings.m_port}});
        run_until_signal(context);
        observe::log("stop", {});
        return EXIT_SUCCESS;
    }
    catch (const config::setting_error& failure)
    {
        observe::log("setting_error", {{"reason", failure.what()}});
        return 2;
    }
    catch (const std::exception& failure)
    {
        observe::log("start_failed", {{"reason", failure.what()}});
        return EXIT_FAILURE;
    }
}

} // namespace tarragontrail::stand_ins
