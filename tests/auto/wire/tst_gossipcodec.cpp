#include <wire/gossipcodec.h>

#include <core/gossipmessage.h>
#include <core/resultcode.h>
#include <support/gossipnetwork.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;

namespace {

std::string name()
{
    return *rc::gen::resize(20, rc::gen::nonEmpty<std::string>());
}

std::uint64_t number()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

member_delta makeDelta()
{
    member_delta delta { name(), { number(), number() }, number(), static_cast<member_health>(*rc::gen::inRange(0, 3)),
        *rc::gen::arbitrary<bool>(), std::nullopt };
    if (*rc::gen::arbitrary<bool>())
        delta.details = member_details { name(), name(), { name(), name(), name(), name() } };
    return delta;
}

values_delta makeValues()
{
    values_delta delta { name(), { number(), number() }, { number(), number(), {} } };
    const std::size_t count = *rc::gen::inRange<std::size_t>(0, maxDemandsPerMember + 1);
    for (std::size_t index = 0; index < count; ++index)
        delta.values.demands.push_back({ name(), number() });
    return delta;
}

gossip_body makeBody(int kind)
{
    switch (kind) {
    case 0:
        return ping_body { number(), name(), *rc::gen::arbitrary<bool>() };
    case 1:
        return ack_body { number(), name() };
    case 2:
        return indirect_ping_body { number(), name(), name() };
    case 3:
        return push_body { *rc::gen::arbitrary<bool>() };
    case 4:
        return digest_body { *rc::gen::arbitrary<std::array<std::uint32_t, digestBucketCount>>(), *rc::gen::arbitrary<bool>() };
    case 5:
        return details_request_body { { name(), name() } };
    default:
        return payload_body { *rc::gen::arbitrary<std::string>() };
    }
}

gossip_message makeMessage(int kind)
{
    gossip_message message { number(), name(), { number(), number() }, number(), makeBody(kind), {}, {}, {} };
    if (*rc::gen::arbitrary<bool>())
        message.deltas.push_back(makeDelta());
    if (*rc::gen::arbitrary<bool>())
        message.values.push_back(makeValues());
    if (*rc::gen::arbitrary<bool>())
        message.reached = { number(), *rc::gen::nonEmpty<std::vector<std::uint32_t>>() };
    return message;
}

constexpr int bodyKinds = static_cast<int>(std::variant_size_v<gossip_body>);

}

TEST_CASE("Each gossip message is unchanged after encoding and decoding and within its size bound")
{
    const int kind = GENERATE(range(0, bodyKinds));
    REQUIRE(rc::check("round trip", [kind] {
        const gossip_message message = makeMessage(kind);
        const std::string bytes = encodeGossip(message);
        RC_ASSERT(bytes.size() <= encodedSizeBound(message));
        gossip_message decoded;
        const std::error_code error = decodeGossip(bytes, decoded);
        RC_ASSERT(error == (bytes.size() <= maxGossipMessageSize ? std::error_code() : result_code::MalformedMessage));
        if (!error)
            RC_ASSERT(decoded == message);
    }));
}

TEST_CASE("Corrupted gossip is rejected as malformed or decodes to another valid message")
{
    REQUIRE(rc::check("truncations and changed bytes", [] {
        std::string bytes = encodeGossip(makeMessage(*rc::gen::inRange(0, bodyKinds)));
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const int changes = *rc::gen::inRange(0, 4);
        for (int change = 0; change < changes && !bytes.empty(); ++change)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        gossip_message decoded;
        const std::error_code error = decodeGossip(bytes, decoded);
        RC_ASSERT(!error || error == result_code::MalformedMessage);
        if (!error)
            RC_ASSERT(!decoded.sender.empty() && decoded.values.size() + decoded.deltas.size() <= bytes.size());
    }));
    REQUIRE(rc::check("garbage", [] {
        gossip_message decoded;
        const std::error_code error = decodeGossip(*rc::gen::arbitrary<std::string>(), decoded);
        RC_ASSERT(!error || error == result_code::MalformedMessage);
    }));
}

TEST_CASE("Gossip that exceeds a bound is rejected as malformed")
{
    struct row {
        const char* name;
        void (*corrupt)(gossip_message& message);
    };
    const std::string longName(maxGossipNameLength + 1, 'x');
    const row rows[] = {
        { "no sender", [](gossip_message& message) { message.sender.clear(); } },
        { "long sender", [](gossip_message& message) { message.sender.assign(maxGossipNameLength + 1, 'x'); } },
        { "no target", [](gossip_message& message) { message.body = ping_body { 1, "", false }; } },
        { "long target", [](gossip_message& message) { message.body = ack_body { 1, std::string(65, 'x') }; } },
        { "long address", [](gossip_message& message) { message.body = indirect_ping_body { 1, "a", std::string(65, 'x') }; } },
        { "unnamed details", [](gossip_message& message) { message.body = details_request_body { { "" } }; } },
        { "unnamed delta", [](gossip_message& message) { message.deltas.emplace_back(); } },
        { "long region", [](gossip_message& message) { message.deltas.push_back({ "a", {}, 0, {}, false, member_details { "", std::string(65, 'x'), {} } }); } },
        { "unnamed values", [](gossip_message& message) { message.values.emplace_back(); } },
        { "many demands", [](gossip_message& message) { message.values.push_back({ "a", {}, { 1, 1, std::vector<owner_demand>(maxDemandsPerMember + 1) } }); } },
        { "long owner", [](gossip_message& message) { message.values.push_back({ "a", {}, { 1, 1, { { std::string(65, 'x'), 1 } } } }); } },
        { "many reported", [](gossip_message& message) { message.reached = { 1, std::vector<std::uint32_t>(maxReportedMembers + 1) }; } },
        { "large", [](gossip_message& message) { message.deltas.assign(400, { "a", {}, 0, {}, false, {} }); } },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        gossip_message message { 1, "entry-a1", { 1, 1 }, 0, push_body {}, {}, {}, {} };
        gossip_message decoded;
        CHECK_FALSE(decodeGossip(encodeGossip(message), decoded));
        item.corrupt(message);
        CHECK(decodeGossip(encodeGossip(message), decoded) == result_code::MalformedMessage);
    }
    gossip_message decoded;
    CHECK(decodeGossip("", decoded) == result_code::MalformedMessage);
    // Digests of 1 and of 65 buckets, as a daemon of another version might send; 64 buckets are accepted.
    const std::string sender = { 0x12, 0x01, 'a' };
    CHECK(decodeGossip(sender + std::string { 0x5a, 0x06, 0x0a, 0x04 } + std::string(4, 'x'), decoded) == result_code::MalformedMessage);
    CHECK(decodeGossip(sender + std::string("\x5a\x87\x02\x0a\x84\x02", 6) + std::string(260, 'x'), decoded) == result_code::MalformedMessage);
    CHECK_FALSE(decodeGossip(sender + std::string("\x5a\x83\x02\x0a\x80\x02", 6) + std::string(256, 'x'), decoded));
}

TEST_CASE("All messages of a simulated network are unchanged after encoding and decoding")
{
    gossip_network network({ .size = 30, .dataCentres = 5, .seed = 8 });
    std::size_t messages = 0;
    std::size_t failures = 0;
    network.observeMessages([&](std::size_t, std::size_t, const gossip_message& message) {
        gossip_message decoded;
        ++messages;
        failures += decodeGossip(encodeGossip(message), decoded) || decoded != message ? 1 : 0;
    });
    network.leave(1);
    network.kill(2);
    network.run(std::chrono::seconds(10));
    CHECK(messages > 1000);
    CHECK(failures == 0);
}
