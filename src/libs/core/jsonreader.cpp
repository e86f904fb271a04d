#include "jsonreader.h"

namespace ragwortreach {

using nlohmann::json;

json parseJson(std::string_view text, int maxDepth)
{
    bool isTooDeep = false;
    const json::parser_callback_t limitDepth = [&isTooDeep, maxDepth](int depth, json::parse_event_t, json&) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return !isTooDeep;
    };
    json value = json::parse(text.begin(), text.end(), limitDepth, false);
    return isTooDeep ? json(json::value_t::discarded) : value;
}

void throwInvalid(const char* what, const json& value)
{
    constexpr int userDefinedError = 501;
    throw json::other_error::create(userDefinedError, what, &value);
}

std::string optionalText(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t optionalNumber(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

}
