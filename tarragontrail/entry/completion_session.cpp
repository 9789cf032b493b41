#include "tarragontrail/entry/completion_session.hpp"

#include "tarragontrail/entry/engine_chunk.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/wire/json_document.hpp"

#include <charconv>
#include <fmt/format.h>

namespace tarragontrail::entry {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned status_ok = 200;

/// Times the expected wait that an engine's queue may take before it counts as silent.
constexpr int queue_allowance = 4;

/// Identity that engines return with each chunk.
std::string chunk_identity(core::request_id request, std::uint64_t attempt)
{
    return fmt::format("{}-{}", core::value_of(request), attempt);
}

/// Request and attempt of a chunk identity; zeros when it is none.
std::pair<core::request_id, std::uint64_t> parse_identity(const std::string& text)
{
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
    const char* end = text.data() + text.size();
    const auto [dash, first_error] = std::from_chars(text.data(), end, request);
    if (first_error != std::errc() || dash == end || *dash != '-')
    {
        return {};
    }
    const auto [stop, second_error] = std::from_chars(dash + 1, end, attempt);
    if (second_error != std::errc() || stop != end)
    {
        return {};
    }
    return {core::request_id{request}, attempt};
}

recovery::stream_tracker_settings tracker_settings(const session_settings& settings,
                                                   std::chrono::milliseconds expected_wait)
{
    recovery::stream_tracker_settings tracker;
    tracker.m_read_timeout = settings.m_silence + queue_allowance * expected_wait;
    return tracker;
}

} // namespace

/// Hands the bytes of one attempt to its session.
class completion_session::attempt_listener : public net::call_listener
{
public:
    attempt_listener(std::weak_ptr<completion_session> session, std::uint64_t attempt)
        : m_session(std::move(session)), m_attempt(attempt)
    {}

    void on_head(const net::http_response& head, net::body_framing /*framing*/) override
    {
        m_ok = head.result_int() == status_ok;
        const auto session = m_session.lock();
        if (session && !m_ok)
        {
            session->on_engine_status(m_attempt, head.result_int());
        }
    }

    void on_body(std::string_view piece) override
    {
        const auto session = m_session.lock();
        if (!session || !m_ok)
        {
            return;
        }
        m_reader.feed(piece, [this, &session](std::string_view data) {
            session->on_engine_data(m_attempt, data);
        });
    }

    void on_complete() override
    {
        over({net::call_stage::receiving, net::call_fault::closed, false});
    }

    void on_failed(const net::call_failure& failure) override { over(failure); }

private:
    void over(const net::call_failure& failure)
    {
        if (const auto session = m_session.lock())
        {
            session->on_attempt_over(m_attempt, failure);
        }
    }

    std::weak_ptr<completion_session> m_session; ///< Gone when the session has ended.
    std::uint64_t m_attempt;                     ///< Attempt that this call stands for.
    net::sse_reader m_reader;                    ///< Events of the stream.
    bool m_ok = false;                           ///< The engine accepted the request.
};

completion_session::completion_session(std::shared_ptr<net::http_exchange> exchange,
                                       std::shared_ptr<const completion_request> request,
                                       control_port& control, net::http_client& client,
                                       boost::asio::io_context& context,
                                       const session_settings& settings)
    : m_exchange(std::move(exchange)), m_request(std::move(request)), m_control(control),
      m_client(client), m_settings(settings), m_timer(context)
{}

void completion_session::start(std::function<void()> on_closed)
{
    m_on_closed = std::move(on_closed);
    m_exchange->on_client_gone([weak = weak_from_this()](net::close_cause cause) {
        if (const auto self = weak.lock())
        {
            observe::log("caller_left", {{"request", core::value_of(self->m_request->m_id)},
                                         {"cause", net::to_string(cause)}});
            self->close(false);
        }
    });
    if (!m_control.begin(m_request, shared_from_this()))
    {
        on_refused({problem_kind::overloaded, core::execution::not_run,
                    "this instance has too much to do", std::chrono::milliseconds(1000)});
    }
}

void completion_session::on_dispatch(const dispatch_order& order)
{
    if (m_closed)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    if (!m_tracker)
    {
        m_tracker.emplace(tracker_settings(m_settings, order.m_expected_wait), m_request->m_id,
                          m_request->m_resume_from, order.m_deadline, now);
    }
    m_tracker->on_attempt_started(order.m_attempt, now);

    // The request to the engine is built anew, so nothing of the caller's head goes along.
    json body = m_request->m_body;
    body["stream"] = true;
    body["max_tokens"] = m_request->m_max_output_tokens;
    body["cache_salt"] = order.m_cache_salt;
    body["priority"] = order.m_priority;
    body["resume_from"] = m_tracker->delivered();
    net::http_request request =
        net::make_request(http::verb::post, "/v1/chat/completions",
                          body.dump(-1, ' ', false, json::error_handler_t::replace));
    request.set("X-Request-Id", chunk_identity(order.m_request, order.m_attempt));

    net::call_settings settings;
    settings.m_connect_timeout = m_settings.m_connect_timeout;
    // A long queue is no silence: what the decision expected is waited for as well, with room.
    settings.m_first_byte_timeout = m_settings.m_silence + queue_allowance * order.m_expected_wait;
    settings.m_idle_timeout = m_settings.m_silence;
    m_call = m_client.start(order.m_endpoint, std::move(request), settings,
                            std::make_shared<attempt_listener>(weak_from_this(), order.m_attempt));
    run_actions();
}

void completion_session::on_engine_data(std::uint64_t attempt, std::string_view data)
{
    if (m_closed)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    if (data == "[DONE]")
    {
        if (m_has_final)
        {
            m_tracker->on_end({m_request->m_id, attempt, m_final_offset}, now);
        }
        run_actions();
        return;
    }
    engine_chunk chunk;
    try
    {
        chunk = parse_engine_chunk(data);
    }
    catch (const wire::json_error& failure)
    {
        observe::log("engine_chunk_refused",
                     {{"request", core::value_of(m_request->m_id)}, {"reason", failure.what()}});
        lose_attempt(attempt, {net::call_stage::receiving, net::call_fault::malformed, false});
        return;
    }
    const auto [request, of_attempt] = parse_identity(chunk.m_id);
    if (!chunk.m_text.empty())
    {
        m_tracker->on_chunk({request, of_attempt, chunk.m_offset, 1, chunk.m_text}, now);
    }
    const bool is_own = request == m_request->m_id && of_attempt == m_tracker->attempt();
    if (is_own && chunk.m_is_final)
    {
        m_prompt_tokens = chunk.m_prompt_tokens;
        m_cached_tokens = chunk.m_cached_tokens;
        m_final_offset = chunk.m_offset;
        m_has_final = true;
    }
    run_actions();
}

void completion_session::on_engine_status(std::uint64_t attempt, unsigned status)
{
    observe::log("engine_refused",
                 {{"request", core::value_of(m_request->m_id)}, {"status", status}});
    lose_attempt(attempt, {net::call_stage::receiving, net::call_fault::malformed, false});
}

void completion_session::on_attempt_over(std::uint64_t attempt, const net::call_failure& failure)
{
    lose_attempt(attempt, failure);
}

void completion_session::lose_attempt(std::uint64_t attempt, const net::call_failure& failure)
{
    if (m_closed || attempt != m_tracker->attempt())
    {
        return;
    }
    m_failure = failure;
    m_has_final = false;
    const bool not_run = failure.m_stage == net::call_stage::connecting;
    m_tracker->on_attempt_lost(attempt, not_run, core::runtime_clock::now());
    run_actions();
}

void completion_session::run_actions()
{
    for (const recovery::stream_action& action : m_tracker->take_actions())
    {
        if (m_closed)
        {
            return;
        }
        if (const auto* piece = std::get_if<recovery::deliver>(&action))
        {
            deliver(*piece);
        }
        else if (const auto* end = std::get_if<recovery::finished>(&action))
        {
            complete(end->m_tokens);
        }
        else if (const auto* again = std::get_if<recovery::resume>(&action))
        {
            if (m_call)
            {
                m_call->cancel();
            }
            m_control.attempt_failed(m_request->m_id,
                                     {again->m_attempt - 1, m_failure, m_tracker->delivered()});
        }
        else
        {
            const auto& failed = std::get<recovery::failed>(action);
            fail({problem_kind::deadline_passed,
                  failed.m_execution,
                  "the request's deadline passed",
                  {}});
        }
    }
    arm_timer();
}

void completion_session::deliver(const recovery::deliver& piece)
{
    if (!m_first_token)
    {
        m_first_token = true;
        m_control.first_token(m_request->m_id);
    }
    if (!m_request->m_stream)
    {
        m_text += piece.m_text;
        return;
    }
    begin_stream();
    const json delta{{"content", piece.m_text}};
    write_chunk({{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}},
                piece.m_offset + piece.m_tokens, false);
}

void completion_session::begin_stream()
{
    if (m_streaming)
    {
        return;
    }
    m_streaming = true;
    net::http_response head;
    head.result(status_ok);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-cache");
    head.set("X-Request-Id", std::to_string(core::value_of(m_request->m_id)));
    m_exchange->begin_stream(std::move(head));
}

void completion_session::write_chunk(const json& choice, std::uint64_t next_offset, bool with_usage)
{
    json chunk{{"id", std::to_string(core::value_of(m_request->m_id))},
               {"object", "chat.completion.chunk"},
               {"model", m_request->m_model},
               {"choices", json::array({choice})}};
    if (with_usage)
    {
        chunk["usage"] = usage();
    }
    // The event's id is where a caller resumes after it.
    m_exchange->write(fmt::format("id: {}\ndata: {}\n\n", next_offset,
                                  chunk.dump(-1, ' ', false, json::error_handler_t::replace)));
}

std::uint64_t completion_session::generated() const
{
    return m_tracker ? m_tracker->delivered() - m_request->m_resume_from : 0;
}

json completion_session::usage() const
{
    return {{"prompt_tokens", m_prompt_tokens},
            {"completion_tokens", generated()},
            {"cached_tokens", m_cached_tokens}};
}

void completion_session::complete(std::uint64_t tokens)
{
    if (!m_request->m_stream)
    {
        respond_whole();
        close(true);
        return;
    }
    begin_stream();
    write_chunk({{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}, tokens, true);
    m_exchange->write("data: [DONE]\n\n");
    m_exchange->end_stream();
    close(true);
}

void completion_session::respond_whole()
{
    const json message{{"role", "assistant"}, {"content", m_text}};
    const json choice{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    const json body{{"id", std::to_string(core::value_of(m_request->m_id))},
                    {"object", "chat.completion"},
                    {"model", m_request->m_model},
                    {"choices", json::array({choice})},
                    {"usage", usage()}};
    m_exchange->respond(net::make_json_response(
        status_ok, body.dump(-1, ' ', false, json::error_handler_t::replace)));
}

void completion_session::on_refused(const problem& told)
{
    fail(told);
}

void completion_session::on_cancelled(const problem& told)
{
    fail(told);
}

void completion_session::fail(const problem& told)
{
    if (m_closed)
    {
        return;
    }
    if (!m_streaming)
    {
        m_exchange->respond(problem_response(told));
        close(false);
        return;
    }
    // A stream that ends without its end marker is told apart by this event.
    m_exchange->write("event: error\ndata: " + problem_json(told) + "\n\n");
    m_exchange->end_stream();
    close(false);
}

void completion_session::arm_timer()
{
    const auto deadline = m_closed || !m_tracker ? std::nullopt : m_tracker->next_deadline();
    if (!deadline)
    {
        m_timer.cancel();
        return;
    }
    m_timer.run_at(*deadline, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_closed)
        {
            return;
        }
        self->m_failure = {net::call_stage::receiving, net::call_fault::timed_out, false};
        self->m_tracker->on_timer(core::runtime_clock::now());
        self->run_actions();
    });
}

void completion_session::close(bool is_complete)
{
    if (m_closed)
    {
        return;
    }
    m_closed = true;
    m_timer.cancel();
    if (m_call)
    {
        m_call->cancel();
    }
    m_control.end(m_request->m_id, {is_complete, generated(), m_prompt_tokens, m_cached_tokens});
    if (const auto handler = std::exchange(m_on_closed, nullptr))
    {
        handler();
    }
}

} // namespace tarragontrail::entry
