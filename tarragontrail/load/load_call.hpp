#pragma once

#include "tarragontrail/load/answer_check.hpp"
#include "tarragontrail/load/entry_finder.hpp"
#include "tarragontrail/load/load_report.hpp"
#include "tarragontrail/load/request_plan.hpp"
#include "tarragontrail/load/token_allowance.hpp"
#include "tarragontrail/net/timer.hpp"

namespace tarragontrail::load {

/// What all calls of a run use.
struct call_context
{
    boost::asio::io_context& m_context; ///< Event loop.
    net::http_client& m_client;         ///< Client of all callers.
    entry_finder& m_finder;             ///< Finds entry instances.
    std::string m_model;                ///< Model to ask for.
    std::string m_service_path;         ///< Path of the plain service's route.
    std::uint64_t m_max_tokens = 0;     ///< Longest answer.
    std::uint64_t m_retries = 0;        ///< Repeats of one call.
};

/// One call to make, with its caller's place and key.
struct call_order
{
    planned_request m_request;              ///< Request of the plan.
    caller_site m_site;                     ///< Who calls from where.
    std::string m_key;                      ///< Workspace's key.
    std::vector<chat_message> m_messages;   ///< Messages of a chat request.
    std::string m_idempotency_key;          ///< Key of a service call.
    token_allowance* m_allowance = nullptr; ///< Workspace's account; none for no bound.
};

/// One caller's request from sending to its whole answer, with its retries.
class load_call : public net::call_listener, public std::enable_shared_from_this<load_call>
{
public:
    using ended_handler = std::function<void(const load_call&)>;

    load_call(const call_context& context, call_order order, ended_handler on_ended);

    /// Sends the request.
    void start();

    /// How it ended.
    const request_outcome& outcome() const noexcept { return m_outcome; }

    /// What was asked.
    const call_order& order() const noexcept { return m_order; }

    /// Text of the prompt.
    const std::string& prompt() const noexcept { return m_prompt; }

    void on_head(const net::http_response& head, net::body_framing framing) override;
    void on_body(std::string_view piece) override;
    void on_complete() override;
    void on_failed(const net::call_failure& failure) override;

private:
    void send();
    void send_to(const net::tcp::endpoint& entry);
    net::http_request make_chat_request() const;
    net::http_request make_service_request() const;
    void on_refusal(const std::string& kind);
    void finish_answer();
    void retry_after(std::chrono::milliseconds delay);
    bool may_retry() const { return m_attempts <= m_context.m_retries; }
    void end(const std::string& failure);

    static constexpr std::chrono::milliseconds reconnect_delay{100};
    static constexpr std::chrono::seconds first_byte_timeout{120};

    const call_context& m_context;     ///< Shared by all calls.
    call_order m_order;                ///< What is asked.
    ended_handler m_on_ended;          ///< Told once.
    std::string m_prompt;              ///< Text of the prompt.
    answer_check m_check;              ///< Compares the answer.
    net::timer m_timer;                ///< Pause before a retry.
    net::tcp::endpoint m_entry;        ///< Instance in use.
    request_outcome m_outcome;         ///< Filled on the way.
    std::uint64_t m_charge = 0;        ///< Prompt and longest answer.
    std::uint64_t m_attempts = 0;      ///< Sendings so far.
    bool m_attempt_conforms = true;    ///< Current sending is within rate.
    unsigned m_status = 0;             ///< Status of the current answer.
    std::uint64_t m_retry_after_s = 0; ///< Pause that a refusal asks for.
    std::string m_error_body;          ///< Body of a refusal.
    core::time_point m_started;        ///< First sending.
};

} // namespace tarragontrail::load
