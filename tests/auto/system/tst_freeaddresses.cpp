#include "freeaddresses.h"

#include <catch2/catch.hpp>

#include <set>

using namespace ragwortreach::Tests;

// Two daemons of a fleet got the same port, since the first one had not started when the ports of the second were chosen.
TEST_CASE("A process gets each free address once")
{
    std::set<std::string> addresses;
    for (int call = 0; call < 300; ++call) {
        for (const std::string& address : freeAddresses(5))
            CHECK(addresses.insert(address).second);
    }
}
