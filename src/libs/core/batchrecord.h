#pragma once

#include "batcheffect.h"
#include "batchevent.h"
#include "batchsample.h"
#include "batchspec.h"
#include "instant.h"

#include <optional>

namespace ragwortreach {

/// Sample as it is stored in the log stream of its batch.
struct recorded_sample {
    batch_sample sample;
    /// Time from the first event of the batch at its owner to the start of the sample. Rounded down to milliseconds.
    duration startedAfterOpening {};
};

/// First record of the log stream of a batch.
batch_record specRecord(const batch_spec& spec);

/// Record of a complete sample. The id is made of slot and attempt.
batch_record sampleRecord(const recorded_sample& recorded);

/// Empty when the record holds no valid spec.
std::optional<batch_spec> parseSpecRecord(const restored_record& record);

/// Empty when the record holds no valid sample.
std::optional<recorded_sample> parseSampleRecord(const restored_record& record);

}
