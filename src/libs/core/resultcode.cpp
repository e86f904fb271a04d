#include "resultcode.h"

#include <algorithm>
#include <array>
#include <string>

namespace ragwortreach {

namespace {

    constexpr std::array resultCodeTable {
        result_code_info { result_code::Ok, run_state::Yes, 200, "Ok", "The request was answered whole." },
        result_code_info { result_code::MalformedRequest, run_state::No, 400, "MalformedRequest", "The request could not be parsed; correct it and send it again." },
        result_code_info { result_code::UnknownEntry, run_state::No, 404, "UnknownEntry", "The catalogue has no entry of this name; check the name with 'ragwortreach catalogue get'." },
        result_code_info { result_code::WrongOwner, run_state::No, 403, "WrongOwner", "The entry belongs to another owner; call with the owner that the entry names." },
        result_code_info { result_code::BodyTooLarge, run_state::No, 413, "BodyTooLarge", "The body is larger than the limit of the daemon; send a smaller one." },
        result_code_info { result_code::HeaderTooLarge, run_state::No, 431, "HeaderTooLarge", "The header is larger than the limit of the daemon; send a smaller one." },
        result_code_info { result_code::UnknownRoute, run_state::No, 404, "UnknownRoute", "The daemon has no such route; docs/INTERFACE.md lists all routes." },
        result_code_info { result_code::MethodNotAllowed, run_state::No, 405, "MethodNotAllowed", "The route does not take this method; docs/INTERFACE.md lists the methods." },
        result_code_info { result_code::ValueOutOfRange, run_state::No, 422, "ValueOutOfRange", "A value of the request is out of its range; the detail names the range." },
        result_code_info { result_code::IdempotencyKeyMissing, run_state::No, 428, "IdempotencyKeyMissing", "The entry is not idempotent; send an Idempotency-Key header." },
        result_code_info { result_code::DueTimeUnreachable, run_state::No, 503, "DueTimeUnreachable", "The due time cannot be met; retry later or allow more time." },
        result_code_info { result_code::QueueFull, run_state::No, 503, "QueueFull", "The queue of this class is full; retry after the time in Retry-After." },
        result_code_info { result_code::OwnerLimitReached, run_state::No, 429, "OwnerLimitReached", "The owner is at its limit; retry after the time in Retry-After." },
        result_code_info { result_code::NoUpstream, run_state::No, 503, "NoUpstream", "No upstream of the entry can take work; check the VM list and 'ragwortreach status'." },
        result_code_info { result_code::Draining, run_state::No, 503, "Draining", "The VM is leaving; send the request to another VM." },
        result_code_info { result_code::ClaimUnavailable, run_state::No, 503, "ClaimUnavailable", "The key could not be claimed because the log is down; retry with the same key." },
        result_code_info { result_code::RetryBudgetSpent, run_state::No, 503, "RetryBudgetSpent", "The upstream failed and the retry budget is spent; retry later." },
        result_code_info { result_code::ShedForCapacity, run_state::No, 503, "ShedForCapacity", "Capacity is short and the class of the entry gives way; retry later." },
        result_code_info { result_code::RequestQuarantined, run_state::No, 400, "RequestQuarantined", "Upstreams ended whenever they ran this request; do not send it again, and tell the owner of the upstream." },
        result_code_info { result_code::MemoryFull, run_state::No, 503, "MemoryFull", "The daemon holds too many bytes for other callers; retry after the time in Retry-After." },
        result_code_info { result_code::UpstreamUnreachable, run_state::No, 502, "UpstreamUnreachable", "No connection to an upstream could be made; check the upstream." },
        result_code_info { result_code::UpstreamBroken, run_state::Unknown, 502, "UpstreamBroken", "The upstream closed the connection before its answer was whole; the call may have run." },
        result_code_info { result_code::UpstreamTimeout, run_state::Unknown, 504, "UpstreamTimeout", "The upstream did not answer within the due time; the call may have run." },
        result_code_info { result_code::UpstreamTruncated, run_state::Unknown, 502, "UpstreamTruncated", "The answer of the upstream ended early; the call may have run." },
        result_code_info { result_code::VersionMissing, run_state::Unknown, 502, "VersionMissing", "The engine sent a chunk without weight versions; the sample is dropped and generated again." },
        result_code_info { result_code::OutcomeUnknown, run_state::Unknown, 502, "OutcomeUnknown", "Nobody can tell whether the call ran; ask the owner of the upstream before repeating it." },
        result_code_info { result_code::UpstreamRefused, run_state::No, 502, "UpstreamRefused", "The upstream refused the call and says that it did not run." },
        result_code_info { result_code::CallerGone, run_state::Unknown, 499, "CallerGone", "The caller closed its connection before the answer was whole." },
        result_code_info { result_code::UpstreamInvalid, run_state::Unknown, 502, "UpstreamInvalid", "The upstream sent bytes that are no answer of the protocol; the call may have run." },
        result_code_info { result_code::KeyConflict, run_state::No, 409, "KeyConflict", "The idempotency key was used with another body; use a new key for a new order." },
        result_code_info { result_code::KeyInUse, run_state::Unknown, 409, "KeyInUse", "A call with this idempotency key is under way; retry later with the same key." },
        result_code_info { result_code::BatchConflict, run_state::No, 409, "BatchConflict", "The batch exists with other content; open a batch under a new id." },
        result_code_info { result_code::UnknownBatch, run_state::No, 404, "UnknownBatch", "No batch of this id is open; open it again under the same id." },
        result_code_info { result_code::BatchCancelled, run_state::No, 410, "BatchCancelled", "The batch was cancelled; open another one." },
        result_code_info { result_code::EditConflict, run_state::No, 409, "EditConflict", "Another edit replaced this revision first; read the entry again and apply the change to it." },
        result_code_info { result_code::EditInvalid, run_state::No, 422, "EditInvalid", "The entry does not fit the schema; the detail names the key." },
        result_code_info { result_code::AlreadyRan, run_state::Yes, 409, "AlreadyRan", "The call with this idempotency key ran before and its answer is no longer kept." },
        result_code_info { result_code::LogUnavailable, run_state::No, 503, "LogUnavailable", "The log of the platform cannot be reached; retry later." },
        result_code_info { result_code::LogTruncated, run_state::No, 503, "LogTruncated", "The log no longer holds the records asked for; the daemon starts again from a snapshot." },
        result_code_info { result_code::AppendUnknown, run_state::Unknown, 503, "AppendUnknown", "The reply of the log was lost; the record is looked up by its id." },
        result_code_info { result_code::VmListUnavailable, run_state::No, 503, "VmListUnavailable", "The VM list cannot be reached; the last known list stays in force." },
        result_code_info { result_code::WeightStoreUnavailable, run_state::No, 503, "WeightStoreUnavailable", "The weight store cannot be reached; replicas keep their weights." },
        result_code_info { result_code::ScorerUnavailable, run_state::No, 503, "ScorerUnavailable", "The scorer cannot be reached; the sample waits for its reward." },
        result_code_info { result_code::SettingsUnreadable, run_state::No, 500, "SettingsUnreadable", "The settings file cannot be read; check its path and its JSON." },
        result_code_info { result_code::SettingsUnknownKey, run_state::No, 500, "SettingsUnknownKey", "The settings hold a key that is not known; remove it or correct its spelling." },
        result_code_info { result_code::SettingsWrongType, run_state::No, 500, "SettingsWrongType", "A setting has the wrong type; the detail names the type expected." },
        result_code_info { result_code::SettingsOutOfRange, run_state::No, 500, "SettingsOutOfRange", "A setting is out of its range; the detail names the range." },
        result_code_info { result_code::AddressInUse, run_state::No, 500, "AddressInUse", "The address is in use; choose another port or stop the other process." },
        result_code_info { result_code::PeerUnreachable, run_state::No, 503, "PeerUnreachable", "The daemon that owns the batch cannot be reached; retry at any VM." },
        result_code_info { result_code::PeerTimeout, run_state::Unknown, 504, "PeerTimeout", "The daemon that owns the batch did not answer in time; retry at any VM." },
        result_code_info { result_code::MalformedMessage, run_state::No, 400, "MalformedMessage", "A message of another daemon could not be parsed; check that the versions match." },
        result_code_info { result_code::NotBatchOwner, run_state::No, 421, "NotBatchOwner", "The daemon does not own the batch; ask the daemon that the answer names." },
        result_code_info { result_code::Internal, run_state::Unknown, 500, "Internal", "The daemon met an error of its own; send its log to the maintainers." },
    };

    class result_category final : public std::error_category {
    public:
        const char* name() const noexcept override { return "ragwortreach"; }
        std::string message(int value) const override
        {
            return std::string(resultCodeInfo(static_cast<result_code>(value)).text);
        }
    };

}

std::span<const result_code_info> resultCodes()
{
    return resultCodeTable;
}

const result_code_info& resultCodeInfo(result_code code)
{
    const auto it = std::find_if(resultCodeTable.begin(), resultCodeTable.end(),
        [code](const result_code_info& info) { return info.code == code; });
    return it == resultCodeTable.end() ? resultCodeTable.back() : *it;
}

std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::No:
        return "no";
    case run_state::Yes:
        return "yes";
    case run_state::Unknown:
        return "unknown";
    }
    return "unknown";
}

const std::error_category& resultCategory()
{
    static const result_category category;
    return category;
}

std::error_code make_error_code(result_code code)
{
    return { static_cast<int>(code), resultCategory() };
}

}
