#include "tarragontrail/load/load_run.hpp"
#include "tarragontrail/observe/log.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>

using namespace tarragontrail;

namespace {

constexpr int exit_bad_settings = 2;

int run(const config::load_settings& settings)
{
    boost::asio::io_context context(1);
    load::load_run load(context, settings);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&load](boost::system::error_code error, int) {
        if (!error)
        {
            load.stop();
        }
    });
    load.start();
    context.run();

    fmt::print("{}", load.report().to_table());
    if (settings.m_output != "none")
    {
        std::ofstream(settings.m_output) << load.report().to_json().dump(2) << '\n';
    }
    return load.report().is_sound() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    observe::set_log_name("load");
    try
    {
        return run(config::load_load_settings(argc, argv));
    }
    catch (const config::setting_error& failure)
    {
        observe::log("setting_error", {{"reason", failure.what()}});
        return exit_bad_settings;
    }
    catch (const std::exception& failure)
    {
        observe::log("failed", {{"reason", failure.what()}});
        return EXIT_FAILURE;
    }
}
