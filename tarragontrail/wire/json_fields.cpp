#include "tarragontrail/wire/json_fields.hpp"

#include "tarragontrail/wire/json_document.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace tarragontrail::wire {
namespace {

using nlohmann::json;

/// Longer times in a document count as this one; sums of such times stay within the clock's range.
constexpr double longest_time_ms = 1000.0 * 60 * 60 * 24 * 366;
/// Doubles beyond it have no neighbour that differs by one.
constexpr double largest_exact_double = 9007199254740992.0;
/// Part of a text that an error shows.
constexpr std::size_t shown_bytes = 60;

/// What a value is, for an error; trees are not written out.
std::string shown(const json& value)
{
    if (value.is_string())
    {
        return fmt::format("text '{}'", value.get_ref<const std::string&>().substr(0, shown_bytes));
    }
    if (value.is_number_float())
    {
        return fmt::format("{}", value.get<double>());
    }
    return value.is_primitive() ? value.dump() : value.type_name();
}

[[noreturn]] void refuse(const char* name, const char* wanted, const json& value)
{
    throw json_error(fmt::format("field {}: want {}, seen {}", name, wanted, shown(value)));
}

} // namespace

const json& field_at(const json& object, const char* name)
{
    if (!object.is_object())
    {
        refuse(name, "an object around it", object);
    }
    const auto found = object.find(name);
    if (found == object.end())
    {
        throw json_error(fmt::format("field {}: missing", name));
    }
    return *found;
}

const json* find_field(const json& object, const char* name)
{
    if (!object.is_object())
    {
        refuse(name, "an object around it", object);
    }
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::uint64_t to_count(const json& value, const char* name, count_range range)
{
    constexpr const char* wanted = "a whole number in range";
    std::uint64_t count = 0;
    if (value.is_number_unsigned())
    {
        count = value.get<std::uint64_t>();
    }
    else if (value.is_number_float())
    {
        const auto number = value.get<double>();
        if (!(number >= 0 && number <= largest_exact_double) || std::floor(number) != number)
        {
            refuse(name, wanted, value);
        }
        count = static_cast<std::uint64_t>(number);
    }
    else
    {
        refuse(name, wanted, value);
    }
    if (count < range.m_least || count > range.m_most)
    {
        refuse(name, wanted, value);
    }
    return count;
}

double to_amount(const json& value, const char* name)
{
    const double amount = value.is_number() ? value.get<double>() : -1;
    if (!(amount >= 0 && amount <= largest_exact_double))
    {
        refuse(name, "an amount in range", value);
    }
    return amount;
}

std::chrono::milliseconds to_milliseconds(const json& value, const char* name)
{
    const double count = value.is_number() ? value.get<double>() : -1;
    if (!(count >= 0 && count <= largest_exact_double))
    {
        refuse(name, "milliseconds in range", value);
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(count, longest_time_ms)));
}

bool to_truth(const json& value, const char* name)
{
    if (!value.is_boolean())
    {
        refuse(name, "true or false", value);
    }
    return value.get<bool>();
}

const std::string& to_text(const json& value, const char* name)
{
    if (!value.is_string())
    {
        refuse(name, "text", value);
    }
    return value.get_ref<const std::string&>();
}

const json& to_list(const json& value, const char* name)
{
    if (!value.is_array())
    {
        refuse(name, "a list", value);
    }
    return value;
}

std::uint64_t count_or(const json& object, const char* name, std::uint64_t otherwise)
{
    const json* field = find_field(object, name);
    return field == nullptr ? otherwise : to_count(*field, name);
}

double amount_or(const json& object, const char* name, double otherwise)
{
    const json* field = find_field(object, name);
    return field == nullptr ? otherwise : to_amount(*field, name);
}

std::chrono::milliseconds milliseconds_or(const json& object, const char* name,
                                          std::chrono::milliseconds otherwise)
{
    const json* field = find_field(object, name);
    return field == nullptr ? otherwise : to_milliseconds(*field, name);
}

bool truth_or(const json& object, const char* name, bool otherwise)
{
    const json* field = find_field(object, name);
    return field == nullptr ? otherwise : to_truth(*field, name);
}

std::string text_or(const json& object, const char* name, const std::string& otherwise)
{
    const json* field = find_field(object, name);
    return field == nullptr ? otherwise : to_text(*field, name);
}

const json& list_or_none(const json& object, const char* name)
{
    static const json none = json::array();
    const json* field = find_field(object, name);
    return field == nullptr ? none : to_list(*field, name);
}

} // namespace tarragontrail::wire
