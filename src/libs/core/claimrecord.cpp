#include "claimrecord.h"

#include "jsonreader.h"
#include "logrecord.h"

#include <stdexcept>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::uint64_t knownSchema = 1;
    constexpr std::size_t maxRecordBytes = 16384;
    constexpr std::size_t maxHashLength = 64;
    constexpr std::size_t maxVmNameLength = 64;
    constexpr std::size_t maxContentTypeLength = 128;

    bool isUtf8(const std::string& text)
    {
        try {
            return !json(text).dump().empty();
        } catch (const json::type_error&) {
            return false;
        }
    }

    std::string textOf(const json& source, const char* key, std::size_t maxLength)
    {
        std::string text = source.at(key);
        if (text.size() > maxLength)
            throw std::length_error(key);
        return text;
    }

    key_claim claimFromJson(const json& source)
    {
        key_claim claim;
        claim.entry = textOf(source, "entry", maxRecordIdLength);
        claim.key = textOf(source, "key", maxIdempotencyKeyLength);
        claim.bodyHash = textOf(source, "body_hash", maxHashLength);
        claim.vm = textOf(source, "vm", maxVmNameLength);
        claim.incarnation = source.at("incarnation");
        return claim;
    }

    json toJsonObject(const key_claim& claim)
    {
        return { { "entry", claim.entry }, { "key", claim.key }, { "body_hash", claim.bodyHash }, { "vm", claim.vm }, { "incarnation", claim.incarnation } };
    }

    claim_finish finishFromJson(const json& source)
    {
        claim_finish finish;
        finish.claimId = textOf(source, "claim", maxRecordIdLength);
        finish.claim = claimFromJson(source);
        finish.code = source.at("code") == static_cast<int>(result_code::Ok) ? result_code::Ok : result_code::OutcomeUnknown;
        finish.answer.status = source.at("status");
        finish.answer.contentType = textOf(source, "content_type", maxContentTypeLength);
        finish.answer.isBodyKept = source.contains("body");
        if (finish.answer.isBodyKept)
            finish.answer.body = textOf(source, "body", maxRecordedBodyBytes);
        return finish;
    }

    claim_record recordFromJson(const json& source)
    {
        const std::string kind = source.at("kind");
        if (source.at("schema") != knownSchema)
            throw std::invalid_argument("schema");
        if (kind == "claim")
            return claimFromJson(source);
        if (kind == "finish")
            return finishFromJson(source);
        if (kind == "void")
            return claim_withdrawal { textOf(source, "claim", maxRecordIdLength) };
        throw std::invalid_argument("kind");
    }

    struct record_writer {
        json operator()(const key_claim& claim) const
        {
            json target = toJsonObject(claim);
            target["kind"] = "claim";
            return target;
        }

        json operator()(const claim_finish& finish) const
        {
            json target = toJsonObject(finish.claim);
            target["kind"] = "finish";
            target["claim"] = finish.claimId;
            target["code"] = static_cast<int>(finish.code);
            target["status"] = finish.answer.status;
            const bool isTypeKept = finish.answer.contentType.size() <= maxContentTypeLength && isUtf8(finish.answer.contentType);
            target["content_type"] = isTypeKept ? finish.answer.contentType : "";
            const std::string& body = finish.answer.body;
            if (finish.answer.isBodyKept && body.size() <= maxRecordedBodyBytes && isUtf8(body))
                target["body"] = body;
            return target;
        }

        json operator()(const claim_withdrawal& withdrawal) const { return { { "kind", "void" }, { "claim", withdrawal.claimId } }; }
    };

}

std::optional<claim_record> parseClaimRecord(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return std::nullopt;
    try {
        return recordFromJson(parseJson(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string toJson(const claim_record& record)
{
    json target = std::visit(record_writer(), record);
    target["schema"] = knownSchema;
    return target.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
