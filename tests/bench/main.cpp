#include "admissionbench.h"
#include "routingbench.h"

#include <cstdio>

using namespace ragwortreach::Bench;

namespace {

constexpr std::uint64_t seed = 20261204;

void printAdmission(double customersPerSecond)
{
    std::printf("half of the replicas go at peak, %.0f customer calls a second\n", customersPerSecond);
    std::printf("%-24s %9s %9s %14s %14s %9s %12s\n", "policy", "customers", "in time", "in time, short", "refused, short", "rollouts", "tokens lost");
    for (const admission_policy policy : { admission_policy::Whole, admission_policy::WithoutGuard, admission_policy::FifoRoundRobin,
             admission_policy::FifoRandom }) {
        const admission_figures figures = runAdmission(policy, customersPerSecond, seed);
        std::printf("%-24s %9llu %8.2f%% %13.2f%% %13.2f%% %9llu %12llu\n", nameOf(policy).data(),
            static_cast<unsigned long long>(figures.customers), 100 * figures.wholeInTime, 100 * figures.wholeInTimeWhileShort,
            100 * figures.refusedWhileShort, static_cast<unsigned long long>(figures.rollouts),
            static_cast<unsigned long long>(figures.rolloutTokensLost));
    }
}

void printRouting()
{
    std::printf("groups of eight calls with one prompt\n");
    std::printf("%-24s %12s %14s %12s %12s\n", "policy", "prefix hits", "max/mean load", "mean s", "p99 s");
    for (const routing_policy policy : { routing_policy::Router, routing_policy::RouterWithoutGroups, routing_policy::AllKnowing,
             routing_policy::RoundRobin, routing_policy::Random }) {
        const routing_figures figures = runRouting(policy, seed);
        std::printf("%-24s %11.2f%% %14.3f %12.3f %12.3f\n", nameOf(policy).data(), 100 * figures.prefixHits, figures.maxOverMeanLoad,
            figures.meanLatencySeconds, figures.p99LatencySeconds);
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
