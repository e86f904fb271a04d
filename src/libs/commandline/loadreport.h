#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Outcomes of the requests of the customers of one entry.
struct customer_report {
    std::string entry;
    std::uint64_t arrived = 0;
    /// Complete answers before the deadline.
    std::uint64_t completeInTime = 0;
    /// Complete answers after the deadline.
    std::uint64_t completeLate = 0;
    /// Answers that belong to another request.
    std::uint64_t wrongAnswers = 0;
    /// Calls without a complete answer: not connected, interrupted, truncated, timed out or still in flight at the end.
    std::uint64_t failed = 0;
    /// Answers with an error status, by result code.
    std::map<int, std::uint64_t> refusals;
    /// Times from the planned arrival to the complete answer, in milliseconds.
    std::vector<double> latencies;
};

/// Outcomes of the batches of one trainer.
struct trainer_report {
    std::string name;
    /// Batches of which the trainer got all samples.
    std::uint64_t completed = 0;
    /// Batches that the daemon reported as complete although the trainer had not got all samples.
    std::uint64_t incomplete = 0;
    /// Batches still open at the end of the run, and batches whose refusal a retry cannot change.
    std::uint64_t unfinished = 0;
    std::uint64_t samples = 0;
    /// Samples for slots that the trainer already holds or that the batch does not have.
    std::uint64_t duplicates = 0;
    /// Samples without spans, or with a span that has no weight versions.
    std::uint64_t unlabelled = 0;
    /// Failed calls to daemons.
    std::uint64_t failedCalls = 0;
    /// Failed calls by result code, including those that publish to the weight store.
    std::map<int, std::uint64_t> failures;
    /// Weight versions that were published.
    std::uint64_t published = 0;
    double idleMilliseconds = 0;
    double trainingMilliseconds = 0;
    /// For each sample, the number of versions by which its oldest weights lag behind those of the trainer at the fetch.
    std::vector<double> staleness;
    /// Times from opening a batch until the trainer has all samples or the daemon reports it as complete, in milliseconds.
    std::vector<double> batchTimes;
};

/// Result of a load run.
struct load_report {
    std::vector<customer_report> customers;
    std::vector<trainer_report> trainers;
};

/// Quantile of \a values for a \a probability between 0 and 1, always one of the values; 0 when there are none.
double quantileOf(std::span<const double> values, double probability);

/// Share of its time that the trainer spent waiting for samples rather than training.
double idleShare(const trainer_report& report);

/// Report as tables for a terminal.
std::string toText(const load_report& report);

/// Report as one JSON object.
std::string toJson(const load_report& report);

}
