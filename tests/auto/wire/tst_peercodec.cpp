#include <wire/peercodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;

namespace {

std::string text()
{
    return *rc::gen::arbitrary<std::string>();
}

std::string batchId()
{
    return *rc::gen::nonEmpty<std::string>();
}

peer_request makeRequest(int kind)
{
    switch (kind) {
    case 0:
        return open_batch_request { text() };
    case 1:
        return fetch_batch_request { batchId(), text() };
    case 2:
        return cancel_batch_request { batchId() };
    case 3:
        return batch_progress_request { batchId() };
    case 4:
        return catalogue_read_request { *rc::gen::arbitrary<std::uint64_t>() };
    default:
        return status_request {};
    }
}

catalogue_read_reply makeCatalogueReply()
{
    catalogue_read_reply reply;
    const std::uint64_t count = *rc::gen::inRange<std::uint64_t>(0, 5);
    for (std::uint64_t offset = 0; offset < count; ++offset)
        reply.records.push_back({ offset * 2, text(), text() });
    if (*rc::gen::arbitrary<bool>())
        reply.snapshot = text();
    reply.end = *rc::gen::arbitrary<std::uint64_t>();
    return reply;
}

peer_reply makeReply(int kind)
{
    switch (kind) {
    case 0:
        return open_batch_reply { *rc::gen::arbitrary<bool>(), text() };
    case 1:
        return fetch_batch_reply { text() };
    case 2:
        return cancel_batch_reply { text() };
    case 3:
        return batch_progress_reply { text() };
    case 4:
        return makeCatalogueReply();
    case 5:
        return status_reply { text() };
    default:
        return error_reply { rc::gen::elementOf(std::vector<result_code_info>(resultCodes().begin(), resultCodes().end()))(rc::Random(), 10).value().code, text() };
    }
}

constexpr int requestKinds = static_cast<int>(std::variant_size_v<peer_request>);
constexpr int replyKinds = static_cast<int>(std::variant_size_v<peer_reply>);

std::string damage(std::string bytes)
{
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const int changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes && !bytes.empty(); ++change)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    return bytes;
}

bool isOkOrMalformed(std::error_code error)
{
    return !error || error == result_code::MalformedMessage;
}

}

TEST_CASE("Each peer request is unchanged after encoding and decoding")
{
    const int kind = GENERATE(range(0, requestKinds));
    REQUIRE(rc::check("round trip", [kind] {
        const peer_request_frame frame { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(),
            duration(*rc::gen::inRange<std::int64_t>(0, maxPeerTimeout.count())), makeRequest(kind) };
        peer_request_frame decoded;
        RC_ASSERT(!decodePeerRequest(encodePeerRequest(frame), decoded));
        RC_ASSERT(decoded == frame);
    }));
}

TEST_CASE("Each peer reply is unchanged after encoding and decoding")
{
    const int kind = GENERATE(range(0, replyKinds));
    REQUIRE(rc::check("round trip", [kind] {
        const peer_reply_frame frame { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(), makeReply(kind) };
        peer_reply_frame decoded;
        RC_ASSERT(!decodePeerReply(encodePeerReply(frame), decoded));
        RC_ASSERT(decoded == frame);
    }));
}

TEST_CASE("Corrupted peer messages decode or are rejected as malformed")
{
    REQUIRE(rc::check("truncations, changed bytes and garbage", [] {
        peer_request_frame request;
        peer_reply_frame reply;
        RC_ASSERT(isOkOrMalformed(decodePeerRequest(damage(encodePeerRequest({ 1, 2, duration(3), makeRequest(*rc::gen::inRange(0, requestKinds)) })), request)));
        RC_ASSERT(isOkOrMalformed(decodePeerReply(damage(encodePeerReply({ 1, 2, makeReply(*rc::gen::inRange(0, replyKinds)) })), reply)));
        RC_ASSERT(isOkOrMalformed(decodePeerRequest(text(), request)));
        RC_ASSERT(isOkOrMalformed(decodePeerReply(text(), reply)));
    }));
}

TEST_CASE("Peer messages that exceed a bound are rejected as malformed")
{
    const peer_request requests[] = {
        fetch_batch_request { "", "" },
        cancel_batch_request { std::string(maxBatchIdLength + 1, 'x') },
        batch_progress_request { "" },
        open_batch_request { std::string(maxPeerMessageSize, 'x') },
    };
    for (const peer_request& request : requests) {
        peer_request_frame decoded;
        CHECK(decodePeerRequest(encodePeerRequest({ 1, 2, duration(3), request }), decoded) == result_code::MalformedMessage);
    }
    const peer_reply replies[] = {
        catalogue_read_reply { { { 5, "a", "{}" }, { 5, "b", "{}" } }, std::nullopt, 6 },
        catalogue_read_reply { std::vector<log_record>(maxCatalogueRecords + 1), std::nullopt, 6 },
        error_reply { static_cast<result_code>(9999), "" },
    };
    for (const peer_reply& reply : replies) {
        peer_reply_frame decoded;
        CHECK(decodePeerReply(encodePeerReply({ 1, 2, reply }), decoded) == result_code::MalformedMessage);
    }
    peer_request_frame request;
    peer_reply_frame reply;
    CHECK(decodePeerRequest("", request) == result_code::MalformedMessage);
    CHECK(decodePeerReply("", reply) == result_code::MalformedMessage);
}
