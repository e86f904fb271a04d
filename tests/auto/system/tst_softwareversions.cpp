#include "platformfleet.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;

namespace {

/// Time within which all daemons list a new replica.
constexpr std::chrono::milliseconds listingTime { 700 };
constexpr int streams = 6;

std::string firstId(int stream)
{
    return "long-first-" + std::to_string(stream);
}

std::string nextId(int stream)
{
    return "long-next-" + std::to_string(stream);
}

/// Number of whole events in the body of a stream.
int countEvents(const std::string& body)
{
    int count = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", end + 1))
        ++count;
    return count;
}

header_map headersFor(const std::string& id)
{
    return { { "Host", "lace.example" }, { "Request-Id", id }, { "Deadline-Ms", "20000" } };
}

/// Streams of callers of daemon 0, which is killed amid them.
class broken_streams {
public:
    explicit broken_streams(platform_fleet& fleet)
        : m_fleet(fleet)
        , m_replies(streams)
    {
        for (int stream = 0; stream < streams; ++stream)
            m_threads.emplace_back([this, stream] { m_replies[static_cast<std::size_t>(stream)] = send(m_fleet.caller(0), "POST", "/chat/1", "lace", headersFor(firstId(stream))); });
        std::this_thread::sleep_for(500ms);
    }

    void killDaemon()
    {
        m_fleet.daemon(0).signal(SIGKILL);
        m_fleet.daemon(0).wait();
        for (std::thread& thread : m_threads)
            thread.join();
    }

    /// Takes all streams up again at the other daemons, and checks that each goes on at the engine that began it.
    void takeUp()
    {
        for (int stream = 0; stream < streams; ++stream) {
            INFO("stream " << stream);
            const int events = countEvents(m_replies[static_cast<std::size_t>(stream)].body);
            REQUIRE(events > 0);
            header_map headers = headersFor(nextId(stream));
            headers["Resumes"] = firstId(stream);
            headers["Last-Event-Id"] = std::to_string(events);
            const http_reply reply = send(m_fleet.caller(static_cast<std::size_t>(1 + stream % 2)), "POST", "/chat/1", "lace", headers);
            CHECK(reply.status == 200);
            CHECK(countEvents(reply.body) == replica_standin::longEvents - events);
            CHECK(hasRunAtFirstEngine(nextId(stream)) == hasRunAtFirstEngine(firstId(stream)));
        }
    }

    int countAtFirstEngine()
    {
        int count = 0;
        for (int stream = 0; stream < streams; ++stream)
            count += hasRunAtFirstEngine(firstId(stream)) ? 1 : 0;
        return count;
    }

private:
    bool hasRunAtFirstEngine(const std::string& id)
    {
        return m_fleet.run([this, &id] { return m_fleet.engine().startedIds().contains(id); });
    }

    platform_fleet& m_fleet;
    std::vector<http_reply> m_replies;
    std::vector<std::thread> m_threads;
};

}

// ORDER and LOST: streams whose daemon was killed went on at any software version, or not at all.
TEST_CASE("Streams were taken up at another software version after their daemon was killed")
{
    platform_fleet fleet(4);
    fleet.addEngine();
    std::this_thread::sleep_for(listingTime);
    broken_streams broken(fleet);
    CHECK(broken.countAtFirstEngine() > 0);
    CHECK(broken.countAtFirstEngine() < streams);
    broken.killDaemon();
    broken.takeUp();
}

TEST_CASE("Streams from before a release are taken up at the version that began them")
{
    platform_fleet fleet(4);
    broken_streams broken(fleet);
    CHECK(broken.countAtFirstEngine() == streams);
    broken.killDaemon();
    fleet.addEngine();
    std::this_thread::sleep_for(listingTime);
    broken.takeUp();
}
