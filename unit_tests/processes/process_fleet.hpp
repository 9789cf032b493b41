#pragma once

#include "tarragontrail/net/http_client.hpp"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tarragontrail::test {

/// Answer to a caller's call, gathered whole or cut short.
struct process_answer
{
    unsigned m_status = 0;  ///< HTTP status; zero when there was none.
    std::string m_body;     ///< Body as far as it came.
    bool m_whole = false;   ///< The response ended as HTTP says.
    bool m_ended = false;   ///< It ended, whole or not.
    std::string m_replayed; ///< Idempotent-Replayed header.
    /// How the response marked its end.
    net::body_framing m_framing = net::body_framing::length;
    std::string m_failure; ///< Stage and fault of a call that did not end as HTTP says.
};

/// Text of a streamed completion and how far it came.
struct streamed_text
{
    std::string m_text;              ///< Text in the order of arrival.
    std::uint64_t m_next_offset = 0; ///< Offset to resume from.
    bool m_has_end = false;          ///< The end marker came.
    bool m_in_order = true;          ///< Offsets followed on each other.
    std::string m_error;             ///< Data of an error event.
};

/// A sample deployment of real processes on loopback, started and ended by tools/deployment.py.
class process_fleet
{
public:
    /// `flags` go to tools/deployment.py, before the command.
    explicit process_fleet(const std::string& sample, const std::vector<std::string>& flags = {});
    ~process_fleet();
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;

    /// Address of the n-th entry's callers' port, and of its administration.
    std::string entry(std::size_t number) const { return list("TT_ENTRIES").at(number); }
    std::string admin(std::size_t number) const { return list("TT_ADMINS").at(number); }
    std::string engine(std::size_t number) const { return list("TT_ENGINES").at(number); }
    std::string service(std::size_t number) const { return list("TT_SERVICES").at(number); }
    std::string platform() const { return m_variables.at("TT_PLATFORM"); }
    std::size_t engines() const { return list("TT_ENGINES").size(); }
    std::size_t services() const { return list("TT_SERVICES").size(); }

    /// Id of a process of the deployment by its name.
    pid_t process_id(const std::string& name) const;

    /// Sends a signal to a process of the deployment by its name.
    void signal(const std::string& name, int number) const;

    /// Stops a process and waits until all of its threads have stopped: on a busy machine a thread
    /// may run on for a while after the signal was sent.
    void pause(const std::string& name);

    /// Lets a paused process run on, and waits until none of its threads is stopped any more.
    void resume(const std::string& name);

    /// States of a process's threads as the kernel gives them, one letter each.
    std::string state(const std::string& name) const;

    /// Log of a process.
    std::string log(const std::string& name) const;

    /// One call, waited for.
    process_answer call(const std::string& method, const std::string& address,
                        const std::string& path, const std::string& body = {},
                        const std::map<std::string, std::string>& headers = {},
                        std::chrono::milliseconds timeout = std::chrono::seconds(30));

    /// Starts a call; `on_piece` sees the body so far after each piece.
    std::shared_ptr<process_answer> start(const std::string& method, const std::string& address,
                                          const std::string& path, const std::string& body,
                                          const std::map<std::string, std::string>& headers,
                                          std::function<void(const std::string&)> on_piece = {});

    /// Runs calls until a condition holds; fails the test, naming what was awaited, when it does
    /// not in time.
    void run_until(const std::function<bool()>& condition,
                   std::chrono::milliseconds limit = std::chrono::seconds(30),
                   const std::function<std::string()>& awaited = {});

    /// Lets calls run for a time.
    void run_for(std::chrono::milliseconds time);

private:
    std::vector<std::string> list(const std::string& name) const;
    /// Threads of a process, as the kernel lists them.
    std::filesystem::directory_iterator threads(const std::string& name) const;

    boost::asio::io_context m_context;              ///< Loop of the test's own calls.
    net::http_client m_client;                      ///< Connections of the test.
    std::map<std::string, std::string> m_variables; ///< Addresses and process ids.
    pid_t m_launcher = 0;                           ///< tools/deployment.py.
    int m_input = -1;                               ///< Closed to end the deployment.
};

/// Body of a chat completion over a prompt of about `pieces` pieces.
std::string completion_body(const std::string& text, std::size_t pieces, std::size_t max_tokens,
                            bool stream = true);

/// Reads a stream's body.
streamed_text read_stream(const std::string& body);

} // namespace tarragontrail::test
