#include "tarragontrail/idempotency/call_row.hpp"

#include "tarragontrail/wire/cbor_fields.hpp"

#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace tarragontrail::idempotency {

namespace {

constexpr std::uint64_t call_row_format = 2;

/// Rows of this format do not tell whether the end of the answer is proven.
constexpr std::uint64_t format_without_proof = 1;

} // namespace

std::string encode_row(const call_row& row)
{
    nlohmann::json fields = nlohmann::json::array();
    wire::put_field(fields, call_row_format);
    wire::put_field(fields, row.m_owner.m_instance);
    wire::put_field(fields, row.m_owner.m_started);
    wire::put_field(fields, row.m_owner.m_request);
    wire::put_field(fields, row.m_owner.m_attempt_nonce);
    wire::put_field(fields, row.m_fingerprint);
    wire::put_field(fields, row.m_state);
    wire::put_field(fields, row.m_answer.m_status);
    wire::put_field(fields, row.m_answer.m_headers);
    wire::put_field(fields, row.m_answer.m_body);
    wire::put_field(fields, row.m_object);
    wire::put_field(fields, row.m_answer.m_is_end_proven);
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    return bytes;
}

call_row decode_row(const std::string& bytes)
{
    call_row row;
    try
    {
        const nlohmann::json fields = wire::parse_cbor(bytes);
        wire::field_reader reader(fields, 0);
        std::uint64_t format = 0;
        reader.get(format);
        reader.get(row.m_owner.m_instance);
        reader.get(row.m_owner.m_started);
        reader.get(row.m_owner.m_request);
        reader.get(row.m_owner.m_attempt_nonce);
        reader.get(row.m_fingerprint);
        reader.get(row.m_state);
        reader.get(row.m_answer.m_status);
        reader.get(row.m_answer.m_headers);
        reader.get(row.m_answer.m_body);
        reader.get(row.m_object);
        if (format != format_without_proof)
        {
            reader.get(row.m_answer.m_is_end_proven);
        }
        reader.expect_end();
        if (format < format_without_proof || format > call_row_format ||
            row.m_state < call_state::intended || row.m_state > call_state::unknown)
        {
            throw call_row_error("call row has an unknown format or state");
        }
    }
    catch (const wire::decode_error& cause)
    {
        throw call_row_error(cause.what());
    }
    return row;
}

std::string row_key(core::workspace_id workspace, const std::string& key)
{
    return fmt::format("{:016x}:{}", core::value_of(workspace), key);
}

} // namespace tarragontrail::idempotency
