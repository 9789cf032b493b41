#include "tarragontrail/wire/generated_messages.hpp"

#include "tarragontrail/wire/cbor_fields.hpp"

namespace tarragontrail::wire {
namespace {

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const hello& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(1);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_started);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] hello& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_started);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const link_heartbeat& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(2);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] link_heartbeat& value)
{
    fields.expect_end();
}

template <class Message>
message read_message(const nlohmann::json& fields)
{
    Message value;
    from_fields(field_reader(fields, 1), value);
    return value;
}

} // namespace

std::string encode(const message& value)
{
    const nlohmann::json fields =
        std::visit([](const auto& item) { return to_fields(item); }, value);
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    return bytes;
}

message decode(const std::string& bytes)
{
    const nlohmann::json fields = parse_cbor(bytes);
    switch (read_tag(fields))
    {
    case 1:
        return read_message<hello>(fields);
    case 2:
        return read_message<link_heartbeat>(fields);
    default:
        throw decode_error("unknown message tag");
    }
}

} // namespace tarragontrail::wire
