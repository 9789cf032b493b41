#include "tarragontrail/load/answer_check.hpp"

#include <algorithm>

namespace tarragontrail::load {

using nlohmann::json;

const char* to_string(answer_fault fault) noexcept
{
    switch (fault)
    {
    case answer_fault::none:
        return "none";
    case answer_fault::cut:
        return "cut";
    case answer_fault::out_of_order:
        return "out_of_order";
    case answer_fault::crossed:
        return "crossed";
    case answer_fault::malformed:
        return "malformed";
    case answer_fault::reported:
        return "reported";
    }
    return "unknown";
}

answer_check::answer_check(const answer_text& expected)
    : m_expected(expected.text_from()), m_expected_tokens(expected.size())
{}

void answer_check::on_bytes(std::string_view piece)
{
    m_buffer.append(piece);
    std::size_t start = 0;
    for (std::size_t end = m_buffer.find('\n'); end != std::string::npos;
         end = m_buffer.find('\n', start))
    {
        on_line(std::string_view(m_buffer).substr(start, end - start));
        start = end + 1;
    }
    m_buffer.erase(0, start);
}

void answer_check::on_stream_lost()
{
    m_buffer.clear();
    m_id.clear();
    m_reported.clear();
    if (m_fault == answer_fault::reported)
    {
        m_fault = answer_fault::none;
    }
}

answer_fault answer_check::verdict() const noexcept
{
    if (m_fault != answer_fault::none)
    {
        return m_fault;
    }
    const bool whole = m_done && m_finished && m_received == m_expected.size();
    return whole ? answer_fault::none : answer_fault::cut;
}

void answer_check::on_line(std::string_view line)
{
    constexpr std::string_view field = "data: ";
    if (!line.starts_with(field))
    {
        return;
    }
    line.remove_prefix(field.size());
    if (line == "[DONE]")
    {
        m_done = true;
        return;
    }
    const json chunk = json::parse(line, nullptr, false);
    try
    {
        on_chunk(chunk);
    }
    catch (const json::exception&)
    {
        set_fault(answer_fault::malformed);
    }
}

void answer_check::on_chunk(const json& chunk)
{
    if (chunk.contains("error") || chunk.contains("title"))
    {
        m_reported = chunk.value("title", "error");
        set_fault(answer_fault::reported);
        return;
    }
    if (const auto usage = chunk.find("usage"); usage != chunk.end() && usage->is_object())
    {
        m_usage.m_prompt_tokens = usage->value("prompt_tokens", std::uint64_t{0});
        m_usage.m_cached_tokens = usage->value("cached_tokens", std::uint64_t{0});
    }
    const std::string id = chunk.at("id");
    if (!m_id.empty() && id != m_id)
    {
        set_fault(answer_fault::crossed);
    }
    m_id = id;
    for (const json& choice : chunk.at("choices"))
    {
        on_content(choice.at("delta").value("content", ""));
        const auto reason = choice.find("finish_reason");
        m_finished = m_finished || (reason != choice.end() && !reason->is_null());
    }
}

void answer_check::on_content(const std::string& content)
{
    if (m_expected.compare(m_received, content.size(), content) != 0)
    {
        // The first token names the prompt, so a wrong beginning is another request's answer.
        set_fault(m_received == 0 ? answer_fault::crossed : answer_fault::out_of_order);
        return;
    }
    m_received += content.size();
    m_tokens += static_cast<std::uint64_t>(std::count(content.begin(), content.end(), ' '));
}

void answer_check::set_fault(answer_fault fault)
{
    if (m_fault == answer_fault::none)
    {
        m_fault = fault;
    }
}

} // namespace tarragontrail::load
