#include "unit_tests/processes/process_fleet.hpp"

#include <algorithm>
#include <array>
#include <cppunit/TestAssert.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/core.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace tarragontrail::test {
namespace {

/// Gathers a response into an answer.
class gathering : public net::call_listener
{
public:
    gathering(std::shared_ptr<process_answer> answer,
              std::function<void(const std::string&)> on_piece, std::shared_ptr<bool> done)
        : m_answer(std::move(answer)), m_on_piece(std::move(on_piece)), m_done(std::move(done))
    {}

    void on_head(const net::http_response& head, net::body_framing framing) override
    {
        m_answer->m_framing = framing;
        m_answer->m_status = head.result_int();
        m_answer->m_replayed = net::header_value(head, "Idempotent-Replayed");
    }

    void on_body(std::string_view piece) override
    {
        m_answer->m_body.append(piece);
        if (m_on_piece)
        {
            m_on_piece(m_answer->m_body);
        }
    }

    void on_complete() override
    {
        m_answer->m_whole = true;
        m_answer->m_ended = true;
        *m_done = true;
    }

    void on_failed(const net::call_failure& failure) override
    {
        m_answer->m_failure = fmt::format("{} in stage {}", net::to_string(failure.m_fault),
                                          static_cast<int>(failure.m_stage));
        m_answer->m_ended = true;
        *m_done = true;
    }

private:
    std::shared_ptr<process_answer> m_answer;           ///< Filled.
    std::function<void(const std::string&)> m_on_piece; ///< Told of pieces.
    std::shared_ptr<bool> m_done;                       ///< Set at the end.
};

net::http_request request_of(const std::string& method, const std::string& path,
                             const std::string& body,
                             const std::map<std::string, std::string>& headers)
{
    net::http_request request =
        net::make_request(boost::beast::http::string_to_verb(method), path, body);
    for (const auto& [name, value] : headers)
    {
        request.set(name, value);
    }
    return request;
}

/// State of a thread: the letter behind its name, which ends with the last bracket.
char state_of(const std::filesystem::directory_entry& task)
{
    std::ifstream file(task.path() / "stat");
    std::string line;
    std::getline(file, line);
    const std::size_t bracket = line.rfind(')');
    return bracket != std::string::npos && line.size() > bracket + 2 ? line[bracket + 2] : '?';
}

bool is_stopped(const std::filesystem::directory_entry& task)
{
    return state_of(task) == 'T';
}

} // namespace

process_fleet::process_fleet(const std::string& sample, const std::vector<std::string>& flags)
    : m_client(m_context)
{
    // The command prints the addresses and then waits until its input ends.
    std::vector<std::string> words{TARRAGONTRAIL_SOURCE_FOLDER "/tools/deployment.py", sample};
    words.insert(words.end(), flags.begin(), flags.end());
    words.insert(words.end(), {"--", "sh", "-c", "env | grep ^TT_; echo TT_END=; cat"});
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);

    std::array<int, 2> input{};
    std::array<int, 2> output{};
    CPPUNIT_ASSERT_EQUAL(0, pipe2(input.data(), O_CLOEXEC));
    CPPUNIT_ASSERT_EQUAL(0, pipe2(output.data(), O_CLOEXEC));
    setenv("BUILD_FOLDER", TARRAGONTRAIL_BINARY_FOLDER, 1);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_adddup2(&files, input[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&files, output[1], STDOUT_FILENO);
    CPPUNIT_ASSERT_EQUAL(0, posix_spawn(&m_launcher, words.front().c_str(), &files, nullptr,
                                        arguments.data(), environ));
    posix_spawn_file_actions_destroy(&files);
    close(input[0]);
    close(output[1]);
    m_input = input[1];

    // Addresses, a line each.
    FILE* lines = fdopen(output[0], "r");
    std::array<char, 8192> line{};
    while (fgets(line.data(), line.size(), lines) != nullptr)
    {
        const std::string text(line.data());
        const std::size_t equals = text.find('=');
        if (text.rfind("TT_END", 0) == 0)
        {
            break;
        }
        m_variables[text.substr(0, equals)] = text.substr(equals + 1, text.size() - equals - 2);
    }
    fclose(lines);
    CPPUNIT_ASSERT_MESSAGE("the deployment did not start", m_variables.contains("TT_PLATFORM"));
}

process_fleet::~process_fleet()
{
    close(m_input);
    waitpid(m_launcher, nullptr, 0);
}

std::vector<std::string> process_fleet::list(const std::string& name) const
{
    std::vector<std::string> items;
    std::istringstream text(m_variables.at(name));
    for (std::string item; std::getline(text, item, ',');)
    {
        items.push_back(item);
    }
    return items;
}

pid_t process_fleet::process_id(const std::string& name) const
{
    for (const std::string& item : list("TT_PIDS"))
    {
        if (item.rfind(name + "=", 0) == 0)
        {
            return std::stoi(item.substr(name.size() + 1));
        }
    }
    CPPUNIT_FAIL("no process " + name);
    return 0;
}

void process_fleet::signal(const std::string& name, int number) const
{
    kill(process_id(name), number);
}

std::filesystem::directory_iterator process_fleet::threads(const std::string& name) const
{
    return std::filesystem::directory_iterator("/proc/" + std::to_string(process_id(name)) +
                                               "/task");
}

std::string process_fleet::state(const std::string& name) const
{
    std::string states;
    for (const auto& task : threads(name))
    {
        states += state_of(task);
    }
    return states;
}

void process_fleet::pause(const std::string& name)
{
    signal(name, SIGSTOP);
    run_until(
        [&] {
            const auto all = threads(name);
            return std::all_of(begin(all), end(all), is_stopped);
        },
        std::chrono::seconds(30), [&] { return "every thread of " + name + " stopped"; });
}

void process_fleet::resume(const std::string& name)
{
    int sent = 0;
    run_until(
        [&] {
            const auto all = threads(name);
            if (sent > 0 && std::none_of(begin(all), end(all), is_stopped))
            {
                return true;
            }
            signal(name, SIGCONT);
            ++sent;
            run_for(std::chrono::milliseconds(50));
            return false;
        },
        std::chrono::seconds(30), [&] { return "no thread of " + name + " stopped"; });
    if (sent > 1)
    {
        fmt::print("process_fleet: {} ran on after {} signals\n", name, sent);
    }
}

std::string process_fleet::log(const std::string& name) const
{
    std::ifstream file(m_variables.at("TT_LOGS") + "/" + name + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::shared_ptr<process_answer>
process_fleet::start(const std::string& method, const std::string& address, const std::string& path,
                     const std::string& body, const std::map<std::string, std::string>& headers,
                     std::function<void(const std::string&)> on_piece)
{
    auto answer = std::make_shared<process_answer>();
    net::call_settings settings;
    settings.m_fresh_connection = true;
    m_client.start(
        net::parse_endpoint(address), request_of(method, path, body, headers), settings,
        std::make_shared<gathering>(answer, std::move(on_piece), std::make_shared<bool>(false)));
    return answer;
}

process_answer process_fleet::call(const std::string& method, const std::string& address,
                                   const std::string& path, const std::string& body,
                                   const std::map<std::string, std::string>& headers,
                                   std::chrono::milliseconds timeout)
{
    const auto answer = std::make_shared<process_answer>();
    const auto done = std::make_shared<bool>(false);
    net::call_settings settings;
    settings.m_fresh_connection = true;
    settings.m_first_byte_timeout = timeout;
    m_client.start(net::parse_endpoint(address), request_of(method, path, body, headers), settings,
                   std::make_shared<gathering>(answer, nullptr, done));
    run_until([done] { return *done; }, timeout + std::chrono::seconds(5));
    return *answer;
}

void process_fleet::run_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds limit,
                              const std::function<std::string()>& awaited)
{
    const auto give_up = std::chrono::steady_clock::now() + limit;
    m_context.restart();
    while (!condition() && std::chrono::steady_clock::now() < give_up)
    {
        if (m_context.stopped())
        {
            m_context.restart();
        }
        m_context.run_one_for(std::chrono::milliseconds(20));
    }
    if (!condition())
    {
        CPPUNIT_FAIL("the condition did not come about in time" +
                     (awaited ? ": " + awaited() : std::string()));
    }
}

void process_fleet::run_for(std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    run_until([end] { return std::chrono::steady_clock::now() >= end; },
              time + std::chrono::seconds(1));
}

std::string completion_body(const std::string& text, std::size_t pieces, std::size_t max_tokens,
                            bool stream)
{
    constexpr std::size_t piece_bytes = 4096;
    std::string prompt;
    while (prompt.size() < pieces * piece_bytes)
    {
        prompt += text + " ";
    }
    const nlohmann::json system{{"role", "system"}, {"content", prompt}};
    const nlohmann::json user{{"role", "user"}, {"content", "go on"}};
    const nlohmann::json body{{"model", "notary"},
                              {"stream", stream},
                              {"max_tokens", max_tokens},
                              {"messages", nlohmann::json::array({system, user})}};
    return body.dump();
}

streamed_text read_stream(const std::string& body)
{
    streamed_text stream;
    std::istringstream lines(body);
    std::uint64_t next = 0;
    bool is_error = false;
    for (std::string line; std::getline(lines, line);)
    {
        if (line.rfind("id: ", 0) == 0)
        {
            next = std::stoull(line.substr(4));
        }
        is_error = is_error || line == "event: error";
        if (line.rfind("data: ", 0) != 0)
        {
            continue;
        }
        const std::string data = line.substr(6);
        if (data == "[DONE]")
        {
            stream.m_has_end = true;
            continue;
        }
        if (is_error)
        {
            stream.m_error = data;
            continue;
        }
        const nlohmann::json chunk = nlohmann::json::parse(data, nullptr, false);
        if (chunk.is_discarded())
        {
            continue;
        }
        const auto& delta = chunk["choices"][0]["delta"];
        if (delta.contains("content"))
        {
            stream.m_in_order = stream.m_in_order &&
                                (stream.m_next_offset == 0 || next == stream.m_next_offset + 1);
            stream.m_text += delta["content"].get<std::string>();
            stream.m_next_offset = next;
        }
    }
    return stream;
}

} // namespace tarragontrail::test
