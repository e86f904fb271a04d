#include "arbitrarybelow.h"

#include <core/claimtable.h>
#include <core/keyedcall.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <list>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace ragwortreach;

namespace {

constexpr std::size_t daemonCount = 3;

struct daemon_state {
    std::unique_ptr<claim_table> table = std::make_unique<claim_table>();
    std::list<keyed_call> calls;
};

/// Append or upstream call in flight. Its sender may have restarted or may already count the reply as lost.
struct message {
    std::string claimId;
    key_claim claim;
    std::string recordId;
    std::string data;
    bool isUpstreamCall = false;
    bool isReplyLost = false;
};

/// Simulates time, daemons with one log, and an upstream that counts the executions of each key.
class keyed_call_simulation {
public:
    explicit keyed_call_simulation(log_outage logOutage)
        : m_logOutage(logOutage)
    {
    }

    void setLogDown(bool isLogDown) { m_isLogDown = isLogDown; }
    void advanceTime(duration elapsed) { m_now += elapsed; }

    void call(std::size_t daemon, const std::string& key, const std::string& bodyHash)
    {
        const std::string id = "c" + std::to_string(m_nextId++);
        const keyed_call_settings settings { id, { "bobbin-shop", key, bodyHash, "entry", daemon }, m_logOutage, m_now + std::chrono::seconds(2) };
        daemon_state& state = m_daemons[daemon];
        state.calls.emplace_back(*state.table, settings);
        handle(state.calls.back(), keyed_call_events::started { m_isLogDown && arbitraryBelow(2) == 0 });
    }

    void restart(std::size_t daemon)
    {
        m_daemons[daemon].calls.clear();
        m_daemons[daemon].table = std::make_unique<claim_table>();
    }

    void read(std::size_t daemon, std::size_t count)
    {
        claim_table& table = *m_daemons[daemon].table;
        while (!m_isLogDown && count-- > 0 && table.position() < m_log.size())
            table.apply(m_log[table.position()]);
        tick(daemon);
    }

    void tick(std::size_t daemon)
    {
        for (keyed_call& call : m_daemons[daemon].calls)
            handle(call, keyed_call_events::tick {});
    }

    /// Delivers one message. With faults it may instead report the reply as lost and keep the message in flight.
    void deliverMessage(bool withFaults)
    {
        if (m_messages.empty())
            return;
        const std::vector<message>::iterator it = m_messages.begin() + arbitraryBelow(std::ssize(m_messages));
        const int outcome = withFaults ? arbitraryBelow(4) : 3;
        if (outcome == 0) {
            const message lost = *it;
            it->isReplyLost = true;
            return replyUnknown(lost);
        }
        const message delivered = *it;
        m_messages.erase(it);
        if (delivered.isUpstreamCall)
            return run(delivered, outcome);
        append(delivered, outcome);
    }

    bool hasNoMessages() const { return m_messages.empty(); }
    const std::map<std::string, int>& executions() const { return m_executions; }
    int answerCount(result_code code) const { return m_answers.contains(code) ? m_answers.at(code) : 0; }

    void check() const
    {
        for (const std::pair<const std::string, int>& execution : m_executions)
            RC_ASSERT(execution.second <= 1);
        checkNotRun();
    }

    /// Checks that calls whose caller was told that they did not run never ran.
    void checkNotRun() const
    {
        for (const std::string& claimId : m_notRun)
            RC_ASSERT(!m_ranClaims.contains(claimId));
    }

private:
    void handle(keyed_call& call, const keyed_call_event& event)
    {
        const keyed_call_settings settings = call.settings();
        for (const keyed_call_effect& effect : call.handle(event, m_now)) {
            if (const keyed_call_effects::append_record* append = std::get_if<keyed_call_effects::append_record>(&effect))
                m_messages.push_back({ settings.claimId, settings.claim, append->recordId, append->data });
            if (std::holds_alternative<keyed_call_effects::run_upstream>(effect))
                m_messages.push_back({ settings.claimId, settings.claim, {}, {}, true });
            if (const keyed_call_effects::answer_caller* answer = std::get_if<keyed_call_effects::answer_caller>(&effect))
                recordAnswer(settings, *answer);
        }
    }

    void recordAnswer(const keyed_call_settings& settings, const keyed_call_effects::answer_caller& answer)
    {
        ++m_answers[answer.code];
        if (resultCodeInfo(answer.code).run == run_state::No)
            m_notRun.insert(settings.claimId);
        if (answer.code == result_code::Ok)
            RC_ASSERT(answer.answer.body == settings.claim.key + settings.claim.bodyHash);
    }

    void reply(const message& to, const keyed_call_event& event)
    {
        for (keyed_call& call : m_daemons[to.claim.incarnation].calls) {
            if (call.settings().claimId == to.claimId && !to.isReplyLost)
                handle(call, event);
        }
    }

    void replyUnknown(const message& lost)
    {
        if (lost.isUpstreamCall)
            return reply(lost, keyed_call_events::upstream_unknown { result_code::UpstreamTimeout });
        reply(lost, keyed_call_events::append_finished { lost.recordId, append_outcome::Unknown });
    }

    void append(const message& request, int outcome)
    {
        if (m_isLogDown)
            return reply(request, keyed_call_events::append_finished { request.recordId, outcome == 1 ? append_outcome::Unknown : append_outcome::Failed });
        m_log.push_back({ m_log.size(), request.recordId, request.data });
        reply(request, keyed_call_events::append_finished { request.recordId, outcome == 1 ? append_outcome::Unknown : append_outcome::Appended });
    }

    void run(const message& request, int outcome)
    {
        if (outcome == 2)
            return reply(request, keyed_call_events::upstream_not_run { result_code::UpstreamUnreachable });
        ++m_executions[request.claim.key];
        m_ranClaims.insert(request.claimId);
        if (outcome == 1)
            return replyUnknown(request);
        reply(request, keyed_call_events::upstream_answered { { 200, "text/plain", request.claim.key + request.claim.bodyHash, true } });
    }

    log_outage m_logOutage;
    std::vector<daemon_state> m_daemons { daemonCount };
    std::vector<log_record> m_log;
    std::vector<message> m_messages;
    std::map<std::string, int> m_executions;
    std::set<std::string> m_ranClaims;
    std::set<std::string> m_notRun;
    std::map<result_code, int> m_answers;
    int m_nextId = 0;
    bool m_isLogDown = false;
    instant m_now;
};

/// Performs one arbitrary action.
void step(keyed_call_simulation& simulation)
{
    const std::size_t daemon = arbitraryBelow(daemonCount);
    const int kind = arbitraryBelow(24);
    if (kind == 0)
        return simulation.setLogDown(arbitraryBelow(2) == 0);
    if (kind == 1)
        return simulation.restart(daemon);
    if (kind <= 4)
        return simulation.call(daemon, arbitraryBelow(2) == 0 ? "a" : "b", arbitraryBelow(5) == 0 ? "other" : "same");
    if (kind <= 7)
        return simulation.advanceTime(std::chrono::milliseconds(arbitraryBelow(600)));
    if (kind <= 13)
        return simulation.read(daemon, arbitraryBelow<std::size_t>(6));
    simulation.deliverMessage(true);
}

/// Sends 10 keyed calls, one after the other, while the log is down.
keyed_call_simulation runOutage(log_outage logOutage)
{
    keyed_call_simulation simulation(logOutage);
    simulation.setLogDown(true);
    for (int i = 0; i < 10; ++i) {
        simulation.call(0, "k" + std::to_string(i), "same");
        for (int round = 0; round < 40; ++round) {
            for (int message = 0; message < 20; ++message)
                simulation.deliverMessage(false);
            simulation.advanceTime(std::chrono::milliseconds(50));
            simulation.tick(0);
        }
    }
    return simulation;
}

}

TEST_CASE("A key runs at most once, and a call that was refused as not run did not run")
{
    REQUIRE(rc::check([] {
        keyed_call_simulation simulation(log_outage::Refuse);
        for (int i = 0; i < 300; ++i) {
            step(simulation);
            simulation.check();
        }
    }));
}

TEST_CASE("With RunOnce a call that was refused as not run did not run")
{
    REQUIRE(rc::check([] {
        keyed_call_simulation simulation(log_outage::RunOnce);
        for (int i = 0; i < 300; ++i) {
            step(simulation);
            simulation.checkNotRun();
        }
    }));
}

TEST_CASE("Without faults a keyed call runs and its repetition gets the recorded answer")
{
    REQUIRE(rc::check([] {
        keyed_call_simulation simulation(log_outage::Refuse);
        for (std::size_t daemon : { 0, 1 }) {
            simulation.call(daemon, "a", "same");
            while (!simulation.hasNoMessages()) {
                simulation.deliverMessage(false);
                for (std::size_t reader = 0; reader < daemonCount; ++reader)
                    simulation.read(reader, 10);
            }
        }
        RC_ASSERT(simulation.executions().at("a") == 1);
        RC_ASSERT(simulation.answerCount(result_code::Ok) == 2);
    }));
}

TEST_CASE("While the log is down, Refuse runs no call and RunOnce runs each call once")
{
    REQUIRE(rc::check([] {
        const keyed_call_simulation refusing = runOutage(log_outage::Refuse);
        RC_ASSERT(refusing.executions().empty());
        RC_ASSERT(refusing.answerCount(result_code::ClaimUnavailable) == 10);
        const keyed_call_simulation running = runOutage(log_outage::RunOnce);
        RC_ASSERT(running.executions().size() == 10U);
        RC_ASSERT(running.answerCount(result_code::Ok) == 10);
    }));
}
