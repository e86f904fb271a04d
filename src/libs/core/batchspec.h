#pragma once

#include "instant.h"
#include "resultcode.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Largest number of slots, that is of samples, in one batch.
inline constexpr std::uint32_t maxBatchSlots = 4096;
inline constexpr std::size_t maxBatchGroups = 2048;
inline constexpr std::size_t maxPromptBytes = std::size_t { 64 } * 1024;
/// Largest sum of all prompts of a batch.
inline constexpr std::size_t maxBatchPromptBytes = std::size_t { 4 } * 1024 * 1024;
inline constexpr std::uint32_t maxSampleTokens = 32 * 1024;
/// Largest length of an id or a name. Both are also used in URL paths and names of log streams.
inline constexpr std::size_t maxNameBytes = 128;
inline constexpr duration maxBatchTimeout = std::chrono::hours(24);

/// Samples that share one prompt.
struct batch_group {
    std::string prompt;
    /// Number of samples.
    std::uint32_t count = 0;

    bool operator==(const batch_group&) const = default;
};

/// Batch of samples that a trainer requests for one training step.
///
/// Each sample has a slot; slots are numbered from 0 through all groups in their order.
struct batch_spec {
    std::string id;
    /// Training entry of the catalogue.
    std::string entry;
    /// Owner of the entry as the trainer states it; may be empty.
    std::string owner;
    std::string trainer;
    /// Data centre whose daemons are preferred as owner; empty when the request names none.
    std::string dataCentre;
    /// Time from the opening to the deadline of the batch.
    duration timeout {};
    /// Largest number of tokens in one sample.
    std::uint32_t maxTokens = 0;
    std::vector<batch_group> groups;

    bool operator==(const batch_spec&) const = default;
};

/// Group of a slot and index of the slot in the group.
struct slot_place {
    std::uint32_t group = 0;
    std::uint32_t index = 0;
};

/// Reason why a batch was refused: MalformedRequest or ValueOutOfRange, with a sentence that names the wrong key.
struct batch_spec_error {
    result_code code = result_code::MalformedRequest;
    std::string detail;
};

/// Number of samples in \a spec.
std::uint32_t slotCount(const batch_spec& spec);

/// Group and index of \a slot, which must be below slotCount().
slot_place slotPlace(const batch_spec& spec, std::uint32_t slot);

/// Reads the JSON body of POST /v1/batches and checks the bounds of all values.
std::variant<batch_spec, batch_spec_error> parseBatchSpec(std::string_view json);

/// JSON of the same shape that parseBatchSpec() reads.
std::string toJson(const batch_spec& spec);

/// Hash of the content, 32 hexadecimal digits. Independent of the order of keys in the JSON.
std::string contentHash(const batch_spec& spec);

/// Whether \a name may be used in a URL path or in the name of a log stream: 1 to maxNameBytes of [A-Za-z0-9._-].
bool isValidName(std::string_view name);

}
