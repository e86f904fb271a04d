#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Levels of nesting of a JSON value from outside. The messages of this project and of the platform need ten at most, the
/// operators' entries sixteen.
inline constexpr int maxJsonDepth = 32;

/// Parses JSON that another process wrote. The value is discarded (is_discarded()) when \a text is not valid JSON or has
/// more than \a maxDepth levels: copying, comparing and printing a value take stack for each of its levels.
nlohmann::json parseJson(std::string_view text, int maxDepth = maxJsonDepth);

/// As parseJson(), but passes each object of the list \a name of the outermost object to \a onElement and leaves it out of the
/// value, so that a long list is never in memory as a whole. What \a onElement throws is thrown.
nlohmann::json parseJsonList(std::string_view text, std::string_view name, const std::function<void(const nlohmann::json&)>& onElement);

/// Throws a json::exception that says \a what is wrong with \a value.
[[noreturn]] void throwInvalid(const char* what, const nlohmann::json& value);

/// \a value as a whole number from 0 to \a max; throws a json::exception when it is anything else.
template <std::unsigned_integral number>
number wholeNumber(const nlohmann::json& value, number max = std::numeric_limits<number>::max())
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
        throwInvalid("not a whole number of the expected range", value);
    return static_cast<number>(value.get<std::uint64_t>());
}

/// Field \a name of \a object as wholeNumber(), or \a fallback when the field is missing.
template <std::unsigned_integral number>
number wholeNumberAt(const nlohmann::json& object, const char* name, number fallback)
{
    const auto found = object.find(name);
    return found == object.end() ? fallback : wholeNumber<number>(*found);
}

/// Text of an optional field; empty when the field is missing, null or of another type.
std::string optionalText(const nlohmann::json& object, const char* name);

/// Number in an optional field; 0 when the field is missing, null, or anything but a whole number from 0 to 2^64 - 1.
std::uint64_t optionalNumber(const nlohmann::json& object, const char* name);

}
