#include "jsonreader.h"

namespace ragwortreach {

using nlohmann::json;

namespace {

    /// Depth of the names of the outermost object, and of the elements of its lists.
    constexpr int nameDepth = 1;
    constexpr int elementDepth = 2;

    /// Parses \a text; \a keeps decides which values are kept.
    template <typename predicate>
    json parse(std::string_view text, int maxDepth, const predicate& keeps)
    {
        bool isTooDeep = false;
        const json::parser_callback_t limitDepth = [&isTooDeep, &keeps, maxDepth](int depth, json::parse_event_t event, json& value) {
            isTooDeep = isTooDeep || depth > maxDepth;
            return !isTooDeep && keeps(depth, event, value);
        };
        json value = json::parse(text.begin(), text.end(), limitDepth, false);
        return isTooDeep ? json(json::value_t::discarded) : value;
    }

}

json parseJson(std::string_view text, int maxDepth)
{
    return parse(text, maxDepth, [](int, json::parse_event_t, json&) { return true; });
}

json parseJsonList(std::string_view text, std::string_view name, const std::function<void(const json&)>& onElement)
{
    bool isInList = false;
    return parse(text, maxJsonDepth, [&isInList, name, &onElement](int depth, json::parse_event_t event, json& value) {
        if (event == json::parse_event_t::key && depth == nameDepth)
            isInList = value.get_ref<const std::string&>() == name;
        const bool isElement = isInList && event == json::parse_event_t::object_end && depth == elementDepth;
        if (isElement)
            onElement(value);
        return !isElement;
    });
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
