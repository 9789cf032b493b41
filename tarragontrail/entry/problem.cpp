#include "tarragontrail/entry/problem.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace tarragontrail::entry {
namespace {

/// Name and status of one kind.
struct kind_text
{
    problem_kind m_kind; ///< Kind.
    const char* m_name;  ///< Name in documents and logs.
    unsigned m_status;   ///< HTTP status.
};

constexpr std::array kind_texts{
    kind_text{problem_kind::malformed_request, "malformed_request", 400},
    kind_text{problem_kind::request_too_large, "request_too_large", 413},
    kind_text{problem_kind::request_too_slow, "request_too_slow", 408},
    kind_text{problem_kind::key_missing, "key_missing", 401},
    kind_text{problem_kind::key_unknown, "key_unknown", 401},
    kind_text{problem_kind::key_withdrawn, "key_withdrawn", 401},
    kind_text{problem_kind::keys_not_vouched, "keys_not_vouched", 503},
    kind_text{problem_kind::key_in_request, "key_in_request", 400},
    kind_text{problem_kind::not_ready, "not_ready", 503},
    kind_text{problem_kind::no_such_route, "no_such_route", 404},
    kind_text{problem_kind::no_such_model, "no_such_model", 404},
    kind_text{problem_kind::rate_exceeded, "rate_exceeded", 429},
    kind_text{problem_kind::charge_above_burst, "charge_above_burst", 413},
    kind_text{problem_kind::limits_unreachable, "limits_unreachable", 503},
    kind_text{problem_kind::overloaded, "overloaded", 503},
    kind_text{problem_kind::deadline_passed, "deadline_passed", 504},
    kind_text{problem_kind::no_upstream, "no_upstream", 503},
    kind_text{problem_kind::quarantined, "quarantined", 422},
    kind_text{problem_kind::upstream_failed, "upstream_failed", 502},
    kind_text{problem_kind::stream_broken, "stream_broken", 502},
    kind_text{problem_kind::key_reused, "key_reused", 422},
    kind_text{problem_kind::call_in_progress, "call_in_progress", 409},
    kind_text{problem_kind::outcome_unknown, "outcome_unknown", 409},
    kind_text{problem_kind::store_unavailable, "store_unavailable", 503},
    kind_text{problem_kind::answer_lost, "answer_lost", 503},
    kind_text{problem_kind::draining, "draining", 503},
    kind_text{problem_kind::forbidden, "forbidden", 403},
    kind_text{problem_kind::conflict, "conflict", 409},
};

const kind_text& text_of(problem_kind kind) noexcept
{
    const auto found = std::find_if(kind_texts.begin(), kind_texts.end(),
                                    [kind](const kind_text& text) { return text.m_kind == kind; });
    return found == kind_texts.end() ? kind_texts.front() : *found;
}

} // namespace

const char* to_string(problem_kind kind) noexcept
{
    return text_of(kind).m_name;
}

unsigned status_of(problem_kind kind) noexcept
{
    return text_of(kind).m_status;
}

std::string problem_json(const problem& told)
{
    const nlohmann::json document{
        {"type", "urn:tarragontrail:" + std::string(to_string(told.m_kind))},
        {"title", to_string(told.m_kind)},
        {"status", status_of(told.m_kind)},
        {"detail", told.m_detail},
        {"execution", core::to_string(told.m_execution)}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::http_response problem_response(const problem& told)
{
    net::http_response response =
        net::make_json_response(status_of(told.m_kind), problem_json(told));
    response.set(boost::beast::http::field::content_type, "application/problem+json");
    if (told.m_retry_after)
    {
        // Whole seconds, rounded up, as the header has no smaller unit.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*told.m_retry_after);
        response.set(boost::beast::http::field::retry_after,
                     std::to_string(std::max<std::int64_t>(1, seconds.count())));
    }
    return response;
}

} // namespace tarragontrail::entry
