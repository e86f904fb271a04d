#include "catalogueedit.h"

#include "jsonreader.h"
#include "resultcode.h"

namespace ragwortreach {

namespace {

    constexpr std::size_t maxEditBytes = 16384;
    constexpr int maxNesting = 16;
    constexpr std::size_t maxOperatorLength = 64;
    constexpr std::uint64_t knownSchema = 1;

    nlohmann::json parseObject(std::string_view text)
    {
        if (text.size() > maxEditBytes)
            return {};
        nlohmann::json json = parseJson(text, maxNesting);
        return json.is_object() ? json : nlohmann::json();
    }

    bool isRevision(const nlohmann::json& json)
    {
        return json.is_number_unsigned();
    }

    std::string checkEdit(const nlohmann::json& json)
    {
        if (!json.is_object())
            return "the edit is not an object of at most 16384 bytes and 16 levels";
        if (!json.contains("schema") || json.at("schema") != knownSchema)
            return "schema is " + json.value("schema", nlohmann::json()).dump() + ", expected 1";
        if (!json.contains("entry") || !json.at("entry").is_string() || !isEntryName(json.at("entry").get<std::string>()))
            return "entry is " + json.value("entry", nlohmann::json()).dump() + ", expected 1 to 64 of the characters A-Z a-z 0-9 . _ -";
        if (!json.contains("replaces") || !isRevision(json.at("replaces")))
            return "replaces is " + json.value("replaces", nlohmann::json()).dump() + ", expected a revision, or 0 for a new entry";
        if (!json.contains("operator") || !json.at("operator").is_string() || json.at("operator").get_ref<const std::string&>().size() > maxOperatorLength)
            return "operator is missing or longer than 64 bytes, expected a name";
        if (!json.contains("action") || (json.at("action") != "put" && json.at("action") != "delete"))
            return "action is " + json.value("action", nlohmann::json()).dump() + ", expected \"put\" or \"delete\"";
        if (json.at("action") == "put" && !json.contains("body"))
            return "body is missing, expected an object because action is \"put\"";
        return {};
    }

}

std::error_code parseEdit(std::string_view text, catalogue_edit& edit, std::string& detail)
{
    const nlohmann::json json = parseObject(text);
    detail = checkEdit(json);
    if (!detail.empty())
        return result_code::EditInvalid;
    edit.entry = json.at("entry");
    edit.replaces = json.at("replaces");
    edit.operatorName = json.at("operator");
    edit.body.reset();
    if (json.at("action") == "delete")
        return {};
    catalogue_entry body;
    if (const std::error_code error = parseEntry(json.at("body").dump(), body, detail))
        return error;
    edit.body = body;
    return {};
}

std::string toJson(const catalogue_edit& edit)
{
    nlohmann::json json {
        { "schema", knownSchema },
        { "entry", edit.entry },
        { "replaces", edit.replaces },
        { "operator", edit.operatorName },
        { "action", edit.body ? "put" : "delete" },
    };
    if (edit.body)
        json["body"] = nlohmann::json::parse(toJson(*edit.body));
    return json.dump();
}

}
