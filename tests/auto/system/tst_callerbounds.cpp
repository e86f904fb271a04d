#include "callercrowd.h"
#include "platformfleet.h"

#include <catch2/catch.hpp>

#include <string>

#include <sys/resource.h>

using namespace ragwortreach::Tests;

// Guards against callers outside anyone's control that make a daemon use up its memory or its file descriptors.

namespace {

constexpr std::size_t crowd = 400;
constexpr std::size_t maxGrowthKilobytes = std::size_t { 16 } * 1024;
constexpr std::size_t descriptorLimit = 256;

const std::string chunkedHead = "POST /score/1 HTTP/1.1\r\nHost: lace.example\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t headBytes = std::size_t { 60 } * 1024;
constexpr std::size_t endlessBytes = std::size_t { 256 } * 1024;

const crowd_load loads[] = {
    { "heads of 60 KB that never end", "GET / HTTP/1.1\r\nHost: lace.example\r\n", "X-Filler: " + std::string(500, 'f') + "\r\n", headBytes },
    { "head with one line that never ends", "GET / HTTP/1.1\r\nHost: lace.example\r\nX-Filler: ", std::string(500, 'f'), headBytes },
    { "heads of 15 KB that never end", "GET / HTTP/1.1\r\nHost: lace.example\r\n", "X-Filler: " + std::string(500, 'f') + "\r\n", std::size_t { 15 } * 1024 },
    { "empty lines before a request", "", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n", endlessBytes },
    { "chunk size line without end", chunkedHead, "0000000000000000", endlessBytes },
    { "chunk extension without end", chunkedHead + "5;", "extension=" + std::string(500, 'e') + ";", endlessBytes },
    { "trailer without end", chunkedHead + "5\r\nlinen\r\n0\r\n", "X-Filler: " + std::string(500, 'f') + "\r\n", endlessBytes },
    { "connections without a byte", "", "", 0 },
    { "pipelined requests whose answers nobody reads", "", "GET /metrics HTTP/1.1\r\nHost: lace.example\r\n\r\n", std::size_t { 1024 } * 1024 },
};

/// A port of the daemon, and the target of an ordinary request to it.
struct port_case {
    const char* setting;
    const char* target;
};

const port_case ports[] = { { "caller", "/score/1" }, { "readiness", "/api/readyz" }, { "metrics", "/metrics" }, { "peer", "/score/1" } };

/// Sends one ordinary request on a new connection. Returns its status; 0 without an answer within 20 s.
int statusOf(const std::string& address, const std::string& target)
{
    return statusOfRequest(address, "GET " + target + " HTTP/1.1\r\nHost: lace.example\r\nRequest-Id: ordinary\r\nDeadline-Ms: 10000\r\n\r\n");
}

void limitDescriptors(pid_t pid)
{
    const rlimit limit { descriptorLimit, descriptorLimit };
    REQUIRE(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) == 0);
}

/// Checks that ordinary requests to the port at \a address and to the caller port are answered.
void checkAnswered(const platform_fleet& fleet, const std::string& address, const std::string& target)
{
    CHECK(statusOf(address, target) == 200);
    CHECK(statusOf(fleet.caller(0), "/score/1") == 200);
}

/// Sends \a load to \a port and checks what has to hold meanwhile and afterwards. \a areDescriptorsFew: the process may
/// open no more than descriptorLimit.
void check(const crowd_load& load, const port_case& port, bool areDescriptorsFew)
{
    platform_fleet fleet(1);
    const pid_t pid = fleet.daemon(0).pid();
    REQUIRE(statusOf(fleet.caller(0), "/score/1") == 200);
    if (areDescriptorsFew)
        limitDescriptors(pid);
    const std::string address = fleet.address(0, port.setting);
    const std::size_t before = residentKilobytes(pid);
    peak_use peak;
    caller_crowd callers(address, load, crowd);
    sendLoad(callers, pid, peak);
    checkAnswered(fleet, address, port.target);
    peak.measure(pid);
    CHECK(residentKilobytes(pid) > 0);
    CHECK(peak.kilobytes < before + maxGrowthKilobytes);
    if (areDescriptorsFew)
        CHECK(peak.descriptors < descriptorLimit);
}

}

TEST_CASE("A crowd that ignores limits uses up neither the memory of a daemon nor the answers for others")
{
    for (const crowd_load& load : loads) {
        for (const port_case& port : ports) {
            DYNAMIC_SECTION(load.name << " at the port " << port.setting)
            {
                check(load, port, false);
            }
        }
    }
}

TEST_CASE("A crowd that ignores limits leaves file descriptors for others")
{
    for (const crowd_load& load : loads) {
        for (const port_case& port : ports) {
            DYNAMIC_SECTION(load.name << " at the port " << port.setting)
            {
                check(load, port, true);
            }
        }
    }
}
