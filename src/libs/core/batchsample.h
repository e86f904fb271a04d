#pragma once

#include "instant.h"
#include "samplelabel.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Largest number of bytes of the text of one sample.
inline constexpr std::size_t maxSampleTextBytes = std::size_t { 1024 } * 1024;

/// Complete sample of a slot, as it is sent to the trainer and stored in the log.
struct batch_sample {
    std::uint32_t slot = 0;
    std::uint32_t group = 0;
    std::uint32_t index = 0;
    /// Number of the stream that finished the sample; each stream started for the slot has a higher one.
    std::uint32_t attempt = 0;
    std::vector<std::uint32_t> tokenIds;
    std::string text;
    /// Empty when the entry names no scorer.
    std::optional<double> reward;
    sample_label label;

    bool operator==(const batch_sample&) const = default;
};

/// Slots first to last of a batch, both included.
struct slot_range {
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    bool operator==(const slot_range&) const = default;
};

/// JSON of one sample, as in the answer to a fetch.
std::string toJson(const batch_sample& sample);

/// Reads the output of toJson(). Empty when the JSON is malformed or the label does not cover all tokens.
std::optional<batch_sample> parseSample(std::string_view json);

}
