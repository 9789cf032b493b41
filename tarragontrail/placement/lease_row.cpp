#include "tarragontrail/placement/lease_row.hpp"

#include "tarragontrail/wire/cbor_fields.hpp"

#include <nlohmann/json.hpp>

namespace tarragontrail::placement {

std::string encode_row(const lease_row& row)
{
    nlohmann::json fields = nlohmann::json::array();
    wire::put_field(fields, row.m_holder);
    wire::put_field(fields, row.m_started);
    wire::put_field(fields, row.m_nonce);
    wire::put_field(fields, row.m_sequence);
    wire::put_field(fields, row.m_fence);
    wire::put_field(fields, row.m_wait);
    wire::put_field(fields, row.m_free);
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    return bytes;
}

lease_row decode_row(const std::string& bytes)
{
    lease_row row;
    try
    {
        const nlohmann::json fields = wire::parse_cbor(bytes);
        wire::field_reader reader(fields, 0);
        reader.get(row.m_holder);
        reader.get(row.m_started);
        reader.get(row.m_nonce);
        reader.get(row.m_sequence);
        reader.get(row.m_fence);
        reader.get(row.m_wait);
        reader.get(row.m_free);
        reader.expect_end();
    }
    catch (const wire::decode_error& cause)
    {
        throw lease_row_error(cause.what());
    }
    return row;
}

} // namespace tarragontrail::placement
