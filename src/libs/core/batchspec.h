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

/// Largest number of samples in one batch.
inline constexpr std::uint32_t maxBatchSlots = 4096;
inline constexpr std::size_t maxBatchGroups = 2048;
inline constexpr std::size_t maxPromptBytes = std::size_t { 64 } * 1024;
/// Largest sum of all prompts of a batch.
inline constexpr std::size_t maxBatchPromptBytes = std::size_t { 4 } * 1024 * 1024;
inline constexpr std::uint32_t maxSampleTokens = 32 * 1024;
/// Largest length of an id or a name, which also occur in paths and names of streams.
inline constexpr std::size_t maxNameBytes = 128;
inline constexpr duration maxBatchTimeout = std::chrono::hours(24);

/// Samples that share one prompt.
struct batch_group {
    std::string prompt;
    std::uint32_t count = 0;

    bool operator==(const batch_group&) const = default;
};

/// What a trainer asks for in one step.
///
/// A sample is identified by its slot: slots are numbered from 0 through the groups in order.
struct batch_spec {
    std::string id;
    std::string entry;
    std::string owner;
    std::string trainer;
    /// Empty when the trainer names none.
    std::string dataCentre;
    duration timeout {};
    std::uint32_t maxTokens = 0;
    std::vector<batch_group> groups;

    bool operator==(const batch_spec&) const = default;
};

/// Place of a slot in its group.
struct slot_place {
    std::uint32_t group = 0;
    std::uint32_t index = 0;
};

/// Why a batch was refused: MalformedRequest or ValueOutOfRange, with a sentence that names the key.
struct batch_spec_error {
    result_code code = result_code::MalformedRequest;
    std::string detail;
};

/// Number of samples in \a spec.
std::uint32_t slotCount(const batch_spec& spec);

/// Place of \a slot, which must be below slotCount().
slot_place slotPlace(const batch_spec& spec, std::uint32_t slot);

/// Reads the JSON body of POST /v1/batches and checks all bounds.
std::variant<batch_spec, batch_spec_error> parseBatchSpec(std::string_view json);

/// JSON of the same shape that parseBatchSpec() reads.
std::string toJson(const batch_spec& spec);

/// Hash of the content, 32 hexadecimal digits. Independent of the order of keys in the JSON.
std::string contentHash(const batch_spec& spec);

/// Whether \a name may stand in a path or in the name of a stream: 1 to maxNameBytes of [A-Za-z0-9._-].
bool isValidName(std::string_view name);

}
