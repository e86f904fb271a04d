#include <rollout/eventstreamreader.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;

namespace {

constexpr const char* body = "id: 1\ndata: one\n\nversions: 7\nid: 2\ndata: two\r\n\r\nid:3\ndata:three\ndata: more\n\n: comment\n\n";

std::string summary(const std::vector<stream_event>& events)
{
    std::string text;
    for (const stream_event& event : events) {
        text += std::to_string(event.id) + "=" + event.data;
        if (event.weightVersion)
            text += "@" + std::to_string(*event.weightVersion);
        text += ";";
    }
    return text;
}

}

TEST_CASE("The events do not depend on how the body is split into pieces")
{
    REQUIRE(rc::check([] {
        event_stream_reader reader("versions");
        std::string_view rest = body;
        std::vector<stream_event> events;
        while (!rest.empty()) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
            for (stream_event& event : reader.read(rest.substr(0, size)))
                events.push_back(std::move(event));
            rest.remove_prefix(size);
        }
        RC_ASSERT(summary(events) == "1=one;2=two@7;3=three\nmore;");
        RC_ASSERT(reader.isValid());
        RC_ASSERT(reader.isBetweenEvents());
    }));
}

TEST_CASE("An event truncated by the end of the body is dropped and detected")
{
    event_stream_reader reader("versions");
    CHECK(summary(reader.read("id: 1\ndata: one\n\nid: 2\ndata: tw")) == "1=one;");
    CHECK_FALSE(reader.isBetweenEvents());
}

TEST_CASE("An event without a valid id or version makes the stream invalid")
{
    for (const char* malformed : { "data: one\n\n", "id: x\ndata: one\n\n", "versions: new\nid: 1\ndata: one\n\n" }) {
        DYNAMIC_SECTION(malformed)
        {
            event_stream_reader reader("versions");
            reader.read(malformed);
            CHECK_FALSE(reader.isValid());
        }
    }
}

TEST_CASE("An event beyond the size limit is dropped and makes the stream invalid")
{
    event_stream_reader reader("weight-versions");
    CHECK(reader.read("id: 1\ndata: one\n\nid: 2\ndata: ").size() == 1);
    for (int piece = 0; piece < 20 && reader.isValid(); ++piece)
        CHECK(reader.read(std::string(100000, 'x')).empty());
    CHECK_FALSE(reader.isValid());
}
