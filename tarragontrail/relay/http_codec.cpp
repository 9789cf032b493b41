#include "tarragontrail/relay/http_codec.hpp"

namespace tarragontrail::relay {

const char* kind_of_unproven(const response_metadata& response) noexcept
{
    switch (response.m_names)
    {
    case named_request::own:
        return "unsigned_success";
    case named_request::other:
        return response.m_is_refusal ? "refusal_of_other_request" : "answer_to_other_request";
    case named_request::none:
        return response.m_is_refusal ? "refusal_without_id" : "answer_without_id";
    }
    return "unknown";
}

const char* to_string(refusal_reason reason) noexcept
{
    switch (reason)
    {
    case refusal_reason::malformed:
        return "malformed";
    case refusal_reason::no_route:
        return "no_route";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::not_ready:
        return "not_ready";
    case refusal_reason::outdated:
        return "outdated";
    case refusal_reason::over_limit:
        return "over_limit";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::no_upstream:
        return "no_upstream";
    case refusal_reason::version_unknown:
        return "version_unknown";
    case refusal_reason::leaving:
        return "leaving";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::suspected:
        return "suspected";
    case refusal_reason::not_run_in_time:
        return "not_run_in_time";
    case refusal_reason::outcome_unknown:
        return "outcome_unknown";
    case refusal_reason::timed_out:
        return "timed_out";
    }
    return "unknown";
}

bool guarantees_not_executed(refusal_reason reason) noexcept
{
    switch (reason)
    {
    case refusal_reason::not_ready:
    case refusal_reason::outdated:
    case refusal_reason::over_limit:
    case refusal_reason::overloaded:
    case refusal_reason::no_upstream:
    case refusal_reason::version_unknown:
    case refusal_reason::leaving:
    case refusal_reason::quarantined:
    case refusal_reason::suspected:
    case refusal_reason::not_run_in_time:
        return true;
    default:
        return false;
    }
}

bool is_promise(unsigned status) noexcept
{
    switch (status)
    {
    case 408:
    case 421:
    case 429:
    case 503:
        return true;
    default:
        return false;
    }
}

} // namespace tarragontrail::relay
