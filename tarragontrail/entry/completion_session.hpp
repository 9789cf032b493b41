#pragma once

#include "tarragontrail/entry/control_port.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/net/sse_reader.hpp"
#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/recovery/stream_tracker.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace tarragontrail::entry {

/// Settings of completion sessions.
struct session_settings
{
    std::chrono::milliseconds m_connect_timeout{1000}; ///< Longest wait for an engine's connection.
    std::chrono::milliseconds m_silence{15'000};       ///< Silence at which an attempt is given up.
};

/// One caller's completion: sends attempts to engines and answers from one unbroken stream.
///
/// Lives on the callers' thread until the answer is complete, refused, or the caller has left.
class completion_session : public completion_listener,
                           public std::enable_shared_from_this<completion_session>
{
public:
    completion_session(std::shared_ptr<net::http_exchange> exchange,
                       std::shared_ptr<const completion_request> request, control_port& control,
                       net::http_client& client, boost::asio::io_context& context,
                       const session_settings& settings);

    /// Hands the request to the control thread; `on_closed` is called at the end.
    void start(std::function<void()> on_closed);

    void on_dispatch(const dispatch_order& order) override;
    void on_refused(const problem& told) override;
    void on_cancelled(const problem& told) override;

private:
    class attempt_listener;

    void on_engine_data(std::uint64_t attempt, std::string_view data);
    void on_engine_status(std::uint64_t attempt, unsigned status);
    void on_attempt_over(std::uint64_t attempt, const net::call_failure& failure);
    void lose_attempt(std::uint64_t attempt, const net::call_failure& failure);
    void run_actions();
    void deliver(const recovery::deliver& piece);
    void complete(std::uint64_t tokens);
    void fail(const problem& told);
    void begin_stream();
    void write_chunk(const nlohmann::json& choice, std::uint64_t next_offset, bool with_usage);
    void respond_whole();
    nlohmann::json usage() const;
    std::uint64_t generated() const;
    void arm_timer();
    void close(bool is_complete);

    std::shared_ptr<net::http_exchange> m_exchange;      ///< Caller's connection.
    std::shared_ptr<const completion_request> m_request; ///< Request.
    control_port& m_control;                             ///< Decisions.
    net::http_client& m_client;                          ///< Connections to engines.
    session_settings m_settings;                         ///< Timeouts.
    net::timer m_timer;                                  ///< Next deadline of the tracker.
    std::optional<recovery::stream_tracker> m_tracker;   ///< Order; from the first dispatch on.
    std::shared_ptr<net::http_call> m_call;              ///< Attempt under way.
    net::call_failure m_failure;                         ///< Why the last attempt was lost.
    std::uint64_t m_prompt_tokens = 0;                   ///< As the engine counted them.
    std::uint64_t m_cached_tokens = 0;                   ///< Of these, found in its cache.
    std::uint64_t m_final_offset = 0;                    ///< Offset of the end marker.
    bool m_has_final = false;                            ///< The last chunk has arrived.
    bool m_streaming = false;                            ///< The response has begun.
    bool m_first_token = false;                          ///< A token was delivered.
    bool m_closed = false;                               ///< Nothing more is done.
    std::string m_text;                                  ///< Answer, when not streamed.
    std::function<void()> m_on_closed;                   ///< Told at the end.
};

} // namespace tarragontrail::entry
