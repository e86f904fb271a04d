#include "loadreport.h"

#include "texttable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace ragwortreach {

using nlohmann::json;

namespace {

    std::string numberText(double value, int digits)
    {
        std::array<char, 64> text {};
        std::snprintf(text.data(), text.size(), "%.*f", digits, value);
        return text.data();
    }

    /// Share of the arrived requests with a complete answer before the deadline.
    double shareInTime(const customer_report& report)
    {
        return report.arrived == 0 ? 0 : static_cast<double>(report.completeInTime) / static_cast<double>(report.arrived);
    }

    std::uint64_t sum(const std::map<int, std::uint64_t>& counts)
    {
        std::uint64_t total = 0;
        for (const std::pair<const int, std::uint64_t>& count : counts)
            total += count.second;
        return total;
    }

    json countsJson(const std::map<int, std::uint64_t>& counts)
    {
        json document = json::object();
        for (const std::pair<const int, std::uint64_t>& count : counts)
            document[std::to_string(count.first)] = count.second;
        return document;
    }

    json quantilesJson(std::span<const double> values)
    {
        return { { "p50", quantileOf(values, 0.5) }, { "p90", quantileOf(values, 0.9) }, { "p99", quantileOf(values, 0.99) },
            { "p999", quantileOf(values, 0.999) }, { "max", quantileOf(values, 1) } };
    }

    json customerJson(const customer_report& report)
    {
        return { { "entry", report.entry }, { "arrived", report.arrived }, { "whole_in_time", report.completeInTime },
            { "share_whole_in_time", shareInTime(report) }, { "whole_late", report.completeLate }, { "wrong_answers", report.wrongAnswers },
            { "broken", report.failed }, { "refusals", countsJson(report.refusals) }, { "latency_ms", quantilesJson(report.latencies) } };
    }

    json trainerJson(const trainer_report& report)
    {
        return { { "trainer", report.name }, { "completed", report.completed }, { "incomplete", report.incomplete },
            { "unfinished", report.unfinished }, { "samples", report.samples }, { "duplicates", report.duplicates },
            { "unlabelled", report.unlabelled }, { "failed_calls", report.failedCalls }, { "failures", countsJson(report.failures) }, { "published", report.published },
            { "idle_ms", report.idleMilliseconds }, { "training_ms", report.trainingMilliseconds }, { "idle_share", idleShare(report) },
            { "staleness_versions", quantilesJson(report.staleness) }, { "batch_ms", quantilesJson(report.batchTimes) } };
    }

    std::string customersText(const load_report& report)
    {
        text_table table({ "ENTRY", "ARRIVED", "WHOLE IN TIME", "LATE", "REFUSED", "BROKEN", "WRONG", "P50 MS", "P90 MS", "P99 MS", "P99.9 MS" });
        for (const customer_report& row : report.customers) {
            table.add({ row.entry, std::to_string(row.arrived), std::to_string(row.completeInTime) + " (" + numberText(100 * shareInTime(row), 2) + " %)",
                std::to_string(row.completeLate), std::to_string(sum(row.refusals)), std::to_string(row.failed), std::to_string(row.wrongAnswers),
                numberText(quantileOf(row.latencies, 0.5), 1), numberText(quantileOf(row.latencies, 0.9), 1),
                numberText(quantileOf(row.latencies, 0.99), 1), numberText(quantileOf(row.latencies, 0.999), 1) });
        }
        return table.text();
    }

    std::string trainersText(const load_report& report)
    {
        text_table table({ "TRAINER", "COMPLETED", "INCOMPLETE", "UNFINISHED", "SAMPLES", "DUPLICATES", "UNLABELLED", "FAILED CALLS", "IDLE", "BEHIND P50", "BEHIND MAX", "BATCH P50 MS", "BATCH MAX MS" });
        for (const trainer_report& row : report.trainers) {
            table.add({ row.name, std::to_string(row.completed), std::to_string(row.incomplete), std::to_string(row.unfinished),
                std::to_string(row.samples), std::to_string(row.duplicates), std::to_string(row.unlabelled), std::to_string(row.failedCalls),
                numberText(100 * idleShare(row), 1) + " %", numberText(quantileOf(row.staleness, 0.5), 0), numberText(quantileOf(row.staleness, 1), 0),
                numberText(quantileOf(row.batchTimes, 0.5), 0), numberText(quantileOf(row.batchTimes, 1), 0) });
        }
        return table.text();
    }

    void appendCounts(std::string& text, const std::string& name, const std::map<int, std::uint64_t>& counts)
    {
        for (const std::pair<const int, std::uint64_t>& count : counts) {
            text += name;
            text += ": result code " + std::to_string(count.first);
            text += ", " + std::to_string(count.second) + " times\n";
        }
    }

}

double quantileOf(std::span<const double> values, double probability)
{
    if (values.empty())
        return 0;
    std::vector<double> sorted(values.begin(), values.end());
    const std::size_t rank = static_cast<std::size_t>(probability * static_cast<double>(sorted.size()));
    const auto it = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(rank, sorted.size() - 1));
    std::nth_element(sorted.begin(), it, sorted.end());
    return *it;
}

double idleShare(const trainer_report& report)
{
    const double total = report.idleMilliseconds + report.trainingMilliseconds;
    return total > 0 ? report.idleMilliseconds / total : 0;
}

std::string toText(const load_report& report)
{
    std::string text;
    if (!report.customers.empty())
        text += customersText(report);
    if (!report.trainers.empty())
        text += trainersText(report);
    for (const customer_report& row : report.customers)
        appendCounts(text, row.entry, row.refusals);
    for (const trainer_report& row : report.trainers)
        appendCounts(text, row.name, row.failures);
    return text;
}

std::string toJson(const load_report& report)
{
    json customers = json::array();
    for (const customer_report& row : report.customers)
        customers.push_back(customerJson(row));
    json trainers = json::array();
    for (const trainer_report& row : report.trainers)
        trainers.push_back(trainerJson(row));
    return json { { "customers", customers }, { "trainers", trainers } }.dump();
}

}
