#include "admissionbench.h"

#include "enginemodel.h"

#include <core/adaptivelimit.h>
#include <core/admissionqueue.h>
#include <core/capacityguard.h>
#include <core/replicarouter.h>
#include <core/retrybudget.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach::Bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t replicaCount = 12;
    constexpr std::size_t daemonCount = 3;
    constexpr duration stepTime = 10ms;
    constexpr duration warmUpTime = 60s;
    constexpr duration phaseTime = 60s;
    constexpr duration coolDownTime = 10s;
    constexpr duration listLag = 2s;
    constexpr duration reportPeriod = 1s;
    constexpr duration callTimeout = 5s;
    constexpr std::uint32_t customerTokens = 40;
    constexpr std::uint32_t rolloutTokens = 160;
    constexpr std::size_t rolloutsPerDaemon = 24;
    constexpr std::size_t baselineLimit = 32;
    constexpr std::uint32_t maxBaselineRetries = 3;

    /// A customer call or a rollout, from its arrival to its end.
    struct call_state {
        std::size_t daemon = 0;
        bool isCustomer = false;
        bool isSent = false;
        std::size_t replica = 0;
        std::uint32_t tokensLeft = 0;
        std::uint32_t retries = 0;
        /// Replicas that failed this call.
        std::vector<std::string> tried;
        instant arrivedAt;
        instant sentAt;
    };

    /// Admission and routing state of one daemon.
    struct daemon_state {
        explicit daemon_state(std::size_t number, std::uint64_t seed)
            : router("entry-" + std::to_string(number), seed, replicaCount)
        {
        }

        replica_router router;
        admission_queue queue { { { 400, 400 }, 8 } };
        adaptive_limit limit { {} };
        retry_budget budget { {} };
        capacity_guard guard;
        /// Queue of the baseline policies.
        std::deque<std::uint64_t> fifo;
        std::size_t sent = 0;
        /// Rollouts that are running at a replica, and those that wait to be started or resumed.
        std::vector<std::uint64_t> openRollouts;
        std::vector<std::uint64_t> suspendedRollouts;
    };

    std::string replicaName(std::size_t replica)
    {
        return "llm-" + std::to_string(replica);
    }

    /// Simulation of the daemons and replicas under one policy.
    class admission_run {
    public:
        admission_run(admission_policy policy, double customersPerSecond, std::uint64_t seed)
            : m_policy(policy)
            , m_customersPerSecond(customersPerSecond)
            , m_random(seed)
            , m_engines(replicaCount, engine_model({}))
        {
            for (std::size_t number = 0; number < daemonCount; ++number) {
                m_daemons.emplace_back(number, seed);
                for (std::size_t rollout = 0; rollout < rolloutsPerDaemon; ++rollout)
                    addRollout(number);
            }
            setListedReplicas(replicaCount);
        }

        admission_result run()
        {
            const instant end = m_start + warmUpTime + 3 * phaseTime + coolDownTime;
            while (m_now < end) {
                m_now += stepTime;
                changeCapacity();
                addCustomerCall();
                for (std::size_t number = 0; number < daemonCount; ++number)
                    isBaseline() ? sendFifo(number) : planRollouts(number);
                abandonExpiredCalls();
                finish();
                reportLoads();
            }
            m_result.completeInTime = static_cast<double>(m_completeInTime) / static_cast<double>(m_result.customers);
            m_result.completeInTimeWhileShort = static_cast<double>(m_completeInTimeWhileShort) / static_cast<double>(m_customersWhileShort);
            m_result.refusedWhileShort = static_cast<double>(m_refusedWhileShort) / static_cast<double>(m_customersWhileShort);
            return m_result;
        }

    private:
        bool isBaseline() const { return m_policy == admission_policy::FifoRoundRobin || m_policy == admission_policy::FifoRandom; }
        bool isAfterWarmUp(instant arrivedAt) const { return arrivedAt >= m_start + warmUpTime; }
        /// True for a call that arrived while half of the replicas were down.
        bool arrivedWhileShort(instant arrivedAt) const
        {
            return arrivedAt >= m_start + warmUpTime + phaseTime && arrivedAt < m_start + warmUpTime + 2 * phaseTime;
        }

        /// Gives all daemons a replica list with the first \a live replicas.
        void setListedReplicas(std::size_t live)
        {
            m_listed = live;
            std::vector<replica_listing> listed;
            for (std::size_t replica = 0; replica < live; ++replica)
                listed.push_back({ replicaName(replica), replica_state::Live });
            for (daemon_state& daemon : m_daemons) {
                daemon.router.setReplicas(listed);
                for (std::size_t replica = 0; replica < live; ++replica)
                    daemon.router.setSuspect(replicaName(replica), false);
                if (live < replicaCount)
                    daemon.limit.removeReplicas(static_cast<std::uint32_t>(replicaCount - live), replicaCount);
            }
        }

        /// Stops half of the replicas and starts them again. The daemons learn of it listLag later.
        void changeCapacity()
        {
            const instant shortAt = m_start + warmUpTime + phaseTime;
            if (m_now == shortAt) {
                m_live = replicaCount / 2;
                for (std::size_t replica = m_live; replica < replicaCount; ++replica) {
                    for (const stopped_call& stopped : m_engines[replica].crash())
                        fail(stopped.call.id, stopped.tokensDone);
                }
            }
            if (m_now == shortAt + phaseTime)
                m_live = replicaCount;
            if (m_now == shortAt + listLag || m_now == shortAt + phaseTime + listLag)
                setListedReplicas(m_live);
        }

        void addCustomerCall()
        {
            const double uniform = std::uniform_real_distribution<double>(0, 1)(m_random);
            if (m_now > m_start + warmUpTime + 3 * phaseTime || uniform >= m_customersPerSecond * std::chrono::duration<double>(stepTime).count())
                return;
            const std::size_t number = m_random() % daemonCount;
            const std::uint64_t id = ++m_lastCall;
            m_calls[id] = { number, true, false, 0, customerTokens, 0, {}, m_now, {} };
            m_customers.push_back(id);
            m_result.customers += isAfterWarmUp(m_now) ? 1 : 0;
            m_customersWhileShort += arrivedWhileShort(m_now) ? 1 : 0;
            requestAdmission(number, id);
        }

        void addRollout(std::size_t number)
        {
            const std::uint64_t id = ++m_lastCall;
            m_calls[id] = { number, false, false, 0, rolloutTokens, 0, {}, m_now, {} };
            if (isBaseline())
                m_daemons[number].fifo.push_back(id);
            else
                m_daemons[number].suspendedRollouts.push_back(id);
        }

        /// Requests admission of a customer call, at its arrival and for each retry.
        void requestAdmission(std::size_t number, std::uint64_t id)
        {
            if (isBaseline())
                m_daemons[number].fifo.push_back(id);
            else
                handleEvent(number, admission_requested { id, entry_class::Customer, m_calls[id].arrivedAt + callTimeout });
        }

        /// Passes \a event to the admission queue of a daemon and sends or refuses calls accordingly.
        void handleEvent(std::size_t number, const admission_event& event)
        {
            for (const admission_effect& effect : m_daemons[number].queue.handle(event, m_now)) {
                if (std::holds_alternative<admission_granted>(effect))
                    m_granted.push_back(std::get<admission_granted>(effect).ticket);
                else
                    refuse(std::get<admission_refused>(effect).ticket);
            }
            while (!m_granted.empty()) {
                const std::uint64_t id = m_granted.back();
                m_granted.pop_back();
                send(id);
            }
        }

        void refuse(std::uint64_t id)
        {
            m_refusedWhileShort += arrivedWhileShort(m_calls[id].arrivedAt) ? 1 : 0;
            m_calls.erase(id);
        }

        void send(std::uint64_t id)
        {
            call_state& call = m_calls[id];
            daemon_state& daemon = m_daemons[call.daemon];
            std::optional<std::size_t> replica;
            if (m_policy == admission_policy::FifoRoundRobin)
                replica = m_next++ % m_listed;
            else if (m_policy == admission_policy::FifoRandom)
                replica = m_random() % m_listed;
            else
                replica = pick(daemon, call);
            if (!replica)
                return fail(id, 0);
            call.replica = *replica;
            call.isSent = true;
            call.sentAt = m_now;
            daemon.router.started(replicaName(*replica));
            ++daemon.sent;
            if (*replica >= m_live)
                return fail(id, 0);
            m_engines[*replica].submit({ id, id, call.tokensLeft });
        }

        static std::optional<std::size_t> pick(daemon_state& daemon, const call_state& call)
        {
            route_request request;
            request.excluded = call.tried;
            const std::optional<std::string> vm = daemon.router.pick(request);
            return vm ? std::optional<std::size_t>(std::stoul(vm->substr(4))) : std::nullopt;
        }

        void endStream(call_state& call)
        {
            if (!call.isSent)
                return;
            call.isSent = false;
            m_daemons[call.daemon].router.finished(replicaName(call.replica));
            --m_daemons[call.daemon].sent;
        }

        /// Ends an attempt whose replica failed, or for which there was no replica: retries a customer call within
        /// the retry budget, suspends a rollout.
        void fail(std::uint64_t id, std::uint32_t tokensDone)
        {
            call_state& call = m_calls[id];
            const std::size_t number = call.daemon;
            daemon_state& daemon = m_daemons[number];
            if (call.isSent)
                daemon.router.setSuspect(replicaName(call.replica), true);
            call.tried.push_back(replicaName(call.replica));
            endStream(call);
            if (isBaseline())
                return failBaseline(id, tokensDone);
            if (!call.isCustomer) {
                call.tokensLeft -= std::min(tokensDone, call.tokensLeft - 1);
                std::erase(daemon.openRollouts, id);
                daemon.suspendedRollouts.push_back(id);
                call.tried.clear();
                return;
            }
            daemon.limit.addFailure(m_now);
            handleEvent(number, admission_released { id, false });
            if (daemon.budget.takeRetry())
                requestAdmission(number, id);
            else
                m_calls.erase(id);
        }

        /// Baseline: queues the call again, a customer call up to maxBaselineRetries times.
        void failBaseline(std::uint64_t id, std::uint32_t tokensDone)
        {
            call_state& call = m_calls[id];
            const std::size_t number = call.daemon;
            if (!call.isCustomer)
                m_result.rolloutTokensLost += tokensDone;
            if (!call.isCustomer || ++call.retries <= maxBaselineRetries)
                m_daemons[number].fifo.push_back(id);
            else
                m_calls.erase(id);
        }

        void sendFifo(std::size_t number)
        {
            daemon_state& daemon = m_daemons[number];
            std::size_t tries = daemon.fifo.size();
            while (daemon.sent < baselineLimit && tries-- > 0) {
                const std::uint64_t id = daemon.fifo.front();
                daemon.fifo.pop_front();
                send(id);
            }
        }

        /// Starts or suspends rollouts up to the number that the capacity guard allows. The rest of the concurrency
        /// limit, but at least a quarter of it, goes to customer calls.
        void planRollouts(std::size_t number)
        {
            daemon_state& daemon = m_daemons[number];
            const capacity_sample sample { daemon.limit.limit(), daemon.queue.inFlight(entry_class::Customer),
                static_cast<std::uint32_t>(daemon.queue.queued(entry_class::Customer)),
                static_cast<std::uint32_t>(daemon.openRollouts.size()), daemon.queue.completionRate(m_now) };
            const bool isGuarded = m_policy == admission_policy::AllMechanisms;
            if (m_now.time_since_epoch() % 50ms == 0ms)
                m_allowed[number] = isGuarded ? daemon.guard.update(sample, m_now).rollouts : rolloutsPerDaemon;
            while (daemon.openRollouts.size() > m_allowed[number])
                suspend(daemon);
            std::size_t tries = daemon.suspendedRollouts.size();
            while (daemon.openRollouts.size() < m_allowed[number] && tries-- > 0) {
                const std::uint64_t id = daemon.suspendedRollouts.front();
                daemon.suspendedRollouts.erase(daemon.suspendedRollouts.begin());
                daemon.openRollouts.push_back(id);
                send(id);
            }
            const std::uint32_t limit = daemon.limit.limit();
            const std::uint32_t rollouts = static_cast<std::uint32_t>(daemon.openRollouts.size());
            handleEvent(number, admission_limit_changed { std::max(limit / 4, limit > rollouts ? limit - rollouts : 0) });
        }

        /// Cancels the newest running rollout; the tokens that it has generated count when it resumes.
        void suspend(daemon_state& daemon)
        {
            const std::uint64_t id = daemon.openRollouts.back();
            daemon.openRollouts.pop_back();
            daemon.suspendedRollouts.push_back(id);
            call_state& call = m_calls[id];
            const std::optional<stopped_call> stopped = m_engines[call.replica].cancel(id);
            endStream(call);
            if (stopped)
                call.tokensLeft -= std::min(stopped->tokensDone, call.tokensLeft - 1);
        }

        /// Callers disconnect at their deadline. The policies with an admission queue then cancel the call at the
        /// engine, the baseline policies leave it running.
        void abandonExpiredCalls()
        {
            while (!m_customers.empty()) {
                const std::uint64_t id = m_customers.front();
                const auto it = m_calls.find(id);
                if (it != m_calls.end() && it->second.arrivedAt + callTimeout > m_now)
                    return;
                m_customers.pop_front();
                if (it == m_calls.end() || isBaseline())
                    continue;
                const std::size_t number = it->second.daemon;
                if (it->second.isSent)
                    m_engines[it->second.replica].cancel(id);
                endStream(it->second);
                m_calls.erase(it);
                handleEvent(number, admission_withdrawn { id });
                handleEvent(number, admission_released { id, false });
            }
        }

        void finish()
        {
            for (engine_model& engine : m_engines) {
                for (const std::uint64_t id : engine.step(stepTime))
                    finish(id);
            }
        }

        void finish(std::uint64_t id)
        {
            call_state& call = m_calls[id];
            daemon_state& daemon = m_daemons[call.daemon];
            const std::size_t number = call.daemon;
            const call_state done = call;
            endStream(call);
            m_calls.erase(id);
            if (!done.isCustomer) {
                m_result.rollouts += isAfterWarmUp(m_now) ? 1 : 0;
                std::erase(daemon.openRollouts, id);
                addRollout(number);
                return;
            }
            const bool isInTime = m_now <= done.arrivedAt + callTimeout;
            m_completeInTime += isInTime && isAfterWarmUp(done.arrivedAt) ? 1 : 0;
            m_completeInTimeWhileShort += isInTime && arrivedWhileShort(done.arrivedAt) ? 1 : 0;
            if (isBaseline())
                return;
            daemon.limit.addAnswer(m_now - done.sentAt, static_cast<std::uint32_t>(daemon.sent));
            daemon.budget.addSuccess();
            handleEvent(number, admission_released { id, true });
        }

        /// Reports to the routers the loads that the engines had one report period ago.
        void reportLoads()
        {
            if (m_now - m_reportedAt < reportPeriod)
                return;
            m_reportedAt = m_now;
            for (daemon_state& daemon : m_daemons) {
                for (std::size_t replica = 0; replica < m_live && !m_lagged.empty(); ++replica)
                    daemon.router.reportLoad(replicaName(replica), m_lagged[replica], 0);
            }
            m_lagged.clear();
            for (const engine_model& engine : m_engines)
                m_lagged.push_back(engine.load());
        }

        admission_policy m_policy;
        double m_customersPerSecond;
        std::mt19937_64 m_random;
        std::vector<engine_model> m_engines;
        std::vector<daemon_state> m_daemons;
        std::map<std::uint64_t, call_state> m_calls;
        std::deque<std::uint64_t> m_customers;
        std::vector<std::uint64_t> m_granted;
        std::vector<std::uint32_t> m_lagged;
        std::array<std::size_t, daemonCount> m_allowed {};
        const instant m_start { 1000s };
        instant m_now = m_start;
        instant m_reportedAt {};
        std::size_t m_live = replicaCount;
        std::size_t m_listed = replicaCount;
        std::size_t m_next = 0;
        std::uint64_t m_lastCall = 0;
        std::uint64_t m_completeInTime = 0;
        std::uint64_t m_customersWhileShort = 0;
        std::uint64_t m_completeInTimeWhileShort = 0;
        std::uint64_t m_refusedWhileShort = 0;
        admission_result m_result;
    };

}

std::string_view nameOf(admission_policy policy)
{
    switch (policy) {
    case admission_policy::AllMechanisms:
        return "whole";
    case admission_policy::WithoutGuard:
        return "without guard";
    case admission_policy::FifoRoundRobin:
        return "FIFO, round robin";
    case admission_policy::FifoRandom:
        return "FIFO, random";
    }
    return "";
}

admission_result runAdmission(admission_policy policy, double customersPerSecond, std::uint64_t seed)
{
    return admission_run(policy, customersPerSecond, seed).run();
}

}
