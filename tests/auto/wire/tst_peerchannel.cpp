#include <wire/peerchannel.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Result that the caller of a request received.
struct outcome {
    bool isDone = false;
    std::error_code error;
    peer_reply reply;
};

peer_channel::reply_handler store(outcome& result)
{
    return [&result](std::error_code error, peer_reply reply) { result = { true, error, std::move(reply) }; };
}

/// Answers progress requests with the name of their batch.
struct batch_handler {
    std::vector<std::string>& executed;

    void operator()(const peer_request& request, const peer_channel::reply_sender& send) const
    {
        const batch_progress_request* progress = std::get_if<batch_progress_request>(&request);
        executed.push_back(progress ? progress->batch : "other");
        send(batch_progress_reply { executed.back() });
    }
};

void runUntil(boost::asio::io_context& context, const bool& isDone)
{
    while (!isDone)
        context.run_one();
}

}

TEST_CASE("Concurrent requests are answered, and each daemon receives the time of the other")
{
    boost::asio::io_context context;
    peer_channel caller(context, "127.0.0.1:0");
    peer_channel owner(context, "127.0.0.1:0");
    std::vector<std::string> executed;
    owner.setHandler(batch_handler { executed });
    std::uint64_t atOwner = 0;
    std::uint64_t atCaller = 0;
    caller.setClock({ [] { return std::uint64_t(5); }, [&atCaller](std::uint64_t time) { atCaller = time; } });
    owner.setClock({ [] { return std::uint64_t(6); }, [&atOwner](std::uint64_t time) { atOwner = time; } });
    constexpr std::size_t count = 500;
    std::vector<outcome> outcomes(count);
    for (std::size_t index = 0; index < count; ++index)
        caller.request(owner.address(), batch_progress_request { "step-" + std::to_string(index) }, 20s, store(outcomes[index]));
    for (outcome& result : outcomes)
        runUntil(context, result.isDone);
    for (std::size_t index = 0; index < count; ++index) {
        CHECK_FALSE(outcomes[index].error);
        CHECK(outcomes[index].reply == peer_reply(batch_progress_reply { "step-" + std::to_string(index) }));
    }
    CHECK(executed.size() == count);
    CHECK(atOwner == 5);
    CHECK(atCaller == 6);
    CHECK_THROWS_AS(peer_channel(context, owner.address()), std::system_error);
}

TEST_CASE("A request that is not answered times out, and a late reply is dropped")
{
    boost::asio::io_context context;
    peer_channel caller(context, "127.0.0.1:0");
    peer_channel owner(context, "127.0.0.1:0");
    peer_channel::reply_sender late;
    owner.setHandler([&late](const peer_request&, peer_channel::reply_sender send) { late = std::move(send); });
    outcome first;
    caller.request(owner.address(), status_request {}, 200ms, store(first));
    runUntil(context, first.isDone);
    CHECK(first.error == result_code::PeerTimeout);
    first.isDone = false;
    REQUIRE(late);
    late(status_reply { "late" });
    std::vector<std::string> executed;
    owner.setHandler(batch_handler { executed });
    outcome second;
    caller.request(owner.address(), batch_progress_request { "b" }, 20s, store(second));
    runUntil(context, second.isDone);
    CHECK(second.reply == peer_reply(batch_progress_reply { "b" }));
    CHECK_FALSE(first.isDone);
}

TEST_CASE("A restarted daemon does not run requests that timed out while it was down")
{
    boost::asio::io_context context;
    peer_channel caller(context, "127.0.0.1:0");
    std::vector<std::string> executed;
    std::optional<peer_channel> owner(std::in_place, context, "127.0.0.1:0");
    const std::string address = owner->address();
    owner->setHandler(batch_handler { executed });
    outcome before;
    caller.request(address, batch_progress_request { "before" }, 20s, store(before));
    runUntil(context, before.isDone);
    CHECK_FALSE(before.error);
    owner.reset();
    std::vector<outcome> away(20);
    for (std::size_t index = 0; index < away.size(); ++index) {
        caller.request(address, batch_progress_request { "away" }, 100ms, store(away[index]));
        runUntil(context, away[index].isDone);
        CHECK(away[index].error);
    }
    CHECK(away.back().error == result_code::PeerUnreachable);
    owner.emplace(context, address);
    owner->setHandler(batch_handler { executed });
    outcome after;
    caller.request(address, batch_progress_request { "after" }, 20s, store(after));
    runUntil(context, after.isDone);
    CHECK_FALSE(after.error);
    CHECK(executed == std::vector<std::string> { "before", "after" });
}

TEST_CASE("A paused daemon does not run requests that timed out during its pause")
{
    boost::asio::io_context callerContext;
    boost::asio::io_context ownerContext;
    peer_channel caller(callerContext, "127.0.0.1:0");
    peer_channel owner(ownerContext, "127.0.0.1:0");
    std::vector<std::string> executed;
    owner.setHandler(batch_handler { executed });
    outcome during;
    caller.request(owner.address(), batch_progress_request { "during" }, 500ms, store(during));
    runUntil(callerContext, during.isDone);
    CHECK(during.error == result_code::PeerTimeout);
    outcome after;
    caller.request(owner.address(), batch_progress_request { "after" }, 20s, store(after));
    while (!after.isDone) {
        callerContext.poll();
        ownerContext.poll();
    }
    CHECK_FALSE(after.error);
    CHECK(executed == std::vector<std::string> { "after" });
    CHECK(owner.counters().requestsExpired == 1);
}

TEST_CASE("A malformed address never connects")
{
    boost::asio::io_context context;
    peer_channel caller(context, "127.0.0.1:0");
    outcome result;
    caller.request("nonsense", status_request {}, 60ms, store(result));
    CHECK_FALSE(result.isDone);
    runUntil(context, result.isDone);
    CHECK(result.error == result_code::PeerUnreachable);
    CHECK(std::get<error_reply>(result.reply).code == result_code::PeerUnreachable);
}
