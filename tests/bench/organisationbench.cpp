#include <rollout/callerauthentication.h>

#include <platform/listcodec.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include <malloc.h>

DEFINE_int32(organisations, 100, "organisations of the configuration");
DEFINE_int32(keys, 10, "keys of each organisation");
DEFINE_int32(requests, 1000000, "requests that are admitted");

namespace {

using namespace ragwortreach;
using clock_type = std::chrono::steady_clock;
using nlohmann::json;

std::string keyOf(int organisation, int key)
{
    return "key-" + std::to_string(organisation) + "-" + std::to_string(key) + "-r26tta828m82thhkmgjq";
}

keyed_record configurationRecord()
{
    json organisations = json::array();
    for (int number = 0; number < FLAGS_organisations; ++number) {
        json keys = json::array();
        for (int key = 0; key < FLAGS_keys; ++key)
            keys.push_back(keyOf(number, key));
        organisations.push_back({ { "name", "organisation-" + std::to_string(number) }, { "api_keys", keys }, { "priority", number % 3 } });
    }
    const json configuration { { "version", 1 }, { "routes", json::array() }, { "services", json::array() }, { "tenants", organisations } };
    return { "config", configuration.dump(), 0 };
}

double microsecondsSince(clock_type::time_point start)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - start).count();
}

void measure()
{
    const keyed_record record = configurationRecord();
    const std::size_t bytesBefore = mallinfo2().uordblks;
    const clock_type::time_point decodeStart = clock_type::now();
    route_table routes;
    routes.setKeyRevocation(std::chrono::seconds(5));
    routes.setConfiguration(std::get<route_configuration>(platform::decodeOperatorRecord(record)));
    routes.setConfirmedAt(instant(std::chrono::seconds(10)));
    const double decodeTime = microsecondsSince(decodeStart);
    const std::size_t bytes = mallinfo2().uordblks - bytesBefore;

    std::vector<std::string> keys;
    for (int number = 0; number < FLAGS_organisations; ++number) {
        for (int key = 0; key < FLAGS_keys; ++key)
            keys.push_back(keyOf(number, key));
    }
    int admitted = 0;
    const clock_type::time_point start = clock_type::now();
    for (int request = 0; request < FLAGS_requests; ++request) {
        const std::string& key = keys[static_cast<std::size_t>(request) % keys.size()];
        admitted += admitCaller(routes, key, false, instant(std::chrono::seconds(11))).verdict == admission_verdict::Admitted ? 1 : 0;
    }
    std::printf("%zu keys: configuration read in %.0f us, %zu bytes kept; %.3f us a request, %d of %d admitted\n", keys.size(), decodeTime, bytes,
        microsecondsSince(start) / FLAGS_requests, admitted, FLAGS_requests);
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        measure();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "organisationbench: %s\n", error.what());
        return 1;
    }
    return 0;
}
