#include "tarragontrail/wire/cbor_fields.hpp"

namespace tarragontrail::wire {

nlohmann::json parse_cbor(const std::string& bytes)
{
    nlohmann::json fields = nlohmann::json::from_cbor(bytes, true, false);
    if (!fields.is_array())
    {
        throw decode_error("message is not a CBOR array");
    }
    return fields;
}

std::uint64_t read_tag(const nlohmann::json& fields)
{
    if (fields.empty() || !fields.front().is_number_unsigned())
    {
        throw decode_error("message has no tag");
    }
    return fields.front().get<std::uint64_t>();
}

field_reader::field_reader(const nlohmann::json& fields, std::size_t first)
    : m_fields(&fields), m_position(first)
{
    require(fields.is_array(), "record is not an array");
}

const nlohmann::json& field_reader::next()
{
    require(m_position < m_fields->size(), "message is too short");
    return (*m_fields)[m_position++];
}

const nlohmann::json& field_reader::next_array()
{
    const nlohmann::json& field = next();
    require(field.is_array(), "field is not an array");
    return field;
}

void field_reader::expect_end() const
{
    require(m_position == m_fields->size(), "message is too long");
}

void field_reader::require(bool holds, const char* reason)
{
    if (!holds)
    {
        throw decode_error(reason);
    }
}

std::uint64_t field_reader::read_unsigned(const nlohmann::json& field)
{
    require(field.is_number_unsigned(), "field is not an unsigned integer");
    return field.get<std::uint64_t>();
}

std::int64_t field_reader::read_signed(const nlohmann::json& field)
{
    require(field.is_number_integer(), "field is not an integer");
    return field.get<std::int64_t>();
}

bool field_reader::read_boolean(const nlohmann::json& field)
{
    require(field.is_boolean(), "field is not a boolean");
    return field.get<bool>();
}

double field_reader::read_number(const nlohmann::json& field)
{
    require(field.is_number(), "field is not a number");
    return field.get<double>();
}

std::string field_reader::read_string(const nlohmann::json& field)
{
    require(field.is_string(), "field is not a string");
    return field.get<std::string>();
}

} // namespace tarragontrail::wire
