#include "tarragontrail/entry/call_session.hpp"

#include "tarragontrail/observe/log.hpp"

namespace tarragontrail::entry {
namespace {

namespace http = boost::beast::http;

http::verb verb_of(const std::string& method)
{
    return http::string_to_verb(method);
}

} // namespace

call_session::call_session(std::shared_ptr<net::http_exchange> exchange,
                           std::shared_ptr<const call_request> request, control_port& control,
                           net::http_client& client, const session_settings& settings)
    : m_exchange(std::move(exchange)), m_request(std::move(request)), m_control(control),
      m_client(client), m_settings(settings)
{}

void call_session::start(std::function<void()> on_closed)
{
    m_on_closed = std::move(on_closed);
    m_exchange->on_client_gone([weak = weak_from_this()](net::close_cause cause) {
        if (const auto self = weak.lock())
        {
            observe::log("caller_left", {{"request", core::value_of(self->m_request->m_id)},
                                         {"cause", net::to_string(cause)}});
            self->m_control.call_abandoned(self->m_request->m_id);
        }
    });
    if (!m_control.begin(m_request, shared_from_this()))
    {
        on_refused({problem_kind::overloaded, core::execution::not_run,
                    "this instance has too much to do", std::chrono::milliseconds(1000)});
    }
}

void call_session::on_dispatch(const call_order& order)
{
    // The head is built anew, so that neither the caller's key nor its other headers go along.
    net::http_request request =
        net::make_request(verb_of(m_request->m_method), m_request->m_target, m_request->m_body);
    request.set("X-Request-Id", std::to_string(core::value_of(order.m_request)));
    if (!m_request->m_content_type.empty())
    {
        request.set(http::field::content_type, m_request->m_content_type);
    }
    if (!m_request->m_accept.empty())
    {
        request.set(http::field::accept, m_request->m_accept);
    }
    if (!m_request->m_idempotency_key.empty())
    {
        request.set("Idempotency-Key", m_request->m_idempotency_key);
    }

    // A fresh connection tells "no byte was sent" from everything else.
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        order.m_deadline - core::runtime_clock::now());
    net::call_settings settings;
    settings.m_fresh_connection = true;
    settings.m_connect_timeout = m_settings.m_connect_timeout;
    settings.m_first_byte_timeout = std::max(left, std::chrono::milliseconds(1));
    settings.m_idle_timeout = m_settings.m_silence;
    m_client.fetch(order.m_endpoint, std::move(request), settings,
                   [self = shared_from_this(),
                    attempt = order.m_attempt](const net::http_client::fetch_result& result) {
                       self->on_result(attempt, result);
                   });
}

void call_session::on_result(std::uint64_t attempt, const net::http_client::fetch_result& result)
{
    if (!result.m_ok)
    {
        m_control.call_failed(m_request->m_id, attempt, result.m_failure);
        return;
    }
    idempotency::service_answer answer;
    answer.m_status = result.m_response.result_int();
    answer.m_headers = net::header_value(result.m_response, "Content-Type");
    answer.m_body = result.m_response.body();
    answer.m_is_end_proven = result.m_framing != net::body_framing::until_close;
    m_control.call_answered(m_request->m_id, attempt, std::move(answer));
}

void call_session::on_answer(const idempotency::service_answer& answer, bool replayed)
{
    net::http_response response;
    response.result(static_cast<unsigned>(answer.m_status));
    if (!answer.m_headers.empty())
    {
        response.set(http::field::content_type, answer.m_headers);
    }
    response.set("X-Request-Id", std::to_string(core::value_of(m_request->m_id)));
    if (replayed)
    {
        response.set("Idempotent-Replayed", "true");
    }
    if (answer.m_is_end_proven)
    {
        response.body() = answer.m_body;
        m_exchange->respond(std::move(response));
    }
    else
    {
        m_exchange->begin_until_close(std::move(response));
        m_exchange->write(answer.m_body);
        m_exchange->end_stream();
    }
    close();
}

void call_session::on_refused(const problem& told)
{
    m_exchange->respond(problem_response(told));
    close();
}

void call_session::close()
{
    if (const auto handler = std::exchange(m_on_closed, nullptr))
    {
        handler();
    }
}

} // namespace tarragontrail::entry
