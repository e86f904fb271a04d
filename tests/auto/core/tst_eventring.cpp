#include <core/eventring.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>

using namespace ragwortreach;

TEST_CASE("Event kinds convert to their names and back")
{
    for (const event_kind_info& info : eventKinds()) {
        CAPTURE(info.name);
        CHECK(eventKindFromName(info.name) == info.kind);
        CHECK(toString(info.kind) == info.name);
    }
    CHECK(!eventKindFromName("no_such_kind"));
}

TEST_CASE("Queries of the ring return the same events as a simple list")
{
    rc::prop("queries by subject and time", [](const std::vector<std::uint8_t>& steps) {
        const std::size_t capacity = *rc::gen::inRange<std::size_t>(1, 20);
        event_ring ring(capacity);
        std::deque<timeline_event> reference;
        std::uint64_t time = 0;
        for (const std::uint8_t step : steps) {
            timeline_event event { { ++time }, event_kind::RequestReceived, std::string(1, static_cast<char>('a' + step % 3)), result_code::Ok, "" };
            ring.add(event);
            reference.push_back(event);
            if (reference.size() > capacity)
                reference.pop_front();
        }
        const std::string subject = *rc::gen::element<std::string>("", "a", "b");
        const hybrid_time since { *rc::gen::inRange<std::uint64_t>(0, time + 2) };
        const std::size_t limit = *rc::gen::inRange<std::size_t>(0, 8);
        std::vector<timeline_event> expected;
        for (const timeline_event& event : reference) {
            if (event.time > since && (subject.empty() || event.subject == subject))
                expected.push_back(event);
        }
        if (expected.size() > limit)
            expected.erase(expected.begin(), expected.end() - static_cast<std::ptrdiff_t>(limit));
        RC_ASSERT(ring.query(subject, since, limit) == expected);
        RC_ASSERT(ring.overwritten() + ring.size() == steps.size());
    });
}
