#include "tarragontrail/load/load_call.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace tarragontrail::load {

using nlohmann::json;
using verb = boost::beast::http::verb;

namespace {

constexpr const char* broken_stream_kind = "stream_broken";
constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

/// Kind of a refusal: the problem document's title, or the status.
std::string failure_kind(unsigned status, const std::string& body)
{
    const json document = json::parse(body, nullptr, false);
    if (document.is_object() && document.contains("title") && document["title"].is_string())
    {
        return document["title"].get<std::string>();
    }
    return "status " + std::to_string(status);
}

answer_text expected_answer(const std::string& prompt, const call_order& order,
                            std::uint64_t max_tokens)
{
    const bool is_chat = !order.m_messages.empty();
    return {prompt, is_chat ? order.m_messages.back().m_content : "", is_chat ? max_tokens : 0};
}

} // namespace

load_call::load_call(const call_context& context, call_order order, ended_handler on_ended)
    : m_context(context), m_order(std::move(order)), m_on_ended(std::move(on_ended)),
      m_prompt(prompt_text(m_order.m_messages)),
      m_check(expected_answer(m_prompt, m_order, context.m_max_tokens)), m_timer(context.m_context)
{
    const bool is_service = m_order.m_request.m_service;
    m_outcome.m_workspace = m_order.m_request.m_workspace;
    m_outcome.m_service = is_service;
    m_charge = is_service ? 0 : count_tokens(m_prompt) + 1 + context.m_max_tokens;
    m_outcome.m_demand_tokens = is_service ? 0 : count_tokens(m_prompt) + m_check.expected_tokens();
}

void load_call::start()
{
    m_started = core::runtime_clock::now();
    send();
}

void load_call::send()
{
    ++m_attempts;
    m_status = 0;
    m_error_body.clear();
    m_context.m_finder.find(m_order.m_site, [self = shared_from_this()](const auto& entry) {
        if (!entry)
        {
            self->end("no_entry");
            return;
        }
        self->send_to(*entry);
    });
}

void load_call::send_to(const net::tcp::endpoint& entry)
{
    m_entry = entry;
    token_allowance* allowance = m_order.m_allowance;
    m_attempt_conforms = !allowance || allowance->take(m_charge, core::runtime_clock::now());
    m_outcome.m_conforms = m_outcome.m_conforms && m_attempt_conforms;
    net::call_settings settings;
    settings.m_first_byte_timeout = first_byte_timeout;
    const bool is_service = m_order.m_request.m_service;
    m_context.m_client.start(entry, is_service ? make_service_request() : make_chat_request(),
                             settings, shared_from_this());
}

net::http_request load_call::make_chat_request() const
{
    json messages = json::array();
    for (const chat_message& message : m_order.m_messages)
    {
        messages.push_back({{"role", message.m_role}, {"content", message.m_content}});
    }
    const json body{{"model", m_context.m_model},
                    {"messages", std::move(messages)},
                    {"max_tokens", m_context.m_max_tokens},
                    {"stream", true}};
    net::http_request request = net::make_request(verb::post, "/v1/chat/completions", body.dump());
    request.set("Authorization", "Bearer " + m_order.m_key);
    if (m_check.tokens() > 0)
    {
        request.set("Last-Event-ID", std::to_string(m_check.tokens()));
    }
    return request;
}

net::http_request load_call::make_service_request() const
{
    const json body{{"order", m_order.m_idempotency_key}};
    net::http_request request =
        net::make_request(verb::post, m_context.m_service_path, body.dump());
    request.set("Authorization", "Bearer " + m_order.m_key);
    request.set("Idempotency-Key", m_order.m_idempotency_key);
    return request;
}

void load_call::on_head(const net::http_response& head, net::body_framing /*framing*/)
{
    m_status = head.result_int();
    const std::string seconds = net::header_value(head, "Retry-After");
    m_retry_after_s = 0;
    std::from_chars(seconds.data(), seconds.data() + seconds.size(), m_retry_after_s);
}

void load_call::on_body(std::string_view piece)
{
    if (m_status != status_ok || m_outcome.m_service)
    {
        m_error_body.append(piece);
        return;
    }
    m_check.on_bytes(piece);
    if (!m_outcome.m_first_token && m_check.tokens() > 0)
    {
        m_outcome.m_first_token = core::runtime_clock::now() - m_started;
    }
}

void load_call::on_complete()
{
    if (m_status != status_ok)
    {
        on_refusal(failure_kind(m_status, m_error_body));
        return;
    }
    if (m_outcome.m_service)
    {
        m_outcome.m_ok = true;
        end({});
        return;
    }
    finish_answer();
}

void load_call::on_refusal(const std::string& kind)
{
    const bool refused = m_status == status_too_many_requests || m_status == status_unavailable;
    if (m_order.m_allowance)
    {
        m_order.m_allowance->refund(m_charge, core::runtime_clock::now());
    }
    if (refused)
    {
        ++m_outcome.m_refusals;
        m_outcome.m_refused_within_rate = m_outcome.m_refused_within_rate || m_attempt_conforms;
    }
    if (refused && m_retry_after_s > 0 && may_retry())
    {
        retry_after(std::chrono::seconds(m_retry_after_s));
        return;
    }
    m_outcome.m_refused = refused;
    end(kind);
}

void load_call::finish_answer()
{
    m_outcome.m_usage = m_check.usage();
    const answer_fault verdict = m_check.verdict();
    m_outcome.m_ok = verdict == answer_fault::none;
    if (m_order.m_allowance)
    {
        const std::uint64_t used = std::min(m_charge, m_outcome.m_demand_tokens);
        m_order.m_allowance->refund(m_charge - used, core::runtime_clock::now());
    }
    if (m_check.reported() == broken_stream_kind && may_retry())
    {
        ++m_outcome.m_resumes;
        m_check.on_stream_lost();
        retry_after(reconnect_delay);
        return;
    }
    if (verdict == answer_fault::reported)
    {
        end(m_check.reported());
        return;
    }
    end(m_outcome.m_ok ? "" : to_string(verdict));
}

void load_call::on_failed(const net::call_failure& failure)
{
    const bool not_sent = failure.m_stage == net::call_stage::connecting;
    const bool stale_connection = failure.m_reused_connection && m_status == 0;
    const bool broken_stream = m_check.tokens() > 0 && m_check.fault() == answer_fault::none;
    m_context.m_finder.forget(m_order.m_site, m_entry);
    m_context.m_client.forget(m_entry);
    if (m_order.m_allowance && not_sent)
    {
        m_order.m_allowance->refund(m_charge, core::runtime_clock::now());
    }
    if ((not_sent || stale_connection || broken_stream) && may_retry())
    {
        m_outcome.m_resumes += broken_stream ? 1 : 0;
        m_check.on_stream_lost();
        retry_after(reconnect_delay);
        return;
    }
    if (m_check.fault() != answer_fault::none)
    {
        end(to_string(m_check.fault()));
        return;
    }
    end(broken_stream ? broken_stream_kind
                      : "connection_" + std::string(net::to_string(failure.m_fault)));
}

void load_call::retry_after(std::chrono::milliseconds delay)
{
    m_timer.run_after(delay, [self = shared_from_this()] { self->send(); });
}

void load_call::end(const std::string& failure)
{
    m_outcome.m_failure = failure;
    m_on_ended(*this);
}

} // namespace tarragontrail::load
