#include <wire/factcodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

const instant sentAt { 50s };
const instant receivedAt { 900s };

}

TEST_CASE("Facts keep their age between daemons whose clocks differ")
{
    const replica_limit limits[] = { { { "shop-1", 7 }, 2.5, sentAt - 300ms }, { { "shop-2", -1 }, std::nullopt, sentAt } };
    for (const replica_limit& limit : limits) {
        const std::optional<fact_message> decoded = decodeFactMessage(encodeFactMessage({ { limit }, std::nullopt }, sentAt), receivedAt);
        REQUIRE(decoded);
        REQUIRE(decoded->facts.size() == 1);
        const replica_limit& read = std::get<replica_limit>(decoded->facts[0]);
        CHECK(read.replica == limit.replica);
        CHECK(read.perSecond == limit.perSecond);
        CHECK(receivedAt - read.statedAt == sentAt - limit.statedAt);
    }
}

TEST_CASE("An announcement of leaving is unchanged after encoding and decoding, but for its clock")
{
    const std::optional<fact_message> decoded = decodeFactMessage(encodeFactMessage({ { replica_leaving { { "shop-1", 7 }, sentAt - 2s } }, std::nullopt }, sentAt), receivedAt);
    REQUIRE(decoded);
    const replica_leaving& leaving = std::get<replica_leaving>(decoded->facts.at(0));
    CHECK(leaving.replica == replica_instance { "shop-1", 7 });
    CHECK(leaving.statedAt == receivedAt - 2s);
}

TEST_CASE("The version that a daemon has read is unchanged after encoding and decoding, but for its clock")
{
    const std::optional<fact_message> decoded = decodeFactMessage(encodeFactMessage({ { configuration_read { 12, sentAt - 2s } }, std::nullopt }, sentAt), receivedAt);
    REQUIRE(decoded);
    const configuration_read& read = std::get<configuration_read>(decoded->facts.at(0));
    CHECK(read.version == 12);
    CHECK(read.readAt == receivedAt - 2s);
}

TEST_CASE("What a daemon says of its access, and its address for calls, are unchanged after encoding and decoding")
{
    for (const bool hasAccess : { false, true }) {
        const std::optional<fact_message> decoded = decodeFactMessage(encodeFactMessage({ { access_statement { "vm-1", hasAccess, 9, sentAt - 2s } }, std::nullopt }, sentAt), receivedAt);
        REQUIRE(decoded);
        const access_statement& statement = std::get<access_statement>(decoded->facts.at(0));
        CHECK(statement.vm == "vm-1");
        CHECK(statement.hasAccess == hasAccess);
        CHECK(statement.number == 9);
        CHECK(statement.statedAt == receivedAt - 2s);
    }
    vm_list_entry entry;
    entry.addresses.gossip = "127.0.0.1:1";
    for (const char* const address : { "", "127.0.0.1:2" }) {
        entry.addresses.peer = address;
        const std::optional<vm_list_entry> read = decodeAnnouncement("vm-1", encodeAnnouncement(entry));
        REQUIRE(read);
        CHECK(read->addresses.peer == address);
    }
}

TEST_CASE("Messages about streams are unchanged after encoding and decoding, but for their clock")
{
    const std::optional<fact_message> note = decodeFactMessage(encodeFactMessage({ {}, std::nullopt, stream_note { "r-1", "v1", sentAt - 2s } }, sentAt), receivedAt);
    REQUIRE((note && note->stream));
    CHECK(std::get<stream_note>(*note->stream).request == "r-1");
    CHECK(std::get<stream_note>(*note->stream).software == "v1");
    CHECK(std::get<stream_note>(*note->stream).begunAt == receivedAt - 2s);
    const std::optional<fact_message> question = decodeFactMessage(encodeFactMessage({ {}, std::nullopt, stream_question { 7, "r-1" } }, sentAt), receivedAt);
    REQUIRE((question && question->stream));
    CHECK(std::get<stream_question>(*question->stream).number == 7);
    CHECK(std::get<stream_question>(*question->stream).request == "r-1");
    const std::optional<fact_message> answer = decodeFactMessage(encodeFactMessage({ {}, std::nullopt, stream_answer { 7, "v1", 9s } }, sentAt), receivedAt);
    REQUIRE((answer && answer->stream));
    CHECK(std::get<stream_answer>(*answer->stream).number == 7);
    CHECK(std::get<stream_answer>(*answer->stream).software == "v1");
    CHECK(std::get<stream_answer>(*answer->stream).keepsFor == 9s);
}

TEST_CASE("Facts about requests are unchanged after encoding and decoding, but for their clock")
{
    const request_crash crash { { 1, 0xfffffffffffffffe }, { "shop-1", 7 }, sentAt - 2s };
    const request_success success { { 3, 4 }, sentAt - 5ms };
    const std::optional<fact_message> decoded = decodeFactMessage(encodeFactMessage({ { crash, success }, std::nullopt }, sentAt), receivedAt);
    REQUIRE(decoded);
    REQUIRE(decoded->facts.size() == 2);
    const request_crash& readCrash = std::get<request_crash>(decoded->facts[0]);
    CHECK(readCrash.request == crash.request);
    CHECK(readCrash.replica == crash.replica);
    CHECK(readCrash.at == receivedAt - 2s);
    const request_success& readSuccess = std::get<request_success>(decoded->facts[1]);
    CHECK(readSuccess.request == success.request);
    CHECK(readSuccess.at == receivedAt - 5ms);
}

TEST_CASE("Messages about permits are unchanged after encoding and decoding")
{
    const permit_ask ask { 4, { { "shop-1", 7 }, 2, sentAt }, 150ms, true };
    const std::optional<fact_message> asked = decodeFactMessage(encodeFactMessage({ {}, ask }, sentAt), receivedAt);
    REQUIRE(asked);
    const permit_ask& readAsk = std::get<permit_ask>(*asked->permit);
    CHECK(readAsk.number == 4);
    CHECK(readAsk.limit.replica == ask.limit.replica);
    CHECK(readAsk.maxWait == 150ms);
    CHECK(readAsk.isStandIn);
    const std::optional<fact_message> replied = decodeFactMessage(encodeFactMessage({ {}, permit_reply { 4, true, 20ms } }, sentAt), receivedAt);
    REQUIRE(replied);
    CHECK(std::get<permit_reply>(*replied->permit).isGranted);
    CHECK(std::get<permit_reply>(*replied->permit).wait == 20ms);
}

TEST_CASE("Bytes that are no fact message are rejected or decode to a valid one")
{
    rc::prop("arbitrary and corrupted bytes", [] {
        std::string bytes = encodeFactMessage({ { replica_limit { { "shop-1", 7 }, 2, sentAt }, request_crash { { 1, 2 }, { "shop-1", 7 }, sentAt }, request_success { { 1, 2 }, sentAt } }, permit_reply { 1, false, 5ms } }, sentAt);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        for (const std::string& tried : { bytes, *rc::gen::arbitrary<std::string>() }) {
            const std::optional<fact_message> decoded = decodeFactMessage(tried, receivedAt);
            for (const fact& item : decoded ? decoded->facts : std::vector<fact>()) {
                if (const replica_limit* const limit = std::get_if<replica_limit>(&item)) {
                    RC_ASSERT(!limit->replica.id.empty());
                    RC_ASSERT(!limit->perSecond || *limit->perSecond >= 0);
                } else if (const request_crash* const crash = std::get_if<request_crash>(&item)) {
                    RC_ASSERT(!crash->replica.id.empty());
                }
            }
        }
    });
}

TEST_CASE("The announcement of a daemon is unchanged after encoding and decoding")
{
    vm_list_entry entry;
    entry.vm = "entry-1";
    entry.dataCentre = "north-a";
    entry.region = "north";
    entry.addresses.gossip = "10.0.0.1:7660";
    const std::optional<vm_list_entry> decoded = decodeAnnouncement("entry-1", encodeAnnouncement(entry));
    REQUIRE(decoded);
    CHECK(decoded->vm == entry.vm);
    CHECK(decoded->dataCentre == entry.dataCentre);
    CHECK(decoded->addresses == entry.addresses);
    CHECK_FALSE(decodeAnnouncement("entry-1", ""));
    CHECK_FALSE(decodeAnnouncement("", encodeAnnouncement(entry)));
}
