#pragma once

#include "tarragontrail/wire/decode_error.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <vector>

namespace tarragontrail::wire {

/// CBOR bytes as a tree; throws decode_error on malformed bytes.
nlohmann::json parse_cbor(const std::string& bytes);

/// Tag of a message, its first field; throws decode_error when there is none.
std::uint64_t read_tag(const nlohmann::json& fields);

/// Appends one field of any scalar type, or an array of them.
template <class Value>
void put_field(nlohmann::json& fields, const Value& value)
{
    if constexpr (std::is_enum_v<Value>)
    {
        fields.push_back(static_cast<std::uint64_t>(value));
    }
    else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>)
    {
        fields.push_back(value.count());
    }
    else
    {
        fields.push_back(value);
    }
}

template <class Item>
void put_field(nlohmann::json& fields, const std::vector<Item>& items)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Item& item : items)
    {
        put_field(list, item);
    }
    fields.push_back(std::move(list));
}

/// Reads the fields of one message in order; every member throws decode_error on a mismatch.
class field_reader
{
public:
    /// Starts at field number `first` of an array.
    field_reader(const nlohmann::json& fields, std::size_t first);

    /// Next field, whatever its type.
    const nlohmann::json& next();

    /// Next field, which must be an array.
    const nlohmann::json& next_array();

    /// Fails when fields are left over.
    void expect_end() const;

    /// Reads the next field into a value.
    template <class Value>
    void get(Value& value)
    {
        read(next(), value);
    }

private:
    template <class Value>
    static void read(const nlohmann::json& field, Value& value)
    {
        if constexpr (std::is_enum_v<Value>)
        {
            value = static_cast<Value>(read_unsigned(field));
        }
        else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>)
        {
            value = read_milliseconds(field);
        }
        else if constexpr (std::is_same_v<Value, bool>)
        {
            value = read_boolean(field);
        }
        else if constexpr (std::is_same_v<Value, double>)
        {
            value = read_number(field);
        }
        else if constexpr (std::is_same_v<Value, std::int64_t>)
        {
            value = read_signed(field);
        }
        else if constexpr (std::is_same_v<Value, std::uint64_t>)
        {
            value = read_unsigned(field);
        }
        else
        {
            value = read_string(field);
        }
    }

    template <class Item>
    static void read(const nlohmann::json& field, std::vector<Item>& items)
    {
        require(field.is_array(), "field is not an array");
        items.reserve(field.size());
        for (const nlohmann::json& entry : field)
        {
            read(entry, items.emplace_back());
        }
    }

    static void require(bool holds, const char* reason);
    static std::uint64_t read_unsigned(const nlohmann::json& field);
    static std::int64_t read_signed(const nlohmann::json& field);
    static std::chrono::milliseconds read_milliseconds(const nlohmann::json& field);
    static bool read_boolean(const nlohmann::json& field);
    static double read_number(const nlohmann::json& field);
    static std::string read_string(const nlohmann::json& field);

    const nlohmann::json* m_fields; ///< Array being read.
    std::size_t m_position;         ///< Next field's number.
};

} // namespace tarragontrail::wire
