#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

namespace tarragontrail::wire {

/// Largest whole number in documents where nothing else bounds it.
constexpr std::uint64_t largest_count = std::uint64_t{1} << 62U;

/// Range of a field that holds a whole number, both ends included.
struct count_range
{
    std::uint64_t m_least = 0;
    std::uint64_t m_most = largest_count;
};

/// Range of ids, hashes and other numbers that may be any of 64 bits.
constexpr count_range any_word{0, std::numeric_limits<std::uint64_t>::max()};

/// Field of an object; throws json_error when it is missing or `object` is none.
const nlohmann::json& field_at(const nlohmann::json& object, const char* name);

/// The same; nullptr when it is missing or null.
const nlohmann::json* find_field(const nlohmann::json& object, const char* name);

/// Readers of a field's value; `name` is for the error. All throw json_error, which
/// names the field and what was seen.
std::uint64_t to_count(const nlohmann::json& value, const char* name, count_range range = {});
double to_amount(const nlohmann::json& value, const char* name);
std::chrono::milliseconds to_milliseconds(const nlohmann::json& value, const char* name);
bool to_truth(const nlohmann::json& value, const char* name);
const std::string& to_text(const nlohmann::json& value, const char* name);
const nlohmann::json& to_list(const nlohmann::json& value, const char* name);

/// The same of a field that may be missing.
std::uint64_t count_or(const nlohmann::json& object, const char* name, std::uint64_t otherwise);
double amount_or(const nlohmann::json& object, const char* name, double otherwise);
std::chrono::milliseconds milliseconds_or(const nlohmann::json& object, const char* name,
                                          std::chrono::milliseconds otherwise);
bool truth_or(const nlohmann::json& object, const char* name, bool otherwise);
std::string text_or(const nlohmann::json& object, const char* name, const std::string& otherwise);

/// List in a field; an empty one when it is missing.
const nlohmann::json& list_or_none(const nlohmann::json& object, const char* name);

} // namespace tarragontrail::wire
