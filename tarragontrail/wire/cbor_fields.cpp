#include "tarragontrail/wire/cbor_fields.hpp"

#include "tarragontrail/wire/json_document.hpp"

#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace tarragontrail::wire {

namespace {

/// Passes over the items of CBOR bytes and tells what no message has. The library reads nested
/// items recursively, chunks of texts and bytes among them, and counts that no memory holds end in
/// an exception, so it gets only bytes that passed.
class cbor_scan
{
public:
    explicit cbor_scan(std::string_view bytes) : m_bytes(bytes) {}

    /// Whether the bytes are one item without heads of unknown length, within the nesting limit
    /// and with no count beyond the size of the message.
    bool is_bounded()
    {
        std::vector<std::uint64_t> open{1}; // Items that each open array or object still lacks.
        while (!open.empty())
        {
            if (open.back() == 0)
            {
                open.pop_back();
                continue;
            }
            --open.back();
            const std::optional<std::uint64_t> items = read_item();
            if (!items)
            {
                return false;
            }
            if (*items > 0)
            {
                open.push_back(*items);
            }
            // The first level is that of the message itself.
            if (open.size() > nesting_limit + 1)
            {
                return false;
            }
        }
        return m_position == m_bytes.size();
    }

private:
    /// Passes over one item's head, and over the content of a text or bytes; returns the number of
    /// items inside, or nothing when the message cannot be read.
    std::optional<std::uint64_t> read_item()
    {
        if (left() == 0)
        {
            return std::nullopt;
        }
        const auto head = static_cast<std::uint8_t>(m_bytes[m_position++]);
        const auto kind = static_cast<cbor_kind>(head >> argument_bits);
        const std::optional<std::uint64_t> argument = read_argument(head & largest_argument);
        if (!argument)
        {
            return std::nullopt;
        }
        switch (kind)
        {
        case cbor_kind::bytes:
        case cbor_kind::text:
            if (*argument > left())
            {
                return std::nullopt;
            }
            m_position += *argument;
            return 0;
        case cbor_kind::array:
            // Each entry takes a byte or more.
            return *argument <= left() ? argument : std::nullopt;
        case cbor_kind::object:
            return *argument <= left() / 2 ? std::make_optional(*argument * 2) : std::nullopt;
        case cbor_kind::tag:
            return std::nullopt;
        case cbor_kind::positive:
        case cbor_kind::negative:
        case cbor_kind::simple:
            return 0;
        }
        return std::nullopt;
    }

    /// Argument of a head: its low bits, or up to eight bytes behind it.
    std::optional<std::uint64_t> read_argument(std::uint8_t low)
    {
        if (low < first_wide_argument)
        {
            return low;
        }
        if (low > last_wide_argument)
        {
            // Reserved, or a length that is not told.
            return std::nullopt;
        }
        const std::size_t width = std::size_t{1} << (low - first_wide_argument);
        if (left() < width)
        {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        for (const char byte : m_bytes.substr(m_position, width))
        {
            constexpr unsigned byte_bits = 8;
            value = value << byte_bits | static_cast<std::uint8_t>(byte);
        }
        m_position += width;
        return value;
    }

    std::size_t left() const noexcept { return m_bytes.size() - m_position; }

    /// Upper bits of a head.
    enum class cbor_kind : std::uint8_t
    {
        positive,
        negative,
        bytes,
        text,
        array,
        object,
        tag,
        simple, ///< Truth values, null and floating point, whose bytes stand in for the argument.
    };

    static constexpr unsigned argument_bits = 5;
    static constexpr std::uint8_t largest_argument = 31;
    static constexpr std::uint8_t first_wide_argument = 24; ///< One byte follows; then 2, 4, 8.
    static constexpr std::uint8_t last_wide_argument = 27;

    std::string_view m_bytes;
    std::size_t m_position = 0; ///< Of the next head.
};

} // namespace

nlohmann::json parse_cbor(const std::string& bytes)
{
    if (!cbor_scan(bytes).is_bounded())
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
