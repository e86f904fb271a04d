#include "schemacheck.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace ragwortreach {

namespace {

    /// Longest part of a value that an error message quotes, in bytes.
    constexpr std::size_t maxShownValueLength = 80;

    rapidjson::Document parsed(std::string_view text)
    {
        rapidjson::Document document;
        document.Parse(text.data(), text.size());
        return document;
    }

    std::string keyOf(const rapidjson::Pointer& pointer)
    {
        std::string key;
        for (std::size_t i = 0; i < pointer.GetTokenCount(); ++i) {
            const rapidjson::Pointer::Token& token = pointer.GetTokens()[i];
            key += (key.empty() ? "" : ".") + std::string(token.name, token.length);
        }
        return key;
    }

    bool isContinuationByte(char byte)
    {
        constexpr unsigned char mask = 0xc0;
        constexpr unsigned char continuation = 0x80;
        return (static_cast<unsigned char>(byte) & mask) == continuation;
    }

    std::string valueText(const rapidjson::Value& value)
    {
        rapidjson::StringBuffer buffer;
        rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
        value.Accept(writer);
        std::string text(buffer.GetString(), buffer.GetSize());
        if (text.size() <= maxShownValueLength)
            return text;
        std::size_t length = maxShownValueLength;
        while (length > 0 && isContinuationByte(text[length]))
            --length;
        return text.substr(0, length) + "...";
    }

    std::string memberKey(const std::string& parent, const rapidjson::Value& name)
    {
        return (parent.empty() ? "" : parent + ".") + std::string(name.GetString(), name.GetStringLength());
    }

    std::string describeUnknownKey(const std::string& key, const rapidjson::Value& value, const rapidjson::Value& schema)
    {
        const rapidjson::Value& properties = schema.FindMember("properties")->value;
        std::string known;
        for (rapidjson::Value::ConstMemberIterator it = properties.MemberBegin(); it != properties.MemberEnd(); ++it)
            known += (known.empty() ? "" : ", ") + std::string(it->name.GetString());
        return key + " is " + valueText(value) + ", but this key is not known; expected one of: " + known;
    }

    std::string describeMissingKey(const std::string& key, const rapidjson::Value& value, const rapidjson::Value& schema)
    {
        const rapidjson::Value& required = schema.FindMember("required")->value;
        for (const rapidjson::Value& name : required.GetArray()) {
            if (!value.HasMember(name))
                return memberKey(key, name) + " is missing, expected a value";
        }
        return key + " lacks a required key";
    }

    /// First rule of a schema that a document violates.
    struct schema_violation {
        std::string key;
        std::string keyword;
        const rapidjson::Value* value = nullptr;
        const rapidjson::Value* rule = nullptr;
    };

    std::string describe(const schema_violation& violation)
    {
        const std::string subject = violation.key.empty() ? "the text" : violation.key;
        const bool isKnown = violation.value && violation.rule && violation.rule->IsObject();
        if (!isKnown || !violation.rule->HasMember(violation.keyword.c_str()))
            return subject + " does not fit the schema";
        if (violation.keyword == "additionalProperties")
            return describeUnknownKey(violation.key, *violation.value, *violation.rule);
        if (violation.keyword == "required")
            return describeMissingKey(violation.key, *violation.value, *violation.rule);
        const rapidjson::Value& expected = violation.rule->FindMember(violation.keyword.c_str())->value;
        return subject + " is " + valueText(*violation.value) + ", expected " + violation.keyword + " " + valueText(expected);
    }

}

struct schema_check::compiled_schema {
    explicit compiled_schema(std::string_view text)
        : source(parsed(text))
        , document(source)
    {
    }

    rapidjson::Document source;
    rapidjson::SchemaDocument document;
};

schema_check::schema_check(std::string_view schema)
    : m_schema(std::make_unique<compiled_schema>(schema))
{
}

schema_check::~schema_check() = default;

std::string schema_check::firstError(std::string_view text) const
{
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
    if (document.HasParseError()) {
        return "the text is not JSON at byte " + std::to_string(document.GetErrorOffset()) + ": "
            + rapidjson::GetParseError_En(document.GetParseError());
    }
    rapidjson::SchemaValidator validator(m_schema->document);
    if (document.Accept(validator))
        return {};
    schema_violation violation;
    violation.rule = validator.GetInvalidSchemaPointer().Get(m_schema->source);
    const rapidjson::Pointer place = validator.GetInvalidDocumentPointer();
    violation.value = place.Get(document);
    violation.key = keyOf(place);
    violation.keyword = validator.GetInvalidSchemaKeyword();
    return describe(violation);
}

}
