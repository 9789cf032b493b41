#include "tarragontrail/wire/cbor_fields.hpp"

#include "tarragontrail/wire/json_document.hpp"

#include <cmath>
#include <limits>

namespace tarragontrail::wire {

namespace {

/// Passes over CBOR bytes and stops at what no message has: the library reads nested arrays
/// recursively, and counts that no memory holds end in an exception.
class cbor_bounds : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit cbor_bounds(std::size_t bytes) : m_bytes(bytes) {}

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool key(string_t& /*value*/) override { return true; }
    bool start_object(std::size_t count) override { return enter(count); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t count) override { return enter(count); }
    bool end_array() override { return leave(); }

    bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                     const nlohmann::json::exception& /*failure*/) override
    {
        return false;
    }

private:
    bool enter(std::size_t count)
    {
        constexpr auto unknown_count = static_cast<std::size_t>(-1);
        // Each entry takes a byte or more.
        return ++m_depth <= nesting_limit && (count == unknown_count || count <= m_bytes);
    }

    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_bytes;     ///< Size of the whole message.
    std::size_t m_depth = 0; ///< Arrays and objects that are open.
};

} // namespace

nlohmann::json parse_cbor(const std::string& bytes)
{
    cbor_bounds bounds(bytes.size());
    if (!nlohmann::json::sax_parse(bytes, &bounds, nlohmann::json::input_format_t::cbor))
    {
        throw decode_error("message is malformed, nests too deep or counts too much");
    }
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
    constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    require(!field.is_number_unsigned() || field.get<std::uint64_t>() <= largest,
            "integer is too large");
    return field.get<std::int64_t>();
}

std::chrono::milliseconds field_reader::read_milliseconds(const nlohmann::json& field)
{
    // Such a time and one of the clock add up within the clock's range.
    constexpr std::chrono::milliseconds longest = std::chrono::hours(24 * 366 * 50);
    const std::chrono::milliseconds time(read_signed(field));
    require(time >= -longest && time <= longest, "time is out of range");
    return time;
}

bool field_reader::read_boolean(const nlohmann::json& field)
{
    require(field.is_boolean(), "field is not a boolean");
    return field.get<bool>();
}

double field_reader::read_number(const nlohmann::json& field)
{
    require(field.is_number() && std::isfinite(field.get<double>()), "field is not a number");
    return field.get<double>();
}

std::string field_reader::read_string(const nlohmann::json& field)
{
    require(field.is_string(), "field is not a string");
    return field.get<std::string>();
}

} // namespace tarragontrail::wire
