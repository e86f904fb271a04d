#pragma once

#include "batcheffect.h"
#include "batchevent.h"
#include "batchsample.h"
#include "batchspec.h"
#include "instant.h"

#include <optional>

namespace ragwortreach {

/// Sample in a record of the stream of a batch.
struct recorded_sample {
    batch_sample sample;
    /// Time from the opening of the batch, as its owner knew it, to the start of the sample. Rounded down.
    duration startedAfterOpening {};
};

/// First record of the stream of a batch.
batch_record specRecord(const batch_spec& spec);

/// Record of a whole sample. Two records of one slot and attempt have the same id.
batch_record sampleRecord(const recorded_sample& recorded);

/// Empty when the record holds no valid spec.
std::optional<batch_spec> parseSpecRecord(const restored_record& record);

/// Empty when the record holds no valid sample.
std::optional<recorded_sample> parseSampleRecord(const restored_record& record);

}
