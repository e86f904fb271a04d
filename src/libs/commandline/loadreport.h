#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// What the customers of one entry met.
struct customer_report {
    std::string entry;
    std::uint64_t arrived = 0;
    /// Answered whole within the due time.
    std::uint64_t wholeInTime = 0;
    std::uint64_t wholeLate = 0;
    /// Answers that belong to another request.
    std::uint64_t wrongAnswers = 0;
    /// Calls that broke or timed out.
    std::uint64_t broken = 0;
    /// Refusals by result code.
    std::map<int, std::uint64_t> refusals;
    /// Time from the arrival to the whole answer, in milliseconds.
    std::vector<double> latencies;
};

/// What one trainer met.
struct trainer_report {
    std::string name;
    std::uint64_t completed = 0;
    /// Batches that were complete for the daemon but not for the trainer.
    std::uint64_t incomplete = 0;
    /// Batches under way at the end, and batches that were refused for good.
    std::uint64_t unfinished = 0;
    std::uint64_t samples = 0;
    /// Samples of slots that the fetch named as held.
    std::uint64_t duplicates = 0;
    std::uint64_t unlabelled = 0;
    std::uint64_t failedCalls = 0;
    /// Failures by result code.
    std::map<int, std::uint64_t> failures;
    std::uint64_t published = 0;
    double idleMilliseconds = 0;
    double trainingMilliseconds = 0;
    /// Versions that each sample is behind the fetch that brought it.
    std::vector<double> staleness;
    /// Time from opening each batch to holding it whole, in milliseconds.
    std::vector<double> batchTimes;
};

struct load_report {
    std::vector<customer_report> customers;
    std::vector<trainer_report> trainers;
};

/// Value at the share \a probability of the sorted \a values; 0 when there are none.
double quantileOf(std::span<const double> values, double probability);

/// Share of the time that the trainer waited for samples.
double idleShare(const trainer_report& report);

/// Tables for a terminal.
std::string toText(const load_report& report);

/// One JSON object.
std::string toJson(const load_report& report);

}
