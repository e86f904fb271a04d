#include <platform/requestcodec.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace ragwortreach::platform;
using namespace std::chrono_literals;

namespace {

item_contents contentsOf(batch_item item)
{
    return takeContents(item);
}

std::string header(const http_request& request, std::string_view name)
{
    return std::string(headerValue(request.headers, name).value_or("(none)"));
}

struct answer_case {
    const char* name;
    http_response_head head;
    bool isStamped;
    bool isNotRun;
    bool isOtherReplica;
};

const answer_case answerCases[] = {
    { "complete", { 200, { { "Server-Stamp", "s" } }, 3 }, true, false, false },
    { "full", { 503, { { "Not-Executed", "1" } }, 0 }, false, true, false },
    { "failed", { 500, { { "Server-Stamp", "s" } }, 0 }, true, false, false },
    { "other replica", { 421, {}, 0 }, false, true, true },
    { "no signature", { 200, {}, 0 }, false, false, false },
};

struct call_case {
    const char* method;
    const char* target;
    std::size_t kind;
};

const call_case callCases[] = {
    { "GET", "/api/lots/ab?after=3", 1 },
    { "GET", "/api/items/ab?id=x", 2 },
    { "DELETE", "/api/lots/ab", 3 },
    { "POST", "/api/lots/ab", 0 },
    { "GET", "/lots/ab", 0 },
};

}

TEST_CASE("A forwarded request has the gateway's own deadline and instance headers, and no hop-by-hop headers")
{
    const http_request request { "POST", "/shop/7?x=1",
        { { "Host", "h" }, { "Request-Id", "r" }, { "Deadline-Ms", "800" }, { "Expect-Instance", "forged" }, { "Connection", "keep-alive" },
            { "Model-Id", "lace" } },
        "body" };
    const http_request sent = encodeReplicaRequest(request, { "i-1", 420ms, 0 });
    CHECK(sent.target == "/shop/7?x=1");
    CHECK(sent.body == "body");
    CHECK(header(sent, "Host") == "h");
    CHECK(header(sent, "Request-Id") == "r");
    CHECK(header(sent, "Model-Id") == "lace");
    CHECK(header(sent, "Deadline-Ms") == "420");
    CHECK(header(sent, "Expect-Instance") == "i-1");
    CHECK(header(sent, "Connection") == "(none)");
    CHECK(header(sent, "Last-Event-Id") == "(none)");
}

TEST_CASE("An item is sent with the body and headers of the trainer and resumes after an event")
{
    batch_submission batch;
    batch.host = "h";
    const batch_item item { "item-1", "/lots/1", { { "Token-Usage", "5,6" } }, "prompt", 11, 0, "g" };
    const http_request sent = encodeItemRequest(batch, item, contentsOf(item), { "i-1", std::nullopt, 4 });
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/lots/1");
    CHECK(sent.body == "prompt");
    CHECK(header(sent, "Request-Id") == "item-1");
    CHECK(header(sent, "Token-Usage") == "5,6");
    CHECK(header(sent, "Last-Event-Id") == "4");
    CHECK(header(sent, "Deadline-Ms") == "(none)");
}

TEST_CASE("Where organisations are in force, a replica gets the organisation and neither the key nor what the sender says of itself")
{
    const std::vector<http_header> sent { { "Host", "h" }, { "authorization", "Bearer key-1" }, { "tenant", "forged" }, { "Model-Id", "lace" } };
    const http_request call { "POST", "/shop/7", sent, "body" };
    batch_submission batch;
    batch_item item { "item-1", "/lots/1", {}, "prompt", 11, 0, "g" };
    for (const http_header& line : sent)
        item.headers.push_back({ line.name, line.value });
    const reward_call reward { "s-1", "rewards.example", "/score/1", "body" };
    const replica_request_options options { "i-1", 420ms, 0, "guild" };
    for (const http_request& request : { encodeReplicaRequest(call, options), encodeItemRequest(batch, item, contentsOf(item), options), encodeRewardRequest(reward, reward.body, options) }) {
        CHECK(header(request, "Tenant") == "guild");
        CHECK(header(request, "Authorization") == "(none)");
    }
    const http_request anonymous = encodeReplicaRequest(call, { "i-1", 420ms, 0, "" });
    CHECK(header(anonymous, "Tenant") == "(none)");
    CHECK(header(anonymous, "Authorization") == "(none)");
    CHECK(header(anonymous, "Model-Id") == "lace");
    const http_request unchanged = encodeReplicaRequest(call, { "i-1", 420ms, 0 });
    CHECK(header(unchanged, "Tenant") == "forged");
    CHECK(header(unchanged, "Authorization") == "Bearer key-1");
    const http_request passedOn = encodePeerRequest(call, {});
    CHECK(keyOf(passedOn) == "key-1");
}

TEST_CASE("The key of a request is read from its credentials")
{
    for (const char* const credentials : { "Bearer key-1", "bearer key-1" })
        CHECK(keyOf({ "GET", "/", { { "Authorization", credentials } }, {} }) == "key-1");
    for (const char* const credentials : { "", "key-1", "Basic key-1", "Bearerkey-1", "Bearer" })
        CHECK(keyOf({ "GET", "/", { { "Authorization", credentials } }, {} }).empty());
    CHECK(keyOf({ "GET", "/", {}, {} }).empty());
}

TEST_CASE("Requests of one organisation have the same digest whatever their keys")
{
    const http_request first { "POST", "/shop/7", { { "Host", "h" }, { "Authorization", "Bearer key-1" } }, "body" };
    http_request second = first;
    second.headers[1].value = "Bearer key-2";
    CHECK(digestOf(first, "guild") == digestOf(second, "guild"));
    CHECK_FALSE(digestOf(first, "guild") == digestOf(second, "weavers"));
    CHECK_FALSE(digestOf(first) == digestOf(second));
}

// Headers that frame a message came from the item as well as from the connection.
TEST_CASE("An item cannot replace the headers that each request gets, nor those that frame it")
{
    batch_submission batch;
    batch.host = "lace.example";
    batch_item item;
    item.id = "i-1";
    item.path = "/lots/1";
    for (const char* const name : { "Transfer-Encoding", "content-length", "Connection", "host", "Request-Id", "Expect-Instance", "Last-Event-Id", "Token-Usage" })
        item.headers.push_back({ name, "odd" });
    const http_request request = encodeItemRequest(batch, item, contentsOf(item), { "r1", std::nullopt, 0 });
    const std::vector<std::string> names { "Host", "Request-Id", "Token-Usage", "Expect-Instance" };
    REQUIRE(request.headers.size() == names.size());
    for (std::size_t index = 0; index < names.size(); ++index)
        CHECK(request.headers[index].name == names[index]);
    CHECK(headerValue(request.headers, "Host") == "lace.example");
}

TEST_CASE("A reward call has its own request id, a deadline and the id of the expected replica")
{
    const reward_call call { "s-1", "rewards.example", "/score/1", "body" };
    const http_request sent = encodeRewardRequest(call, call.body, { "i-1", std::chrono::milliseconds(900), 0 });
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/score/1");
    CHECK(sent.body == "body");
    CHECK(header(sent, "Host") == "rewards.example");
    CHECK(header(sent, "Request-Id") == "s-1");
    CHECK(header(sent, "Deadline-Ms") == "900");
    CHECK(header(sent, "Expect-Instance") == "i-1");
}

TEST_CASE("The head of an answer tells whether the replica signed it and whether the request ran")
{
    for (const answer_case& row : answerCases) {
        DYNAMIC_SECTION(row.name)
        {
            const replica_answer answer = decodeReplicaAnswer(row.head);
            CHECK(answer.isStamped == row.isStamped);
            CHECK(answer.isNotRun == row.isNotRun);
            CHECK(answer.isOtherReplica == row.isOtherReplica);
        }
    }
    CHECK(decodeReplicaAnswer({ 200, { { "Weight-Versions", "7" } }, 0 }).weightVersion == 7U);
    CHECK_FALSE(decodeReplicaAnswer({ 200, { { "Weight-Versions", "new" } }, 0 }).weightVersion);
}

namespace {

struct time_case {
    const char* value;
    duration time;
};

const time_case timeCases[] = {
    { "0", 0ms },
    { "800", 800ms },
    { "-5", -5ms },
    { "9223372036854775807", longestCallTime },
    { "-9223372036854775808", -longestCallTime },
};

}

// The conversion overflowed, so a caller that allowed the longest time was refused for having none.
TEST_CASE("A caller that allowed the longest time had none left")
{
    for (const time_case& row : timeCases) {
        INFO(row.value);
        const caller_request decoded = decodeCallerRequest({ "POST", "/shop/7", { { "Deadline-Ms", row.value }, { "Wait-Ms", row.value } }, {} });
        CHECK(decoded.timeRemaining == row.time);
        CHECK(decoded.wait == row.time);
    }
}

TEST_CASE("Calls of the batch interface are recognised by method and path")
{
    for (const call_case& row : callCases) {
        DYNAMIC_SECTION(row.method << ' ' << row.target) { CHECK(decodeBatchCall({ row.method, row.target, {}, {} }).index() == row.kind); }
    }
}

TEST_CASE("A report contains the number of accepted orders and the weights; an invalid one is rejected")
{
    const std::optional<replica_report> report = decodeReport(R"({"busy":false,"seq_no":2,"models":[{"name":"lace","version":5}]})");
    REQUIRE(report);
    CHECK(report->ordersAccepted == 2);
    CHECK(report->weights.at("lace") == 5);
    for (const char* malformed : { "", "[]", R"({"busy":1,"seq_no":2,"models":[]})", R"({"busy":true})", R"({"busy":false,"seq_no":-1,"models":[]})", R"({"busy":false,"seq_no":1e300,"models":[]})",
             R"({"busy":false,"seq_no":2,"models":[{"name":"lace","version":1.5}]})" })
        CHECK_FALSE(decodeReport(malformed));
}

TEST_CASE("The digest of a request tells who asks for what, whatever the id and the deadline")
{
    struct row {
        const char* name;
        http_request request;
        bool isSame;
    };
    const http_request first { "POST", "/shop/1", { { "Host", "lace.example" }, { "Request-Id", "a" }, { "Deadline-Ms", "800" } }, "order" };
    const row rows[] = {
        { "another id and deadline", { "POST", "/shop/1", { { "Deadline-Ms", "80" }, { "Request-Id", "b" }, { "host", "lace.example" } }, "order" }, true },
        { "another method", { "PUT", "/shop/1", { { "Host", "lace.example" } }, "order" }, false },
        { "another path", { "POST", "/shop/2", { { "Host", "lace.example" } }, "order" }, false },
        { "another body", { "POST", "/shop/1", { { "Host", "lace.example" } }, "orders" }, false },
        { "another host", { "POST", "/shop/1", { { "Host", "bobbin.example" } }, "order" }, false },
        { "another organisation", { "POST", "/shop/1", { { "Host", "lace.example" }, { "Authorization", "Bearer k2" } }, "order" }, false },
        { "parts that join to the same bytes", { "POST", "/shop/1o", { { "Host", "lace.example" } }, "rder" }, false },
    };
    for (const row& row : rows) {
        INFO(row.name);
        CHECK((platform::digestOf(row.request) == platform::digestOf(first)) == row.isSame);
    }
}
