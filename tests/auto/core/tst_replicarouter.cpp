#include <core/replicarouter.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace ragwortreach;

namespace {

/// Replica in the reference model, which tells the replicas that the router may choose.
struct reference_replica {
    replica_state state = replica_state::Live;
    std::uint32_t inFlight = 0;
    std::uint32_t others = 0;
    std::optional<weight_version> weights;
};

std::string nameOf(unsigned number)
{
    return "llm-" + std::to_string(number);
}

}

TEST_CASE("The router chooses only replicas that may take the call and are within the load bound")
{
    REQUIRE(rc::check([] {
        std::map<std::string, reference_replica> reference;
        std::vector<replica_listing> listed;
        for (unsigned number = 0; number < 6; ++number) {
            reference[nameOf(number)] = {};
            listed.push_back({ nameOf(number), replica_state::Live });
        }
        replica_router router("entry-a1", 7);
        router.setReplicas(listed);
        for (const std::uint16_t number : *rc::gen::resize(300, rc::gen::arbitrary<std::vector<std::uint16_t>>())) {
            const std::string vm = nameOf(number / 16 % 6);
            reference_replica& named = reference[vm];
            const std::uint32_t load = number / 96U % 12U;
            switch (number % 16) {
            case 0:
                named.state = replica_state::Leaving;
                listed.at(number / 16 % 6).state = replica_state::Leaving;
                router.setReplicas(listed);
                break;
            case 1:
                if (named.state != replica_state::Leaving)
                    named.state = load % 2 ? replica_state::Suspect : replica_state::Live;
                router.setSuspect(vm, load % 2);
                break;
            case 2:
            case 3:
                named.others = load > named.inFlight ? load - named.inFlight : 0;
                router.reportLoad(vm, load / 2, load - load / 2);
                break;
            case 4:
                named.weights = weight_version { 1, load };
                router.reportWeights(vm, { 1, load });
                break;
            case 5:
                named.inFlight -= named.inFlight > 0 ? 1 : 0;
                router.finished(vm);
                break;
            default:
                route_request request;
                const std::vector<std::string> excluded(number % 16 == 6 ? 1 : 0, vm);
                request.excluded = excluded;
                if (number % 2)
                    request.groupKey = load;
                if (number % 16 == 8)
                    request.trainerVersion = weight_version { 1, 6 };
                request.maxVersionsBehind = 2;
                std::vector<std::string> allowed;
                for (const replica_state state : { replica_state::Live, replica_state::Suspect }) {
                    for (const std::pair<const std::string, reference_replica>& each : reference) {
                        const bool isFresh = !request.trainerVersion || (each.second.weights && each.second.weights->adapter >= 4);
                        if (each.second.state == state && isFresh && std::count(excluded.begin(), excluded.end(), each.first) == 0)
                            allowed.push_back(each.first);
                    }
                    if (!allowed.empty())
                        break;
                }
                const std::optional<std::string> picked = router.pick(request);
                RC_ASSERT(picked.has_value() == !allowed.empty());
                if (!picked)
                    break;
                RC_ASSERT(std::count(allowed.begin(), allowed.end(), *picked) == 1);
                double total = 1;
                for (const std::string& each : allowed)
                    total += reference[each].inFlight + reference[each].others;
                const double loadThen = reference[*picked].inFlight + reference[*picked].others + 1;
                RC_ASSERT(loadThen <= std::ceil(1.25 * total / static_cast<double>(allowed.size())));
                RC_ASSERT(router.pick(request).has_value());
                router.started(*picked);
                ++reference[*picked].inFlight;
            }
        }
    }));
}

TEST_CASE("Groups stay at one replica, and calls without a group go to the less loaded one")
{
    std::vector<replica_listing> listed;
    for (unsigned number = 0; number < 8; ++number)
        listed.push_back({ nameOf(number), replica_state::Live });
    replica_router router("entry-a1", 7);
    router.setReplicas(listed);
    std::set<std::string> replicas;
    for (std::uint64_t key = 0; key < 64; ++key) {
        const route_request request { key, {}, std::nullopt, 0 };
        const std::string first = *router.pick(request);
        CHECK(router.pick(request) == first);
        replicas.insert(first);
    }
    CHECK(replicas.size() == 8);
    for (unsigned number = 0; number < 7; ++number)
        router.reportLoad(nameOf(number), 100, 0);
    std::size_t idle = 0;
    for (int count = 0; count < 1000; ++count)
        idle += router.pick({}) == nameOf(7) ? 1 : 0;
    // Two replicas drawn from eight include the idle one in a quarter of all cases, here about 250 of 1000.
    CHECK(idle > 200);
}

TEST_CASE("Each daemon uses a subset of the replicas, and all daemons together use all live ones")
{
    std::vector<replica_listing> listed;
    for (unsigned number = 0; number < 600; ++number)
        listed.push_back({ nameOf(number), number < 100 ? replica_state::Leaving : replica_state::Live });
    std::map<std::string, int> users;
    for (int daemon = 0; daemon < 400; ++daemon) {
        replica_router router("entry-" + std::to_string(daemon), 1);
        router.setReplicas(listed);
        REQUIRE(router.replicas().size() == defaultReplicaSubset);
        for (const replica_status& replica : router.replicas()) {
            CHECK(replica.state == replica_state::Live);
            ++users[replica.vm];
        }
    }
    CHECK(users.size() == 500);
    replica_router router("entry-1", 1, 4);
    router.setReplicas(listed);
    const std::string kept = router.replicas().front().vm;
    router.started(kept);
    listed.erase(listed.begin(), listed.begin() + 100);
    router.setReplicas(listed);
    CHECK(router.inFlight() == 1);
}
