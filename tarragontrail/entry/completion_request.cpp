#include "tarragontrail/entry/completion_request.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/entry/json_input.hpp"
#include "tarragontrail/entry/problem.hpp"
#include "tarragontrail/routing/prefix_chain.hpp"

namespace tarragontrail::entry {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::uint64_t longest_timeout_ms = 3'600'000;

[[noreturn]] void refuse(const std::string& detail)
{
    throw request_error({problem_kind::malformed_request, core::execution::not_run, detail, {}});
}

std::optional<std::uint64_t> unsigned_header(const net::http_request& request,
                                             std::string_view name)
{
    const std::string text = net::header_value(request, name);
    if (text.empty())
    {
        return std::nullopt;
    }
    const auto value = core::parse_number(text);
    if (!value)
    {
        refuse(std::string(name) + " is not a whole number");
    }
    return value;
}

std::uint64_t unsigned_member(const json& body, const char* name, std::uint64_t missing)
{
    const auto found = body.find(name);
    if (found == body.end())
    {
        return missing;
    }
    if (!found->is_number_unsigned())
    {
        refuse(std::string(name) + " is not a whole number");
    }
    return found->get<std::uint64_t>();
}

/// Text of one message's content: a string, or a list of text parts.
std::string content_text(const json& content)
{
    if (content.is_string())
    {
        return content.get<std::string>();
    }
    if (!content.is_array())
    {
        refuse("messages[].content is neither text nor a list of parts");
    }
    std::string text;
    for (const json& part : content)
    {
        if (!part.is_object() || !part.contains("text") || !part["text"].is_string())
        {
            refuse("messages[].content has a part without text");
        }
        text += part["text"].get<std::string>();
    }
    return text;
}

std::string canonical_prompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
    {
        refuse("messages is not a list with at least one entry");
    }
    std::string prompt;
    for (const json& message : *messages)
    {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
            !message.contains("content"))
        {
            refuse("messages[] needs role and content");
        }
        prompt += message["role"].get<std::string>() + "\n";
        prompt += content_text(message["content"]) + "\n";
    }
    return prompt;
}

/// Whether escapes in a body hide the key: an upstream undoes them.
bool escaped_key_in(const std::string& body, const std::string& key)
{
    if (net::percent_decode(body).find(key) != std::string::npos)
    {
        return true;
    }
    if (body.find('\\') == std::string::npos)
    {
        return false;
    }
    if (nests_too_deep(body))
    {
        refuse("body nests too deep");
    }
    const json tree = json::parse(body, nullptr, false);
    return !tree.is_discarded() && holds_text(tree, key);
}

bool contains_key(const net::http_request& request, const std::string& key)
{
    if (net::percent_decode(net::target_of(request)).find(key) != std::string::npos ||
        request.body().find(key) != std::string::npos || escaped_key_in(request.body(), key))
    {
        return true;
    }
    for (const auto& field : request)
    {
        const bool own = field.name() == http::field::authorization ||
                         boost::beast::iequals(field.name_string(), "x-api-key");
        const std::string_view value(field.value().data(), field.value().size());
        if (!own && value.find(key) != std::string_view::npos)
        {
            return true;
        }
    }
    return false;
}

} // namespace

std::string key_of(const net::http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string authorization = net::header_value(request, "Authorization");
    if (authorization.size() > scheme.size() &&
        boost::beast::iequals(authorization.substr(0, scheme.size()), scheme.data()))
    {
        return authorization.substr(scheme.size());
    }
    return net::header_value(request, "X-Api-Key");
}

caller_identity identify_caller(const net::http_request& request)
{
    const std::string key = key_of(request);
    if (key.empty())
    {
        return {};
    }
    if (contains_key(request, key))
    {
        throw request_error({problem_kind::key_in_request,
                             core::execution::not_run,
                             "the key may stand in its header only",
                             {}});
    }
    return {config::sha256(key)};
}

std::optional<std::chrono::milliseconds> timeout_of(const net::http_request& request)
{
    const auto timeout = unsigned_header(request, "X-Request-Timeout-Ms");
    if (!timeout)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(*timeout, longest_timeout_ms));
}

completion_request parse_completion(const net::http_request& request,
                                    const completion_limits& limits)
{
    completion_request parsed;
    parsed.m_caller = identify_caller(request);
    parsed.m_path = std::string(net::path_of(net::target_of(request)));
    parsed.m_body = parse_json_object(request.body());
    const json& body = parsed.m_body;
    if (!body.contains("model") || !body["model"].is_string())
    {
        refuse("model is missing");
    }

    // "model:adapter" names an adapter of a model.
    parsed.m_model = body["model"].get<std::string>();
    const std::size_t colon = parsed.m_model.find(':');
    if (colon != std::string::npos)
    {
        parsed.m_adapter = parsed.m_model.substr(colon + 1);
        parsed.m_model.resize(colon);
    }

    parsed.m_prompt = canonical_prompt(body);
    parsed.m_prompt_tokens = parsed.m_prompt.size() / routing::bytes_per_token + 1;
    parsed.m_max_output_tokens =
        unsigned_member(body, "max_tokens", limits.m_default_output_tokens);
    if (parsed.m_max_output_tokens == 0 || parsed.m_max_output_tokens > limits.m_max_output_tokens)
    {
        refuse("max_tokens lies outside 1 to " + std::to_string(limits.m_max_output_tokens));
    }
    if (body.contains("stream") && !body["stream"].is_boolean())
    {
        refuse("stream is neither true nor false");
    }
    parsed.m_stream = body.value("stream", false);
    parsed.m_resume_from = unsigned_header(request, "Last-Event-ID").value_or(0);
    parsed.m_timeout = timeout_of(request);
    parsed.m_fingerprint = core::hash_bytes(parsed.m_prompt, core::hash_name(parsed.m_model));
    return parsed;
}

} // namespace tarragontrail::entry
