#include "unit_tests/crowds/relay_machine.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace tarragontrail::test {
namespace {

using nlohmann::json;

constexpr std::size_t ring_capacity = 1'024;
constexpr std::size_t service_connections = 10'000;

/// Loopback address that no other process of these tests uses.
std::string own_address()
{
    const auto id = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 200 + (id >> 16U & 0x0fU), id >> 8U & 0xffU, 1 + id % 250U);
}

net::http_server_settings service_settings()
{
    net::http_server_settings settings;
    settings.m_connection_limit = service_connections;
    return settings;
}

std::string configuration(const caller_bounds& bounds)
{
    const json route{{"name", "a"},
                     {"host", "one.example"},
                     {"prefix", "/a/"},
                     {"kind", "idempotent"},
                     {"service", "plain"},
                     {"timeout-ms", 20'000},
                     {"target-latency-ms", 10'000},
                     {"priority", 1},
                     {"max-attempts", 2},
                     {"public", true},
                     {"sticky", false},
                     {"resumable", false}};
    const json service{{"name", "plain"},
                       {"health-path", "/health"},
                       {"max-conns", service_connections},
                       {"protocol", "h1"},
                       {"tls", false}};
    const json limits{{"max-header-bytes", bounds.m_header_bytes},
                      {"max-body-bytes", bounds.m_body_bytes},
                      {"header-timeout-ms", bounds.m_header_timeout.count()},
                      {"idle-timeout-ms", bounds.m_idle_timeout.count()}};
    return json{{"version", 1},
                {"routes", json::array({route})},
                {"services", json::array({service})},
                {"limits", limits},
                {"tenants", json::array()}}
        .dump();
}

} // namespace

relay_machine::relay_machine(const caller_bounds& bounds, const std::vector<std::string>& flags)
    : m_address(own_address()), m_platform("platform", ring_capacity),
      m_store(m_platform.context()),
      m_service(
          m_platform.context(), {boost::asio::ip::address_v4::loopback(), 0}, service_settings(),
          [this](const std::shared_ptr<net::http_exchange>& exchange) { serve(*exchange); },
          [](net::request_fault) { return net::make_json_response(400, "{}"); })
{
    m_store.put("op", "config", configuration(bounds));
    const json server{{"service", "plain"},
                      {"address", fmt::format("127.0.0.1:{}", m_service.port())},
                      {"zone", "zone-a"},
                      {"version", "v1"},
                      {"slots", service_connections},
                      {"state", "ready"},
                      {"cold-remaining-ms", 0},
                      {"sequence", 1},
                      {"born", 7}};
    m_store.put("servers", "plain-1", server.dump());
    m_platform.start();
    start_process(flags);
    CPPUNIT_ASSERT_MESSAGE("the process did not serve", answers_request());
}

relay_machine::~relay_machine()
{
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_platform.stop();
}

void relay_machine::start_process(const std::vector<std::string>& flags)
{
    const auto listen = [this](const char* name, std::uint16_t port) {
        return fmt::format("--{}={}:{}", name, m_address, port);
    };
    const std::string binary = TARRAGONTRAIL_BINARY_FOLDER "/tarragontrail-relay";
    std::vector<std::string> words{binary,
                                   "--name=r1",
                                   "--region=region-a",
                                   "--failure_domain=zone-a",
                                   R"(--regions={"zone-a":"region-a"})",
                                   "--address=" + m_address,
                                   listen("caller_listen", caller_port),
                                   listen("ready_listen", ready_port),
                                   listen("directory_listen", directory_port),
                                   fmt::format("--internal_ports={},{}", peer_port, metrics_port),
                                   fmt::format("--store=127.0.0.1:{}", m_store.port())};
    words.insert(words.end(), flags.begin(), flags.end());
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string log = TARRAGONTRAIL_BINARY_FOLDER "/crowds.log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int result =
        posix_spawn(&m_process, words.front().c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    CPPUNIT_ASSERT_EQUAL(0, result);
}

std::string relay_machine::request_head(const std::string& method, const std::string& path)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: crowd\r\n"
           "X-Request-Deadline-Ms: 20000\r\n";
}

void relay_machine::serve(net::http_exchange& exchange)
{
    const net::http_request& request = exchange.request();
    const std::string id = net::header_value(request, "X-Request-Id");
    const bool is_large = net::target_of(request) == "/a/large";
    net::http_response answer;
    answer.result(200);
    answer.set("X-Request-Id", id);
    answer.set("X-Response-Seal", "s");
    answer.body() = is_large ? std::string(large_answer_bytes, 'x') : std::string("answer");
    exchange.respond(std::move(answer));
}

/// The limit only ends a test of a process that hangs.
template <class Request>
bool relay_machine::ask_until_answered(const net::tcp::endpoint& at, const Request& make_request)
{
    constexpr std::chrono::seconds give_up_after{60};
    constexpr std::chrono::milliseconds pause{100};
    const auto give_up = std::chrono::steady_clock::now() + give_up_after;
    while (std::chrono::steady_clock::now() < give_up)
    {
        std::optional<net::http_client::fetch_result> result;
        net::call_settings settings;
        settings.m_fresh_connection = true;
        m_loop.m_client.fetch(
            at, make_request(), settings,
            [&result](const net::http_client::fetch_result& value) { result = value; });
        m_loop.m_context.restart();
        while (!result)
        {
            m_loop.m_context.run_one_for(pause);
        }
        if (result->m_ok && result->m_response.result_int() == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

bool relay_machine::answers_request(const std::string& body)
{
    return ask_until_answered(callers(), [this, &body] {
        net::http_request request = net::make_request(boost::beast::http::verb::post, "/a/b", body);
        request.set("Host", "one.example");
        request.set("X-Request-Id", fmt::format("ordinary-{}", ++m_requests));
        request.set("X-Request-Deadline-Ms", "20000");
        return request;
    });
}

bool relay_machine::answers_get(const net::tcp::endpoint& at, const std::string& path)
{
    return ask_until_answered(
        at, [&path] { return net::make_request(boost::beast::http::verb::get, path); });
}

} // namespace tarragontrail::test
