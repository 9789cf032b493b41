#include "tarragontrail/entry/call_request.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/entry/problem.hpp"

namespace tarragontrail::entry {
namespace {

constexpr std::size_t longest_idempotency_key = 255;

} // namespace

call_request parse_call(const net::http_request& request)
{
    call_request parsed;
    parsed.m_caller = identify_caller(request);
    parsed.m_method = std::string(request.method_string());
    parsed.m_target = std::string(net::target_of(request));
    parsed.m_path = std::string(net::path_of(parsed.m_target));
    parsed.m_content_type = net::header_value(request, "Content-Type");
    parsed.m_accept = net::header_value(request, "Accept");
    parsed.m_body = request.body();
    parsed.m_idempotency_key = net::header_value(request, "Idempotency-Key");
    if (parsed.m_idempotency_key.size() > longest_idempotency_key)
    {
        throw request_error({problem_kind::malformed_request,
                             core::execution::not_run,
                             "Idempotency-Key is longer than 255 bytes",
                             {}});
    }
    parsed.m_timeout = timeout_of(request);
    const std::uint64_t target =
        core::hash_bytes(parsed.m_target, core::hash_bytes(parsed.m_method));
    parsed.m_fingerprint = core::hash_bytes(parsed.m_body, target);
    return parsed;
}

} // namespace tarragontrail::entry
