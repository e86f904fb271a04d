#include <commandline/loaddriver.h>

#include <net/httpserver.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <thread>

using namespace ragwortreach;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds arrivalPeriod { 100 };
constexpr std::chrono::milliseconds generousTimeout { 60000 };

json sample(std::uint32_t slot, const json& weights)
{
    return { { "slot", slot }, { "group", 0 }, { "index", slot }, { "attempt", 0 }, { "token_ids", { 1, 2 } }, { "text", "x" }, { "reward", 0.5 },
        { "spans", json::array({ { { "begin", 0 }, { "end", 2 }, { "weights", weights } } }) } };
}

/// Stand-in for a daemon and a weight store in a thread of its own. Some of its answers are wrong, in a fixed order.
class fake_daemon {
public:
    fake_daemon()
        : m_server(
            m_context, {}, [this](const http_exchange& exchange) { handle(exchange); }, [](std::error_code) { return http_response(); })
    {
        m_isListening = !m_server.listen({ "127.0.0.1", 0 });
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~fake_daemon()
    {
        stop();
    }

    /// Ends the thread. The recorded requests may be read only after that.
    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    endpoint address() const { return { "127.0.0.1", m_server.port() }; }
    bool isListening() const { return m_isListening; }

    std::vector<json> fetches;
    std::vector<json> versions;
    std::uint64_t serviceCalls = 0;
    std::uint64_t completions = 0;

private:
    void handle(const http_exchange& exchange)
    {
        const json body = json::parse(exchange.request().body.view(), nullptr, false);
        http_exchange(exchange).respond(answer(exchange.request().target, body));
    }

    http_response answer(const std::string& target, const json& body)
    {
        if (target.starts_with("/v1/services/"))
            return service(target);
        if (target == "/v1/completions")
            return { 200, {}, ++completions % 2 == 0 ? "data: {}\n\n" : "data: {}\n\ndata: [DONE]\n\n" };
        if (target == "/v1/batches")
            return m_opened++ == 0 ? http_response { 503, {}, R"({"code":204})" } : http_response { 201, {}, "{}" };
        if (target.starts_with("/v1/batches/"))
            return { 200, {}, fetch(body).dump() };
        return { 200, {}, publish(body).dump() };
    }

    http_response service(const std::string& target)
    {
        switch (++serviceCalls) {
        case 1:
            return { 503, {}, R"({"code":201,"title":"QueueFull"})" };
        case 2:
            return { 200, {}, R"({"path":"of another request"})" };
        default:
            return { 200, {}, json { { "path", target } }.dump() };
        }
    }

    json fetch(const json& body)
    {
        fetches.push_back(body);
        const json held = json::array({ { { "base", 1 }, { "adapter", 7 } } });
        json samples = json::array();
        if (body["held"] == json::parse("[[0,2]]"))
            return { { "samples", samples }, { "complete", true } };
        if (body["held"].empty())
            samples = { sample(2, held), sample(0, json::array({ { { "base", 1 }, { "adapter", 5 } }, { { "base", 1 }, { "adapter", 6 } } })) };
        else
            samples = { sample(0, held), sample(1, json::array()) };
        return { { "samples", samples }, { "complete", false } };
    }

    json publish(const json& body)
    {
        if (body.is_object())
            versions.push_back(body);
        return { { "versions", { { { "base", 1 }, { "adapter", 6 } }, { { "base", 1 }, { "adapter", 7 } } } } };
    }

    boost::asio::io_context m_context;
    http_server m_server;
    std::thread m_thread;
    bool m_isListening = false;
    int m_opened = 0;
};

load_plan makePlan(const fake_daemon& daemon)
{
    load_plan plan;
    plan.callerEndpoints = { daemon.address() };
    plan.weightStore = daemon.address();
    plan.arrivalPeriod = arrivalPeriod;
    plan.grace = generousTimeout;
    plan.runId = "run";
    return plan;
}

customer_plan makeCustomer(entry_kind kind)
{
    customer_plan customer;
    customer.entry = "shop";
    customer.kind = kind;
    customer.requestsPerSecond = 300;
    customer.timeout = generousTimeout;
    return customer;
}

}

TEST_CASE("Customers count complete, wrong and refused answers")
{
    fake_daemon daemon;
    REQUIRE(daemon.isListening());
    load_plan plan = makePlan(daemon);
    plan.customers = { makeCustomer(entry_kind::Service) };
    const customer_report report = load_driver(plan).run().customers.at(0);
    daemon.stop();
    CHECK(report.arrived > 10);
    CHECK(daemon.serviceCalls == report.arrived);
    CHECK(report.refusals == std::map<int, std::uint64_t> { { 201, 1 } });
    CHECK(report.wrongAnswers == 1);
    CHECK(report.failed == 0);
    CHECK(report.completeInTime == report.arrived - 2);
    CHECK(report.latencies.size() == report.completeInTime);
}

TEST_CASE("A streamed answer without its last chunk counts as failed")
{
    fake_daemon daemon;
    load_plan plan = makePlan(daemon);
    plan.customers = { makeCustomer(entry_kind::Model) };
    const customer_report report = load_driver(plan).run().customers.at(0);
    CHECK(report.failed == report.arrived / 2);
    CHECK(report.completeInTime == report.arrived - report.arrived / 2);
}

TEST_CASE("A trainer reports the slots it holds, counts duplicate and unlabelled samples and publishes versions")
{
    fake_daemon daemon;
    load_plan plan = makePlan(daemon);
    trainer_plan trainer { "rollouts", "t1", "pitsinurk", "pattern-llm" };
    trainer.batches = 2;
    trainer.groups = 1;
    trainer.samplesPerGroup = 3;
    trainer.trainingTime = std::chrono::milliseconds(1);
    plan.trainers = { trainer };
    const trainer_report report = load_driver(plan).run().trainers.at(0);
    daemon.stop();
    CHECK(report.completed == 2);
    CHECK(report.samples == 6);
    CHECK(report.duplicates == 2);
    CHECK(report.unlabelled == 2);
    CHECK(report.failures == std::map<int, std::uint64_t> { { 204, 1 } });
    CHECK(report.staleness == std::vector<double> { 0, 2, 1, 3 });
    CHECK(daemon.versions == std::vector<json> { { { "base", 1 }, { "adapter", 8 } }, { { "base", 1 }, { "adapter", 9 } } });
    REQUIRE(daemon.fetches.size() == 6);
    CHECK(daemon.fetches[1]["held"] == json::parse("[[0,0],[2,2]]"));
    CHECK(daemon.fetches[1]["fetch"] == 2);
    CHECK(daemon.fetches[2]["held"] == json::parse("[[0,2]]"));
    CHECK(daemon.fetches[3]["version"] == json { { "base", 1 }, { "adapter", 8 } });
}

TEST_CASE("The seed determines the arrivals")
{
    std::vector<std::uint64_t> arrived;
    for (const std::uint64_t seed : { 5u, 5u, 6u }) {
        fake_daemon daemon;
        load_plan plan = makePlan(daemon);
        plan.seed = seed;
        plan.customers = { makeCustomer(entry_kind::Service) };
        arrived.push_back(load_driver(plan).run().customers.at(0).arrived);
    }
    CHECK(arrived[0] == arrived[1]);
    CHECK(arrived[0] != arrived[2]);
}
