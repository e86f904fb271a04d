#include "schemacheck.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>

namespace ragwortreach {

namespace {

    constexpr std::size_t maxShownValueLength = 80;

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

    std::string shown(const rapidjson::Value& value)
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
        const rapidjson::Value& properties = schema["properties"];
        std::string known;
        for (rapidjson::Value::ConstMemberIterator it = properties.MemberBegin(); it != properties.MemberEnd(); ++it)
            known += (known.empty() ? "" : ", ") + std::string(it->name.GetString());
        return key + " is " + shown(value) + ", but this key is not known; expected one of: " + known;
    }

    std::string describeMissingKey(const std::string& key, const rapidjson::Value& value, const rapidjson::Value& schema)
    {
        const rapidjson::Value& required = schema["required"];
        for (const rapidjson::Value& name : required.GetArray()) {
            if (!value.HasMember(name))
                return memberKey(key, name) + " is missing, expected a value";
        }
        return key + " lacks a required key";
    }

    std::string describe(const rapidjson::Document& schema, const rapidjson::Document& document, const rapidjson::SchemaValidator& validator)
    {
        const std::string key = keyOf(validator.GetInvalidDocumentPointer());
        const std::string keyword = validator.GetInvalidSchemaKeyword();
        const rapidjson::Value* value = validator.GetInvalidDocumentPointer().Get(document);
        const rapidjson::Value* rule = validator.GetInvalidSchemaPointer().Get(schema);
        if (value == nullptr || rule == nullptr || !rule->IsObject() || !rule->HasMember(keyword.c_str()))
            return (key.empty() ? "the text" : key) + " does not fit the schema";
        if (keyword == "additionalProperties")
            return describeUnknownKey(key, *value, *rule);
        if (keyword == "required")
            return describeMissingKey(key, *value, *rule);
        return (key.empty() ? "the text" : key) + " is " + shown(*value) + ", expected " + keyword + " " + shown((*rule)[keyword.c_str()]);
    }

}

struct schema_check::compiled_schema {
    explicit compiled_schema(std::string_view text)
    {
        source.Parse(text.data(), text.size());
        document.emplace(source);
    }

    rapidjson::Document source;
    std::optional<rapidjson::SchemaDocument> document;
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
    rapidjson::SchemaValidator validator(*m_schema->document);
    if (document.Accept(validator))
        return {};
    return describe(m_schema->source, document, validator);
}

}
