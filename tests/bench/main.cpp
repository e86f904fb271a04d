#include "admissionbench.h"
#include "routingbench.h"

#include <cstdio>

using namespace ragwortreach::Bench;

namespace {

constexpr std::uint64_t seed = 20261204;

/// Prints a table of admission policies, with one row for each.
void printAdmission(double customersPerSecond)
{
    std::printf("half of the replicas fail at peak load, %.0f customer calls a second\n", customersPerSecond);
    std::printf("%-24s %9s %9s %14s %14s %9s %12s\n", "policy", "customers", "in time", "in time, short", "refused, short", "rollouts", "tokens lost");
    for (const admission_policy policy : { admission_policy::AllMechanisms, admission_policy::WithoutGuard, admission_policy::FifoRoundRobin,
             admission_policy::FifoRandom }) {
        const admission_result result = runAdmission(policy, customersPerSecond, seed);
        std::printf("%-24s %9llu %8.2f%% %13.2f%% %13.2f%% %9llu %12llu\n", nameOf(policy).data(),
            static_cast<unsigned long long>(result.customers), 100 * result.completeInTime, 100 * result.completeInTimeWhileShort,
            100 * result.refusedWhileShort, static_cast<unsigned long long>(result.rollouts),
            static_cast<unsigned long long>(result.rolloutTokensLost));
    }
}

/// Prints a table of routing policies, with one row for each.
void printRouting()
{
    std::printf("groups of eight calls that share a prompt\n");
    std::printf("%-24s %12s %14s %12s %12s\n", "policy", "prefix hits", "max/mean load", "mean s", "p99 s");
    for (const routing_policy policy : { routing_policy::Router, routing_policy::RouterWithoutGroups, routing_policy::Oracle,
             routing_policy::RoundRobin, routing_policy::Random }) {
        const routing_result result = runRouting(policy, seed);
        std::printf("%-24s %11.2f%% %14.3f %12.3f %12.3f\n", nameOf(policy).data(), 100 * result.prefixHits, result.maxOverMeanLoad,
            result.meanLatencySeconds, result.p99LatencySeconds);
    }
}

}

int main()
{
    printAdmission(18);
    printAdmission(30);
    printRouting();
    return 0;
}
