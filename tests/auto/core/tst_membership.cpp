#include <support/gossipnetwork.h>

#include <core/membertable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <set>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Sequence of events, and the time within which all views must match the actual state again.
struct scenario {
    const char* name;
    void (*play)(gossip_network& network);
    /// Virtual time after the events.
    duration bound;
};

void splitEvenAndOdd(gossip_network& network)
{
    for (std::size_t node = 0; node < network.size(); ++node)
        network.setGroup(node, static_cast<int>(node % 2));
}

const scenario scenarios[] = {
    { "start", [](gossip_network&) {}, 3s },
    { "kill one", [](gossip_network& network) { network.kill(3); }, 5s },
    { "kill a third", [](gossip_network& network) {
         for (std::size_t node = 0; node < network.size(); node += 3)
             network.kill(node);
     },
        10s },
    { "leave", [](gossip_network& network) { network.leave(4); }, 2s },
    { "leave and stop", [](gossip_network& network) {
         network.leave(4);
         network.run(1s);
         network.kill(4);
     },
        5s },
    { "restart faster than a failure is noticed", [](gossip_network& network) { network.start(5); }, 3s },
    { "restart after a failure", [](gossip_network& network) {
         network.kill(5);
         network.run(10s);
         network.start(5);
     },
        3s },
    { "restart after leaving", [](gossip_network& network) {
         network.leave(5);
         network.run(10s);
         network.start(5);
     },
        3s },
    { "retire and replace", [](gossip_network& network) {
         network.retire(5);
         network.run(1s);
         network.kill(5);
         network.run(10s);
         network.start(5);
     },
        3s },
    { "short pause", [](gossip_network& network) {
         network.pause(6);
         network.run(800ms);
         network.resume(6);
     },
        3s },
    { "long pause", [](gossip_network& network) {
         network.pause(6);
         network.run(20s);
         network.resume(6);
     },
        5s },
    { "partition", [](gossip_network& network) { splitEvenAndOdd(network); }, 12s },
    { "partition and heal", [](gossip_network& network) {
         splitEvenAndOdd(network);
         network.run(60s);
         network.heal();
     },
        15s },
    { "restart during a partition", [](gossip_network& network) {
         splitEvenAndOdd(network);
         network.run(20s);
         network.start(2);
         network.run(20s);
         network.heal();
     },
        15s },
    { "one daemon cut off for an hour", [](gossip_network& network) {
         network.setGroup(7, 1);
         network.run(1h);
         network.heal();
     },
        20s },
};

}

TEST_CASE("Views match the actual state within bounded time")
{
    const scenario& item = GENERATE(from_range(std::begin(scenarios), std::end(scenarios)));
    const unsigned lost = GENERATE(0U, 20U);
    const std::uint64_t seed = GENERATE(range(1, 5));
    CAPTURE(item.name, lost, seed);
    gossip_network network({ .seed = seed, .lost = lost, .duplicated = lost });
    REQUIRE(network.runUntilAgreed(10s));
    item.play(network);
    network.runUntilAgreed(item.bound);
    CHECK(network.difference() == "");
    const duration settlingTime = 10s;
    network.run(settlingTime);
    if (lost == 0)
        CHECK(network.difference() == "");
}

namespace {

/// Fails when a view resets the leaving state of a member within one process instance, or returns to an earlier
/// instance.
class leaving_check {
public:
    explicit leaving_check(gossip_network& network)
    {
        network.observeChanges([this](std::size_t node, const member_changed& change) { observe(node, change); });
    }

    void forget(std::size_t node) { m_seen.erase(node); }

private:
    struct seen_member {
        member_instance instance;
        bool isLeaving = false;
    };

    void observe(std::size_t node, const member_changed& change)
    {
        seen_member& seen = m_seen[node][change.vm];
        RC_ASSERT(change.instance >= seen.instance);
        if (change.instance > seen.instance)
            seen = { change.instance, false };
        const bool isEligible = change.state == member_state::Alive || change.state == member_state::Suspect;
        RC_ASSERT(!(seen.isLeaving && isEligible));
        seen.isLeaving = seen.isLeaving || change.state == member_state::Leaving;
    }

    std::map<std::size_t, std::map<std::string, seen_member>> m_seen;
};

enum class step_kind {
    Kill,
    Start,
    Leave,
    Retire,
    Pause,
    Resume,
    Split,
    Heal,
    OldList,
    Wait,
};

void play(gossip_network& network, leaving_check& check, const vm_list_received& oldList)
{
    const step_kind kind = static_cast<step_kind>(*rc::gen::inRange(0, static_cast<int>(step_kind::Wait) + 1));
    const std::size_t node = *rc::gen::inRange<std::size_t>(0, network.size());
    switch (kind) {
    case step_kind::Kill:
        check.forget(node);
        return network.kill(node);
    case step_kind::Start:
        check.forget(node);
        return network.start(node);
    case step_kind::Leave:
        return network.isRunning(node) ? network.leave(node) : void();
    case step_kind::Retire:
        return network.isRunning(node) ? network.retire(node) : void();
    case step_kind::Pause:
        return network.pause(node);
    case step_kind::Resume:
        return network.resume(node);
    case step_kind::Split:
        return network.setGroup(node, *rc::gen::inRange(0, 3));
    case step_kind::Heal:
        return network.heal();
    case step_kind::OldList:
        return network.isRunning(node) ? network.sendList(node, oldList) : void();
    case step_kind::Wait:
        return network.run(std::chrono::milliseconds(*rc::gen::inRange(100, 10000)));
    }
}

}

TEST_CASE("After any sequence of faults all views match the actual state, and leaving is final")
{
    REQUIRE(rc::check("views converge", [] {
        gossip_network network({ .size = 8, .seed = *rc::gen::arbitrary<std::uint64_t>(), .lost = 10, .duplicated = 10 });
        leaving_check check(network);
        const vm_list_received oldList = network.makeList();
        network.run(3s);
        const int steps = *rc::gen::inRange(1, 20);
        for (int step = 0; step < steps; ++step)
            play(network, check, oldList);
        network.heal();
        for (std::size_t node = 0; node < network.size(); ++node)
            network.resume(node);
        if (!network.runUntilAgreed(90s))
            RC_FAIL(network.difference());
    }));
}

namespace {

membership_settings localSettings()
{
    membership_settings settings;
    settings.local.vm = "entry-a1";
    settings.local.instance = { 1, 500 };
    settings.local.dataCentre = "ee-north-a";
    settings.local.addresses.gossip = "127.0.0.1:1";
    return settings;
}

vm_list_entry listEntry(const std::string& vm, std::uint64_t incarnation, bool leaving)
{
    return { vm, incarnation, "ee-north-a", "ee-north", { "127.0.0.1:2", "", "", "" }, leaving };
}

gossip_message messageFrom(const std::string& vm, member_instance instance, std::vector<member_delta> deltas)
{
    return { 0, vm, instance, 0, push_body {}, std::move(deltas), {}, {} };
}

member_delta detailedDelta(const std::string& vm, member_instance instance, bool leaving)
{
    return { vm, instance, 0, member_health::Alive, leaving, member_details { "ee-north-a", "ee-north", { "127.0.0.1:2", "", "", "" } } };
}

}

TEST_CASE("An older VM list changes nothing")
{
    membership view(localSettings());
    view.handle(vm_list_received { 7, { listEntry("entry-a2", 3, true) } }, instant(1s));
    CHECK(view.find("entry-a2")->state == member_state::Leaving);
    view.handle(vm_list_received { 6, { listEntry("entry-a2", 4, false) } }, instant(2s));
    view.handle(vm_list_received { 7, { listEntry("entry-a2", 4, false) } }, instant(2s));
    CHECK(view.find("entry-a2")->state == member_state::Leaving);
    CHECK(view.counters().staleLists == 2);
    view.handle(vm_list_received { 8, { listEntry("entry-a2", 4, false) } }, instant(3s));
    CHECK(view.find("entry-a2")->state == member_state::Alive);
    CHECK(view.find("entry-a2")->instance.incarnation == 4);
}

TEST_CASE("A new VM at the address of a leaving VM is a separate member")
{
    membership view(localSettings());
    view.handle(vm_list_received { 1, { listEntry("entry-a2", 1, true) } }, instant(1s));
    view.handle(vm_list_received { 2, { listEntry("entry-a9", 1, false) } }, instant(2s));
    CHECK(view.find("entry-a2")->state == member_state::Leaving);
    CHECK(view.find("entry-a9")->state == member_state::Alive);
}

TEST_CASE("The listed instance of a VM is replaced by the process that sends messages for it")
{
    membership view(localSettings());
    view.handle(vm_list_received { 1, { listEntry("entry-a2", 1, false) } }, instant(1s));
    const member_instance process { 1, 900 };
    view.handle(message_received { "127.0.0.1:2", messageFrom("entry-a2", process, { detailedDelta("entry-a2", process, false) }) }, instant(2s));
    CHECK(view.find("entry-a2")->instance == process);
    view.handle(vm_list_received { 2, { listEntry("entry-a2", 1, true) } }, instant(3s));
    CHECK(view.find("entry-a2")->instance == process);
    CHECK(view.find("entry-a2")->state == member_state::Leaving);
}

TEST_CASE("No later delta resets the leaving state of an instance")
{
    const member_instance instance { 1, 900 };
    const member_delta later[] = {
        { "entry-a2", instance, 0, member_health::Suspect, false, std::nullopt },
        { "entry-a2", instance, 7, member_health::Alive, false, std::nullopt },
        { "entry-a2", { 1, 800 }, 9, member_health::Alive, false, std::nullopt },
    };
    for (const member_delta& delta : later) {
        CAPTURE(delta.refutation);
        membership view(localSettings());
        view.handle(message_received { "127.0.0.1:2", messageFrom("entry-a3", { 1, 9 }, { detailedDelta("entry-a2", instance, true) }) }, instant(1s));
        view.handle(message_received { "127.0.0.1:2", messageFrom("entry-a3", { 1, 9 }, { delta }) }, instant(2s));
        CHECK(view.find("entry-a2")->state == member_state::Leaving);
    }
}

TEST_CASE("A failure reported in answer to a digest is taken as a suspicion")
{
    const member_instance instance { 1, 900 };
    for (const bool isSync : { true, false }) {
        membership view(localSettings());
        view.handle(message_received { "127.0.0.1:2", messageFrom("entry-a3", { 1, 9 }, { detailedDelta("entry-a2", instance, false) }) }, instant(1s));
        gossip_message reported = messageFrom("entry-a3", { 1, 9 }, { { "entry-a2", instance, 0, member_health::Failed, false, std::nullopt } });
        reported.body = push_body { isSync };
        view.handle(message_received { "127.0.0.1:2", reported }, instant(2s));
        CHECK(view.find("entry-a2")->state == (isSync ? member_state::Suspect : member_state::Failed));
    }
}

TEST_CASE("A position report about an earlier instance does not change the current one")
{
    membership view(localSettings());
    const member_instance instance { 1, 900 };
    view.handle(message_received { "127.0.0.1:2", messageFrom("entry-a2", instance, { detailedDelta("entry-a2", instance, false) }) }, instant(1s));
    member reported = *view.find("entry-a2");
    for (const std::uint64_t start : { 800, 900 }) {
        reported.instance.startMilliseconds = start;
        gossip_message message = messageFrom("entry-a2", instance, {});
        message.reached = { 70, { Internal::instanceHash(reported) } };
        view.handle(message_received { "127.0.0.1:2", message }, instant(2s));
        CHECK(view.find("entry-a2")->values.cataloguePosition == (start == 900 ? 70 : 0));
    }
}

TEST_CASE("The local member leaves when the VM list says so and refutes a failure")
{
    membership view(localSettings());
    member_delta failed { "entry-a1", { 1, 500 }, 4, member_health::Failed, false, std::nullopt };
    const std::vector<membership_effect> effects = view.handle(message_received { "127.0.0.1:2", messageFrom("entry-a2", { 1, 9 }, { failed }) }, instant(1s));
    const send_message* answer = std::get_if<send_message>(&effects.front());
    REQUIRE(answer);
    CHECK(answer->message.deltas.front().refutation == 5);
    view.handle(vm_list_received { 1, { listEntry("entry-a1", 1, true) } }, instant(2s));
    CHECK(view.local().state == member_state::Leaving);
}

TEST_CASE("All daemons receive the values of all members and sum the demands of the eligible ones")
{
    gossip_network network({ .size = 12, .seed = 5 });
    network.run(5s);
    for (std::size_t node = 0; node < network.size(); ++node)
        network.setState(node, 40 + node, { { "pitsinurk", 1000 }, { "klupa", node } });
    network.run(20s);
    for (std::size_t node = 0; node < network.size(); ++node) {
        CHECK(network.view(node).demand("pitsinurk") == 12000);
        CHECK(network.view(node).catalogueHead() == 51);
        CHECK(network.view(node).find("entry-3")->values.cataloguePosition == 43);
    }
    network.leave(3);
    network.run(5s);
    CHECK(network.view(0).demand("pitsinurk") == 11000);
}

TEST_CASE("A cut link between two daemons raises no suspicion")
{
    gossip_network network({ .size = 6, .seed = 7 });
    network.run(10s);
    network.cutLink(1, 4);
    network.run(60s);
    std::uint64_t suspicions = 0;
    for (std::size_t node = 0; node < network.size(); ++node)
        suspicions += network.view(node).counters().suspicions;
    CHECK(suspicions == 0);
    CHECK(network.agrees());
}

TEST_CASE("All daemons learn which daemons have applied the catalogue up to its head")
{
    gossip_network network({ .size = 40, .dataCentres = 5, .seed = 7, .lost = 10 });
    network.run(10s);
    for (std::size_t node = 1; node < network.size(); ++node)
        network.setState(node, 100);
    network.run(1s);
    network.start(2);
    network.run(20s);
    for (std::size_t node = 1; node < network.size(); ++node) {
        CHECK(network.view(0).find(network.vm(node))->values.cataloguePosition == (node == 2 ? 0 : 100));
        CHECK(network.view(node).find(network.vm(0))->values.cataloguePosition == 0);
    }
}

TEST_CASE("The number of members is bounded")
{
    membership_settings settings = localSettings();
    settings.maxMembers = 4;
    membership view(settings);
    vm_list_received list { 1, {} };
    for (int index = 0; index < 9; ++index)
        list.entries.push_back(listEntry("entry-b" + std::to_string(index), 1, false));
    view.handle(list, instant(1s));
    CHECK(view.members().size() == 4);
}

TEST_CASE("Messages do not exceed the size of one datagram")
{
    gossip_network network({ .size = 60, .dataCentres = 5, .seed = 3 });
    std::size_t largest = 0;
    network.observeMessages([&largest](std::size_t, std::size_t, const gossip_message& message) {
        largest = std::max(largest, encodedSizeBound(message));
    });
    for (std::size_t node = 0; node < 20; ++node)
        network.kill(node);
    for (std::size_t node = 20; node < network.size(); ++node)
        network.setState(node, 9, { { "pitsinurk", 1000 * node } });
    network.run(10s);
    CHECK(largest <= maxGossipMessageSize);
    CHECK(largest > maxGossipMessageSize / 2);
}
