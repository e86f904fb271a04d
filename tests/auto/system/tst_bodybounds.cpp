#include "callercrowd.h"
#include "platformfleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace ragwortreach::Tests;

// Guards against bodies and trailers of legal size that, sent by many callers at once, make a daemon use up the memory of
// its VM, or keep other callers from being served.

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = kibibyte * kibibyte;
constexpr std::size_t crowd = 250;
constexpr std::size_t memoryMegabytes = 40;
constexpr std::size_t descriptors = 1000;
constexpr std::size_t bodyBytes = mebibyte;
constexpr std::size_t smallBodyBytes = 60 * kibibyte;
/// Larger than what a caller may have sent when the daemon refuses it.
constexpr std::size_t trailerBytes = 4 * mebibyte;

std::string headOf(std::size_t announcedBytes)
{
    return "POST /score/1 HTTP/1.1\r\nHost: lace.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\nContent-Length: " + std::to_string(announcedBytes) + "\r\n\r\n";
}

const std::string chunkedHead = "POST /score/1 HTTP/1.1\r\nHost: lace.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string smallChunk = "4\r\nlace\r\n";
const std::string largeChunk = "10000\r\n" + std::string(64 * kibibyte, 'l') + "\r\n";
const std::string line(kibibyte, 'l');

/// Bytes on the wire of a body of bodyBytes in chunks like \a chunk, each of \a content bytes, without the last chunk.
std::size_t chunkedBytes(const std::string& chunk, std::size_t content)
{
    return chunkedHead.size() + bodyBytes / content * chunk.size();
}

std::string batchHead(std::size_t announcedBytes)
{
    return "POST /lots/1 HTTP/1.1\r\nHost: lace.example\r\nRequest-Id: crowd\r\nContent-Length: " + std::to_string(announcedBytes) + "\r\n\r\n{\"items\":[";
}

const crowd_load loads[] = {
    { "bodies of announced length", headOf(bodyBytes), line, headOf(bodyBytes).size() + bodyBytes },
    { "bodies of announced length that stop short", headOf(bodyBytes), line, headOf(bodyBytes).size() + bodyBytes - 1 },
    { "bodies of announced length in pieces that stop short", headOf(bodyBytes), line, headOf(bodyBytes).size() + bodyBytes - 1, 32 * kibibyte },
    { "small bodies that stop short", headOf(smallBodyBytes), line, headOf(smallBodyBytes).size() + smallBodyBytes - 1 },
    { "bodies in large chunks that stop short", chunkedHead, largeChunk, chunkedBytes(largeChunk, 64 * kibibyte) - 1 },
    { "bodies in small chunks that stop short", chunkedHead, smallChunk, chunkedBytes(smallChunk, 4) - 1 },
    { "bodies in small chunks in pieces that stop short", chunkedHead, smallChunk, chunkedBytes(smallChunk, 4) - 1, 64 * kibibyte },
    { "batches of many small values", batchHead(bodyBytes), "0,", batchHead(bodyBytes).size() + bodyBytes - 10 },
    { "trailers of small fields without end", chunkedHead + "5\r\nlinen\r\n0\r\n", "a: b\r\n", trailerBytes },
    { "a trailer field without end behind a large body", chunkedHead + largeChunk + "0\r\nX-Filler: ", line, trailerBytes },
};

/// A port of the daemon, and an ordinary request to it.
struct port_case {
    const char* setting;
    std::string request;
};

const std::string ordinaryCall = "POST /score/1 HTTP/1.1\r\nHost: lace.example\r\nRequest-Id: ordinary\r\nDeadline-Ms: 10000\r\nContent-Length: 600\r\n\r\n" + std::string(600, 'o');

const port_case ports[] = {
    { "caller", ordinaryCall },
    { "peer", ordinaryCall },
    { "readiness", "GET /api/readyz HTTP/1.1\r\nHost: lace.example\r\n\r\n" },
    { "metrics", "GET /metrics HTTP/1.1\r\nHost: lace.example\r\n\r\n" },
};

/// Starts the daemon again with the bounds of the test, and with bodies of at most \a maxBodyBytes.
void startBounded(platform_fleet& fleet, std::size_t maxBodyBytes)
{
    fleet.setGatewaySetting(0, "memory_mb", memoryMegabytes);
    fleet.setGatewaySetting(0, "max_descriptors", descriptors);
    fleet.configureLimits(1, { { "max_body_bytes", maxBodyBytes }, { "header_timeout_ms", 60000 }, { "idle_timeout_ms", 60000 } });
    fleet.restart(0);
    fleet.waitReady(0);
    REQUIRE(statusOfRequest(fleet.caller(0), ordinaryCall) == 200);
}

void check(const crowd_load& load, const port_case& port)
{
    platform_fleet fleet(1, false);
    startBounded(fleet, bodyBytes);
    const pid_t pid = fleet.daemon(0).pid();
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    peak_use peak;
    caller_crowd callers(fleet.address(0, port.setting), load, crowd);
    sendLoad(callers, pid, peak);
    fleet.run([&fleet] {
        fleet.shop().setHolding(false);
        fleet.shop().answerHeld();
    });
    CHECK(statusOfRequest(fleet.address(0, port.setting), port.request) == 200);
    CHECK(statusOfRequest(fleet.caller(0), ordinaryCall) == 200);
    peak.measure(pid);
    CHECK(residentKilobytes(pid) > 0);
    CHECK(peak.kilobytes < memoryMegabytes * kibibyte);
    CHECK(peak.descriptors < descriptors);
}

}

TEST_CASE("Bodies of a crowd take neither more than the memory of the VM nor the room of other callers")
{
    for (const crowd_load& load : loads) {
        for (const port_case& port : ports) {
            DYNAMIC_SECTION(load.name << " at the port " << port.setting)
            {
                check(load, port);
            }
        }
    }
}

// The bound on all bodies together must not refuse a single one of legal size.
TEST_CASE("A single body of the largest legal size is served within the memory of the VM")
{
    constexpr std::size_t largestBytes = 8 * mebibyte;
    const std::string body(largestBytes, 'l');
    const std::string requests[] = { headOf(largestBytes) + body, chunkedHead + "800000\r\n" + body + "\r\n0\r\n\r\n" };
    for (const std::string& request : requests) {
        platform_fleet fleet(1, false);
        startBounded(fleet, largestBytes);
        CHECK(statusOfRequest(fleet.caller(0), request) == 200);
        CHECK(residentKilobytes(fleet.daemon(0).pid()) < memoryMegabytes * kibibyte);
    }
}
