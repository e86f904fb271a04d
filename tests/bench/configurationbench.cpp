#include "allocationmeter.h"

#include <platform/listcodec.h>
#include <rollout/routetable.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

DEFINE_int32(lookups, 200000, "calls whose route is looked up");

namespace {

using namespace ragwortreach;
using clock_type = std::chrono::steady_clock;
using nlohmann::json;

constexpr int routeCounts[] = { 350, 1400, 5600, 20000 };
constexpr int routesOfHost = 200;
constexpr double kibibyte = 1024;

std::string hostOf(int number)
{
    return "host-" + std::to_string(number / routesOfHost) + ".example";
}

keyed_record configurationRecord(int version, int routes)
{
    json list = json::array();
    for (int number = 0; number < routes; ++number)
        list.push_back({ { "name", "route-" + std::to_string(number) }, { "host", hostOf(number) }, { "path_prefix", "/path-" + std::to_string(number) + "/" },
            { "route_kind", "idempotent" }, { "timeout_ms", 20000 }, { "full_value_ms", 400 }, { "priority", number % 3 }, { "service", "shop" }, { "max_attempts", 3 } });
    const json configuration { { "version", version }, { "routes", list }, { "services", json::array({ { { "name", "shop" } } }) } };
    return { "config", configuration.dump(), 0 };
}

double microsecondsSince(clock_type::time_point start)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - start).count();
}

/// Looks routes up as calls do, and returns the mean time of one in microseconds.
double lookupTime(const route_table& routes, int count)
{
    std::size_t found = 0;
    const clock_type::time_point start = clock_type::now();
    for (int call = 0; call < FLAGS_lookups; ++call) {
        const int number = call * 7919 % count;
        const std::string host = hostOf(number);
        const route* const matching = routes.find(host, "/path-" + std::to_string(number) + "/item");
        if (!matching || !routes.service(matching->targets.front().service))
            continue;
        found += 1 + routes.countMoreUrgent(*matching, matching->priority);
        found += routes.hasPublicBatches(host) ? 1 : 0;
    }
    return found == 0 ? 0 : microsecondsSince(start) / FLAGS_lookups;
}

/// Replaces a configuration of \a count routes by another one.
void measure(int count)
{
    route_table routes;
    routes.setConfiguration(std::get<route_configuration>(platform::decodeOperatorRecord(configurationRecord(1, count))));
    const keyed_record next = configurationRecord(2, count);
    const std::size_t inUse = allocation_meter::restart();
    const clock_type::time_point start = clock_type::now();
    platform::operator_record decoded = platform::decodeOperatorRecord(next);
    const double decodeTime = microsecondsSince(start);
    routes.setConfiguration(std::get<route_configuration>(std::move(decoded)));
    const double time = microsecondsSince(start);
    const std::size_t peak = allocation_meter::peakBytes() - inUse;
    std::printf("%d routes: %.0f KiB, decoded in %.0f us, in force after %.0f us; beside the one before: peak %.0f KiB; a call looks up in %.2f us\n",
        count, static_cast<double>(next.bytes()) / kibibyte, decodeTime, time, static_cast<double>(peak) / kibibyte, lookupTime(routes, count));
}

}

// Measures how long a daemon needs to put a configuration in force, and how much memory, while another one is in force.
int main(int argc, char** argv)
{
    try {
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        for (const int count : routeCounts)
            measure(count);
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "configurationbench: %s\n", error.what());
        return EXIT_FAILURE;
    }
}
