#include "stand_ins/chat_request.hpp"

namespace tarragontrail::stand_ins {

using nlohmann::json;

namespace {

constexpr std::uint64_t default_max_tokens = 64;

} // namespace

chat_request parse_chat_request(const net::http_request& request)
{
    const json body = parse_body(request);
    std::vector<load::chat_message> messages;
    for (const json& message : body.at("messages"))
    {
        messages.push_back({message.at("role"), message.at("content")});
    }
    if (messages.empty())
    {
        throw bad_request("no messages");
    }
    const std::string prompt = load::prompt_text(messages);
    chat_request parsed;
    parsed.m_id = net::header_value(request, "X-Request-Id");
    parsed.m_model = body.at("model");
    parsed.m_salt =
        body.contains("cache_salt") ? parse_number(body.at("cache_salt").get<std::string>()) : 0;
    parsed.m_blocks = load::hash_blocks(prompt, parsed.m_salt);
    parsed.m_prompt_tokens = load::count_tokens(prompt);
    parsed.m_resume_from = body.value("resume_from", std::uint64_t{0});
    parsed.m_priority = body.value("priority", std::int64_t{0});
    parsed.m_stream = body.value("stream", false);
    parsed.m_answer = load::answer_text(prompt, messages.back().m_content,
                                        body.value("max_tokens", default_max_tokens));
    return parsed;
}

chat_response::chat_response(exchange_pointer exchange, std::uint64_t weights_version)
    : m_exchange(std::move(exchange)), m_weights_version(weights_version)
{}

void chat_response::send_tokens(const chat_request& request, std::uint64_t first,
                                std::uint64_t last)
{
    if (!request.m_stream)
    {
        for (std::uint64_t i = first; i < last; ++i)
        {
            m_text += request.m_answer.token(i);
        }
        return;
    }
    begin_stream();
    json chunk = body_of(request, "chat.completion.chunk");
    std::string events;
    for (std::uint64_t i = first; i < last; ++i)
    {
        chunk["offset"] = i;
        chunk["choices"] = {{{"index", 0},
                             {"delta", {{"content", request.m_answer.token(i)}}},
                             {"finish_reason", nullptr}}};
        events += "data: " + chunk.dump() + "\n\n";
    }
    m_exchange->write(events);
}

void chat_response::finish(const chat_request& request, std::uint64_t cached_tokens)
{
    const std::uint64_t size = request.m_answer.size();
    json body = body_of(request, request.m_stream ? "chat.completion.chunk" : "chat.completion");
    body["usage"] = {{"prompt_tokens", request.m_prompt_tokens},
                     {"completion_tokens", size - std::min(size, request.m_resume_from)},
                     {"cached_tokens", cached_tokens}};
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (!request.m_stream)
    {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
        body["choices"] = {choice};
        reply(*m_exchange, 200, body);
        return;
    }
    begin_stream();
    choice["delta"] = json::object();
    body["choices"] = {choice};
    body["offset"] = size;
    m_exchange->write("data: " + body.dump() + "\n\ndata: [DONE]\n\n");
    m_exchange->end_stream();
}

void chat_response::begin_stream()
{
    if (m_begun)
    {
        return;
    }
    m_begun = true;
    net::http_response head;
    head.set(boost::beast::http::field::content_type, "text/event-stream");
    m_exchange->begin_stream(std::move(head));
}

json chat_response::body_of(const chat_request& request, const char* object) const
{
    return {{"id", request.m_id},
            {"object", object},
            {"model", request.m_model},
            {"system_fingerprint", "weights-" + std::to_string(m_weights_version)}};
}

} // namespace tarragontrail::stand_ins
