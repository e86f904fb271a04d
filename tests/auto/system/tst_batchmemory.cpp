#include "callercrowd.h"
#include "platformfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;
using nlohmann::json;

// Guards against accepted batches, of any size and number, that make a VM use more than its memory: the one that takes them,
// the one that runs them, and the one that takes them over.

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t memoryMegabytes = 60;
constexpr std::size_t daemons = 3;
constexpr std::size_t maxBodyBytes = 12 * kibibyte * kibibyte;
constexpr std::chrono::seconds restartTime { 1 };
/// Slow enough that most of the batches are open when their owner ends.
constexpr std::chrono::milliseconds slowInterval { 500 };
constexpr std::chrono::milliseconds usualInterval { 5 };

/// What happens to the owner of the open batches.
enum class disturbance {
    None,
    Killed,
    Suspended,
    Stopped,
    AllKilled,
};

struct memory_case {
    const char* name;
    disturbance kind;
    int batches;
    int items;
    /// Of an item, encoded as base64.
    std::size_t bodyBytes;
};

const memory_case cases[] = {
    { "the owner of large batches is killed", disturbance::Killed, 4, 24, 340 * kibibyte },
    { "the owner of many smaller batches is killed", disturbance::Killed, 12, 24, 110 * kibibyte },
    { "the owner of large batches of small items is killed", disturbance::Killed, 3, 1000, 8 * kibibyte },
    { "the owner is suspended, and goes on", disturbance::Suspended, 4, 24, 340 * kibibyte },
    { "the owner is stopped and hands over", disturbance::Stopped, 4, 24, 340 * kibibyte },
    { "all daemons are killed", disturbance::AllKilled, 4, 24, 340 * kibibyte },
    { "items nearly as large as a body may be", disturbance::Killed, 3, 1, 10 * kibibyte* kibibyte },
    { "nothing happens", disturbance::None, 4, 24, 340 * kibibyte },
};

header_map headersFor(const std::string& id)
{
    return { { "Host", "lace.example" }, { "Request-Id", id } };
}

json submissionOf(const std::string& id, const memory_case& row)
{
    json items = json::array();
    for (int number = 0; number < row.items; ++number) {
        const std::string item = id + "-" + std::to_string(number);
        items.push_back({ { "id", item }, { "path", "/lots/1" }, { "body", std::string(row.bodyBytes / 4 * 4, 'a') }, { "token_count", 90 }, { "group_id", item } });
    }
    return json { { "train_step", 1 }, { "model_id", "lace-7b" }, { "min_version", 1 }, { "group_count", row.items }, { "items", items } };
}

/// Fleet of daemons of which none may use more than the memory of its VM.
class bounded_fleet {
public:
    bounded_fleet()
        : m_fleet(daemons, false)
    {
        m_fleet.configureLimits(1, { { "max_body_bytes", maxBodyBytes } });
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            m_fleet.setGatewaySetting(daemon, "memory_mb", memoryMegabytes);
            m_fleet.restart(daemon);
        }
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            m_fleet.waitReady(daemon);
        setEventInterval(slowInterval);
    }

    ~bounded_fleet() { noteAllPeaks(); }

    void setEventInterval(std::chrono::milliseconds interval)
    {
        m_fleet.run([this, interval] { m_fleet.engine().setEventInterval(interval); });
    }

    void submit(std::size_t daemon, const std::string& id, const memory_case& row)
    {
        const json body = submissionOf(id, row);
        REQUIRE(body.dump().size() <= maxBodyBytes);
        CHECK(waitUntil([this, daemon, &id, &body] { return send(m_fleet.caller(daemon), "POST", "/lots/" + id, body, headersFor(id)).status == 202; }));
    }

    std::size_t owner() const
    {
        std::size_t largest = 0;
        for (std::size_t daemon = 1; daemon < daemons; ++daemon) {
            if (residentKilobytes(m_fleet.daemon(daemon).pid()) > residentKilobytes(m_fleet.daemon(largest).pid()))
                largest = daemon;
        }
        return largest;
    }

    void disturb(disturbance kind)
    {
        const std::size_t daemon = owner();
        switch (kind) {
        case disturbance::None:
            return;
        case disturbance::Killed:
            restart(daemon);
            return;
        case disturbance::Suspended:
            m_fleet.daemon(daemon).signal(SIGSTOP);
            std::this_thread::sleep_for(5s);
            m_fleet.daemon(daemon).signal(SIGCONT);
            return;
        case disturbance::Stopped:
            m_fleet.daemon(daemon).signal(SIGTERM);
            CHECK(m_fleet.daemon(daemon).wait() == 0);
            m_fleet.start(daemon);
            return;
        case disturbance::AllKilled:
            noteAllPeaks();
            m_fleet.killAll();
            for (std::size_t other = 0; other < daemons; ++other)
                m_fleet.start(other);
            return;
        }
    }

    bool hasAllResults(const std::string& id, int items)
    {
        const http_reply reply = send(m_fleet.caller(0), "GET", "/api/lots/" + id + "?after=" + std::to_string(items - 1), nullptr, { { "Host", "lace.example" } });
        return reply.status == 200 && reply.json()["results"].size() == 1;
    }

    std::string bodyOf(const std::string& batch, const std::string& item)
    {
        return send(m_fleet.caller(1), "GET", "/api/items/" + batch + "?id=" + item, nullptr, { { "Host", "lace.example" } }).body;
    }

    std::size_t peak()
    {
        noteAllPeaks();
        return m_peak;
    }

private:
    void notePeak(std::size_t daemon) { m_peak = std::max(m_peak, peakKilobytes(m_fleet.daemon(daemon).pid())); }

    void noteAllPeaks()
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            notePeak(daemon);
    }

    void restart(std::size_t daemon)
    {
        notePeak(daemon);
        m_fleet.daemon(daemon).killAndWait();
        std::this_thread::sleep_for(restartTime);
        m_fleet.start(daemon);
    }

    mutable platform_fleet m_fleet;
    std::size_t m_peak = 0;
};

}

// review/6: the VM that took over four open batches of 17.8 MB was ended for its memory, again and again.
TEST_CASE("Open batches of any size are run, and taken over, within the memory of each VM")
{
    for (const memory_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            bounded_fleet fleet;
            for (int number = 0; number < row.batches; ++number)
                fleet.submit(static_cast<std::size_t>(number) % daemons, "b" + std::to_string(number), row);
            fleet.disturb(row.kind);
            fleet.setEventInterval(usualInterval);
            const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + 60s;
            for (int number = 0; number < row.batches; ++number)
                CHECK(waitUntil([&fleet, &row, number] { return fleet.hasAllResults("b" + std::to_string(number), row.items); }, deadline));
            CHECK(fleet.bodyOf("b0", "b0-0").size() == row.bodyBytes / 4 * 3);
            CHECK(fleet.peak() < memoryMegabytes * kibibyte);
        }
    }
}
