#include <net/connectionguard.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortreach;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

struct bound_case {
    const char* name;
    std::size_t given;
    std::size_t bound;
};

const bound_case memoryCases[] = {
    { "unknown memory counts as none", 0, 2 * mebibyte },
    { "least memory", 16 * mebibyte, 2 * mebibyte },
    { "a sixteenth", 160 * mebibyte, 10 * mebibyte },
    { "most", 8192 * mebibyte, 32 * mebibyte },
};

const bound_case descriptorCases[] = {
    { "fewer than the reserve", 100, connection_guard::minConnections },
    { "the reserve", 200, connection_guard::minConnections },
    { "half of the rest", 256, 28 },
    { "many", 20000, 9900 },
};

/// Guard whose connections note their own relief.
struct noting_guard {
    connection_guard guard;
    /// Connections that were relieved, in order.
    std::string relieved;

    connection_guard::connection_number add(connection_guard::port_number port, char name)
    {
        return guard.add(port, [this, name] { relieved += name; });
    }
};

}

TEST_CASE("The bounds follow from the memory and the descriptors")
{
    for (const bound_case& row : memoryCases) {
        DYNAMIC_SECTION("memory: " << row.name)
        {
            CHECK(connection_guard::unfinishedBytesFor(row.given) == row.bound);
        }
    }
    for (const bound_case& row : descriptorCases) {
        DYNAMIC_SECTION("descriptors: " << row.name)
        {
            connection_guard guard;
            guard.setDescriptors(row.given);
            CHECK(guard.maxConnections() == row.bound);
            guard.setDescriptors(row.given + 1000);
            guard.setProcessDescriptors(row.given);
            CHECK(guard.maxConnections() == row.bound);
        }
    }
}

TEST_CASE("The connection with the most unfinished bytes is closed first, the oldest among equals")
{
    noting_guard noting;
    connection_guard& guard = noting.guard;
    guard.setUnfinishedBytes(1000);
    const connection_guard::port_number port = guard.addPort();
    const auto a = noting.add(port, 'a');
    const auto b = noting.add(port, 'b');
    const auto c = noting.add(port, 'c');
    guard.setUnfinished(c, 400);
    guard.setUnfinished(b, 400);
    guard.setUnfinished(a, 200);
    guard.enforce();
    CHECK(noting.relieved.empty());
    guard.setUnfinished(a, 201);
    guard.enforce();
    CHECK(noting.relieved == "b");
    CHECK(guard.unfinishedBytes() == 601);
    CHECK(guard.connections() == 2);
    guard.setUnfinished(a, 1001);
    guard.enforce();
    CHECK(noting.relieved == "ba");
    CHECK(guard.unfinishedBytes() == 400);
    CHECK(guard.counters().closedForBytes == 2);
}

TEST_CASE("Bytes that are held no more do not count")
{
    noting_guard noting;
    connection_guard& guard = noting.guard;
    guard.setUnfinishedBytes(1000);
    const connection_guard::port_number port = guard.addPort();
    for (int number = 0; number < 100; ++number) {
        const auto connection = noting.add(port, 'x');
        guard.setUnfinished(connection, 900);
        guard.enforce();
        guard.setUnfinished(connection, 0);
        guard.setServed(connection);
        guard.setUnfinished(connection, 900);
        guard.enforce();
        guard.remove(connection);
        guard.remove(connection);
    }
    CHECK(noting.relieved.empty());
    CHECK(guard.connections() == 0);
    CHECK(guard.unfinishedBytes() == 0);
}

TEST_CASE("A connection with an open exchange loses its pipelined requests, and stays")
{
    noting_guard noting;
    connection_guard& guard = noting.guard;
    guard.setUnfinishedBytes(1000);
    const connection_guard::port_number port = guard.addPort();
    const auto a = noting.add(port, 'a');
    guard.setServed(a);
    guard.setUnfinished(a, 1001);
    guard.enforce();
    CHECK(noting.relieved == "a");
    CHECK(guard.connections() == 1);
    CHECK(guard.unfinishedBytes() == 0);
    CHECK(guard.counters().pipelinesDiscarded == 1);
    CHECK(guard.counters().closedForBytes == 0);
}

TEST_CASE("The connection whose body has paused longest makes room, and none whose body is complete or arrives")
{
    constexpr duration pause = std::chrono::milliseconds(500);
    noting_guard noting;
    connection_guard& guard = noting.guard;
    const connection_guard::port_number port = guard.addPort();
    const auto a = noting.add(port, 'a');
    const auto b = noting.add(port, 'b');
    const auto c = noting.add(port, 'c');
    const auto d = noting.add(port, 'd');
    const instant begin { std::chrono::seconds(10) };
    guard.noteBodyPart(a, begin);
    guard.noteBodyPart(b, begin);
    guard.noteBodyPart(c, begin);
    guard.noteBodyPart(a, begin + pause);
    guard.endBody(c);
    CHECK_FALSE(guard.closePausedBody(d, pause, begin + pause / 2));
    CHECK_FALSE(guard.closePausedBody(b, pause, begin + pause));
    CHECK(noting.relieved.empty());
    CHECK(guard.closePausedBody(d, pause, begin + pause));
    CHECK(noting.relieved == "b");
    CHECK_FALSE(guard.closePausedBody(d, pause, begin + pause));
    CHECK(guard.closePausedBody(d, duration::zero(), begin + pause));
    CHECK(noting.relieved == "ba");
    CHECK_FALSE(guard.closePausedBody(d, duration::zero(), begin + 10 * pause));
    CHECK(guard.counters().closedForBodies == 2);
}

TEST_CASE("The largest body of any port fits beside small ones")
{
    connection_guard guard;
    guard.setBodyBytes(1000000);
    const connection_guard::port_number first = guard.addPort();
    const connection_guard::port_number second = guard.addPort();
    guard.setLargestBody(first, 2000000);
    guard.setLargestBody(second, 1000);
    held_bytes small(guard.bodies());
    CHECK(small.setBody(60000));
    held_bytes large(guard.bodies());
    CHECK(large.setBody(2000000));
    guard.setLargestBody(first, 1000);
    held_bytes another(guard.bodies());
    CHECK_FALSE(another.setBody(1000));
}

TEST_CASE("The connection that has waited longest is closed when there are too many")
{
    noting_guard noting;
    connection_guard& guard = noting.guard;
    guard.setDescriptors(0);
    const connection_guard::port_number port = guard.addPort();
    std::vector<connection_guard::connection_number> connections;
    for (std::size_t number = 0; number < connection_guard::minConnections; ++number)
        connections.push_back(noting.add(port, static_cast<char>('a' + number)));
    // The first one is served, the second one waits anew.
    guard.setServed(connections[0]);
    guard.setServed(connections[1]);
    guard.setWaiting(connections[1]);
    guard.enforce();
    CHECK(noting.relieved.empty());
    noting.add(port, 'x');
    guard.enforce();
    CHECK(noting.relieved == "c");
    noting.add(port, 'y');
    guard.enforce();
    CHECK(noting.relieved == "cd");
    CHECK(guard.connections() == connection_guard::minConnections);
    CHECK(guard.counters().closedForCount == 2);
}

TEST_CASE("A crowd at one port closes no connection of another, and no served one")
{
    noting_guard noting;
    connection_guard& guard = noting.guard;
    guard.setDescriptors(0);
    const connection_guard::port_number readiness = guard.addPort();
    const connection_guard::port_number caller = guard.addPort();
    for (std::size_t number = 0; number < connection_guard::connectionsKeptPerPort; ++number)
        noting.add(readiness, 'r');
    for (std::size_t number = 0; number < connection_guard::minConnections; ++number)
        guard.setServed(noting.add(caller, 's'));
    guard.enforce();
    CHECK(noting.relieved.empty());
    noting.add(caller, 'c');
    guard.enforce();
    CHECK(noting.relieved == "c");
}

TEST_CASE("Without a descriptor for another connection, the one that has waited longest is closed")
{
    noting_guard noting;
    connection_guard& guard = noting.guard;
    const connection_guard::port_number port = guard.addPort();
    for (std::size_t number = 0; number < connection_guard::connectionsKeptPerPort + 1; ++number)
        noting.add(port, static_cast<char>('a' + number));
    guard.relieveDescriptors();
    CHECK(noting.relieved == "a");
    guard.relieveDescriptors();
    CHECK(noting.relieved == "a");
    CHECK(guard.counters().acceptsFailed == 2);
}

TEST_CASE("Of the answers that nobody reads, the one that has waited longest is dropped, and a single one never")
{
    noting_guard noting;
    connection_guard& guard = noting.guard;
    guard.setUnfinishedBytes(500);
    const connection_guard::port_number port = guard.addPort();
    const auto a = noting.add(port, 'a');
    const auto b = noting.add(port, 'b');
    const auto c = noting.add(port, 'c');
    guard.setUnread(c, 400);
    guard.setUnread(b, 600);
    guard.enforce();
    CHECK(noting.relieved.empty());
    CHECK_FALSE(guard.isExceeded());
    guard.setServed(a);
    guard.setUnread(a, 5000);
    CHECK_FALSE(guard.isExceeded());
    guard.setWaiting(a);
    guard.setUnread(a, 5000);
    CHECK(guard.isExceeded());
    guard.enforce();
    CHECK(noting.relieved == "bc");
    CHECK(guard.counters().closedForUnread == 2);
    guard.setServed(a);
    guard.setUnread(noting.add(port, 'd'), 1000);
    guard.setUnread(noting.add(port, 'e'), 1);
    guard.enforce();
    CHECK(noting.relieved == "bcd");
}
