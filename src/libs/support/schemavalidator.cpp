#include "schemavalidator.h"

#include <core/resultcode.h>

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstddef>

namespace ragwortreach::Internal {

namespace {

    /// Longest part of a value that an error message quotes, in bytes.
    constexpr std::size_t maxShownValueLength = 100;

    /// First place where a document violates its schema.
    struct schema_violation {
        const rapidjson::Value* schema = nullptr;
        const rapidjson::Value* value = nullptr;
        std::string keyword;
        std::string key;
    };

    std::string pointerText(const rapidjson::Pointer& pointer)
    {
        std::string text;
        for (std::size_t i = 0; i < pointer.GetTokenCount(); ++i) {
            const rapidjson::Pointer::Token& token = pointer.GetTokens()[i];
            text += i == 0 ? "" : ".";
            text.append(token.name, token.length);
        }
        return text;
    }

    std::string childKey(const std::string& parent, std::string_view child)
    {
        return parent.empty() ? std::string(child) : parent + '.' + std::string(child);
    }

    std::string jsonText(const rapidjson::Value& value)
    {
        rapidjson::StringBuffer buffer;
        rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
        value.Accept(writer);
        std::string text(buffer.GetString(), buffer.GetSize());
        if (text.size() > maxShownValueLength)
            text = text.substr(0, maxShownValueLength) + "...";
        return text;
    }

    /// Expected value in words, as described by the schema.
    std::string description(const rapidjson::Value& schema)
    {
        const auto it = schema.FindMember("description");
        return it == schema.MemberEnd() ? "another value" : it->value.GetString();
    }

    std::string propertyNames(const rapidjson::Value& schema)
    {
        const rapidjson::Value& properties = schema.FindMember("properties")->value;
        std::string names;
        for (auto it = properties.MemberBegin(); it != properties.MemberEnd(); ++it)
            names += (names.empty() ? "" : ", ") + std::string(it->name.GetString());
        return names;
    }

    std::error_code describeUnknownKey(const schema_violation& violation, std::string& detail)
    {
        detail = "The key '" + violation.key + "' with the value " + jsonText(*violation.value) + " is not known; expected one of "
            + propertyNames(*violation.schema) + ". Remove the key or correct its spelling.";
        return result_code::SettingsUnknownKey;
    }

    std::error_code describeMissingKey(const schema_violation& violation, std::string& detail)
    {
        const rapidjson::Value& required = violation.schema->FindMember("required")->value;
        const rapidjson::Value& properties = violation.schema->FindMember("properties")->value;
        const auto it = std::find_if(required.Begin(), required.End(),
            [&violation](const rapidjson::Value& name) { return !violation.value->HasMember(name); });
        const std::string name = it->GetString();
        detail = "The key '" + childKey(violation.key, name) + "' is missing; expected "
            + description(properties.FindMember(*it)->value) + ". Add the key.";
        return result_code::SettingsOutOfRange;
    }

    std::error_code describe(const schema_violation& violation, std::string& detail)
    {
        if (violation.keyword == "additionalProperties")
            return describeUnknownKey(violation, detail);
        if (violation.keyword == "required")
            return describeMissingKey(violation, detail);
        const bool isTypeWrong = violation.keyword == "type";
        const std::string subject = violation.key.empty() ? "The document" : "The key '" + violation.key + "'";
        detail = subject + " has the value " + jsonText(*violation.value) + (isTypeWrong ? " of the wrong type" : "")
            + "; expected " + description(*violation.schema) + ". Correct the value.";
        return isTypeWrong ? result_code::SettingsWrongType : result_code::SettingsOutOfRange;
    }

}

std::error_code validateJson(std::string_view schema, std::string_view document, std::string& detail)
{
    rapidjson::Document schemaDocument;
    schemaDocument.Parse(schema.data(), schema.size());
    rapidjson::Document parsed;
    parsed.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(document.data(), document.size());
    if (parsed.HasParseError()) {
        detail = "The JSON is malformed at byte " + std::to_string(parsed.GetErrorOffset()) + ": "
            + rapidjson::GetParseError_En(parsed.GetParseError()) + " Correct the text there.";
        return result_code::SettingsUnreadable;
    }
    const rapidjson::SchemaDocument compiled(schemaDocument);
    rapidjson::SchemaValidator validator(compiled);
    if (parsed.Accept(validator))
        return {};
    schema_violation violation;
    violation.schema = validator.GetInvalidSchemaPointer().Get(schemaDocument);
    violation.value = validator.GetInvalidDocumentPointer().Get(parsed);
    violation.keyword = validator.GetInvalidSchemaKeyword();
    violation.key = pointerText(validator.GetInvalidDocumentPointer());
    if (violation.schema == nullptr || violation.value == nullptr) {
        detail = "The value at '" + violation.key + "' does not fit the schema; correct it.";
        return result_code::SettingsOutOfRange;
    }
    return describe(violation, detail);
}

}
