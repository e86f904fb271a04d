#include "arbitrarybelow.h"

#include <core/holderlease.h>
#include <core/weightrollout.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace ragwortreach;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr std::size_t engineCount = 4;
constexpr duration loadTime = std::chrono::seconds(5);
constexpr duration reportPeriod = std::chrono::seconds(1);

struct fake_engine {
    std::string name;
    bool ignoresFencing = false;
    weight_version weights { 1, 0 };
    std::optional<weight_version> loading;
    instant loadedAt;
    std::uint64_t fencing = 0;
};

struct fake_daemon {
    holder_identity identity;
    std::unique_ptr<holder_table> table = std::make_unique<holder_table>();
    std::unique_ptr<holder_lease> lease;
    weight_rollout rollout { rollout_settings {} };
    bool isPaused = false;
    bool isEligible = true;
};

struct order_in_flight {
    std::size_t daemon = 0;
    weight_load_order order;
};

/// Simulates the daemons of one data centre, which may be paused between the check of the lease and the write of an
/// order, and engines, some of which ignore fencing tokens.
class fake_data_centre {
public:
    fake_data_centre()
        : m_daemons(daemonCount)
        , m_engines(engineCount)
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            m_engines[i].name = "llm-" + std::to_string(i);
            m_engines[i].ignoresFencing = i % 2 == 0;
        }
        for (std::size_t i = 0; i < daemonCount; ++i)
            restart(i);
    }

    void restart(std::size_t index)
    {
        fake_daemon& daemon = m_daemons[index];
        daemon.identity = { "entry-" + std::to_string(index), 1 };
        daemon.table = std::make_unique<holder_table>();
        const std::string prefix = "instance-" + std::to_string(m_instances++) + "-";
        daemon.lease = std::make_unique<holder_lease>(*daemon.table, lease_settings { "ee-north-a", "pattern-llm", daemon.identity, prefix });
        daemon.rollout = weight_rollout(rollout_settings {});
        daemon.rollout.handle(rollout_events::target_version_changed { m_targetVersion }, m_now);
        daemon.isPaused = false;
        distributeView();
    }

    void setDown(bool isDown) { m_isDown = isDown; }
    void setPaused(std::size_t index, bool isPaused) { m_daemons[index].isPaused = isPaused; }
    void setEligible(std::size_t index, bool isEligible)
    {
        m_daemons[index].isEligible = isEligible;
        distributeView();
    }

    void publish()
    {
        ++m_targetVersion.adapter;
        for (fake_daemon& daemon : m_daemons)
            daemon.rollout.handle(rollout_events::target_version_changed { m_targetVersion }, m_now);
    }

    void advance(duration elapsed, bool mayFail)
    {
        m_now += elapsed;
        for (fake_engine& engine : m_engines)
            finishLoad(engine, mayFail);
        for (std::size_t i = 0; i < daemonCount; ++i) {
            if (!m_daemons[i].isPaused)
                runDaemon(i);
        }
    }

    void deliverOrder()
    {
        if (m_orders.empty())
            return;
        const std::vector<order_in_flight>::iterator it = m_orders.begin() + arbitraryBelow(std::ssize(m_orders));
        const order_in_flight sent = *it;
        m_orders.erase(it);
        fake_engine& engine = *std::find_if(m_engines.begin(), m_engines.end(),
            [&sent](const fake_engine& candidate) { return candidate.name == sent.order.replica; });
        const bool isFenced = !engine.ignoresFencing && sent.order.fencing < engine.fencing;
        if (!isFenced) {
            engine.fencing = std::max(engine.fencing, sent.order.fencing);
            engine.loading = sent.order.version;
            engine.loadedAt = m_now + loadTime;
        }
        const rollout_events::order_result result = isFenced ? rollout_events::order_result::Fenced : rollout_events::order_result::Accepted;
        sendOrders(sent.daemon, m_daemons[sent.daemon].rollout.handle(rollout_events::order_answered { sent.order.replica, result }, m_now));
    }

    void heal()
    {
        m_isDown = false;
        for (std::size_t i = 0; i < daemonCount; ++i) {
            setPaused(i, false);
            setEligible(i, true);
        }
        for (int second = 0; second < 400; ++second) {
            advance(reportPeriod, false);
            while (!m_orders.empty())
                deliverOrder();
        }
    }

    std::ptrdiff_t holders() const
    {
        return std::count_if(m_daemons.begin(), m_daemons.end(), [this](const fake_daemon& daemon) { return daemon.lease->maySendOrders(m_now); });
    }

    bool isConverged() const
    {
        return std::all_of(m_engines.begin(), m_engines.end(), [this](const fake_engine& engine) { return engine.weights == m_targetVersion && !engine.loading; });
    }

private:
    void distributeView()
    {
        lease_events::members_changed view;
        for (const fake_daemon& daemon : m_daemons) {
            if (daemon.isEligible)
                view.eligible.push_back(daemon.identity);
        }
        for (fake_daemon& daemon : m_daemons) {
            if (!daemon.lease)
                continue;
            view.isFirst = !view.eligible.empty() && view.eligible.front() == daemon.identity;
            handle(daemon, view);
        }
    }

    void handle(fake_daemon& daemon, const lease_event& event)
    {
        for (const lease_effect& effect : daemon.lease->handle(event, m_now)) {
            if (const lease_effects::append_record* append = std::get_if<lease_effects::append_record>(&effect))
                appendToLog(*append);
            if (const lease_effects::holding_changed* holding = std::get_if<lease_effects::holding_changed>(&effect))
                sendOrders(&daemon - m_daemons.data(), daemon.rollout.handle(rollout_events::holding_changed { holding->isHolding, holding->fencing }, m_now));
        }
    }

    void appendToLog(const lease_effects::append_record& append)
    {
        if (!m_isDown)
            m_log.push_back({ m_log.size(), append.recordId, append.data });
    }

    void finishLoad(fake_engine& engine, bool mayFail)
    {
        if (!engine.loading || m_now < engine.loadedAt)
            return;
        engine.weights = mayFail && arbitraryBelow(3) == 0 ? weight_version { 1, 0 } : *engine.loading;
        engine.loading.reset();
    }

    void runDaemon(std::size_t index)
    {
        fake_daemon& daemon = m_daemons[index];
        while (!m_isDown && daemon.table->position() < m_log.size())
            daemon.table->apply(m_log[daemon.table->position()]);
        handle(daemon, lease_events::tick {});
        for (const fake_engine& engine : m_engines)
            sendOrders(index, daemon.rollout.handle(rollout_events::replica_reported { engine.name, engine.weights, engine.loading.has_value() }, m_now));
    }

    void sendOrders(std::size_t index, const std::vector<rollout_effect>& effects)
    {
        for (const rollout_effect& effect : effects) {
            if (m_daemons[index].lease->maySendOrders(m_now))
                m_orders.push_back({ index, std::get<weight_load_order>(effect) });
        }
    }

    std::vector<fake_daemon> m_daemons;
    std::vector<fake_engine> m_engines;
    std::vector<log_record> m_log;
    std::vector<order_in_flight> m_orders;
    weight_version m_targetVersion { 1, 1 };
    int m_instances = 0;
    bool m_isDown = false;
    instant m_now;
};

void step(fake_data_centre& centre)
{
    const std::size_t daemon = arbitraryBelow(daemonCount);
    const int kind = arbitraryBelow(20);
    if (kind == 0)
        return centre.setDown(arbitraryBelow(2) == 0);
    if (kind <= 2)
        return centre.setPaused(daemon, arbitraryBelow(2) == 0);
    if (kind == 3)
        return centre.setEligible(daemon, arbitraryBelow(2) == 0);
    if (kind == 4)
        return centre.publish();
    if (kind == 5)
        return centre.restart(daemon);
    if (kind <= 8)
        return centre.deliverOrder();
    centre.advance(std::chrono::seconds(arbitraryBelow(20)), true);
}

/// Lease of one process, with the holder_table that it reads.
struct lease_fixture {
    holder_table table;
    holder_lease lease { table, { "a", "m", { "self", 1 }, "self-" } };
    instant now;

    /// Applies the records that \a effects append to the stream. Returns their number.
    std::size_t append(const std::vector<lease_effect>& effects)
    {
        std::size_t count = 0;
        for (const lease_effect& effect : effects) {
            if (const lease_effects::append_record* record = std::get_if<lease_effects::append_record>(&effect)) {
                table.apply({ table.position(), record->recordId, record->data });
                ++count;
            }
        }
        return count;
    }

    void appendOther() { table.apply({ table.position(), "other", toJson(holder_record { "a", "m", { "other", 1 } }) }); }
};

}

// A paused holder may send an order after its lease has expired, and an engine may fail to swap its weights. Neither may
// leave an engine at another version than the target.
TEST_CASE("All engines reach the target version in spite of paused holders and failed swaps")
{
    REQUIRE(rc::check([] {
        fake_data_centre centre;
        for (int i = 0; i < 150; ++i)
            step(centre);
        centre.heal();
        RC_ASSERT(centre.holders() == 1);
        RC_ASSERT(centre.isConverged());
    }));
}

TEST_CASE("A lease expires a lease duration after its record was sent, and the expiry is checked at each order")
{
    lease_fixture fixture;
    CHECK(fixture.append(fixture.lease.handle(lease_events::members_changed { true, { { "self", 1 } } }, fixture.now)) == 1);
    fixture.lease.handle(lease_events::tick {}, fixture.now + std::chrono::seconds(5));
    CHECK(fixture.lease.maySendOrders(fixture.now + std::chrono::seconds(5)));
    CHECK(fixture.lease.maySendOrders(fixture.now + holder_lease::leaseDuration - duration(1)));
    CHECK_FALSE(fixture.lease.maySendOrders(fixture.now + holder_lease::leaseDuration));
}

TEST_CASE("An eligible holder is replaced only after it has not renewed for the holder time-out")
{
    lease_fixture fixture;
    fixture.appendOther();
    const lease_events::members_changed both { true, { { "self", 1 }, { "other", 1 } } };
    CHECK(fixture.append(fixture.lease.handle(both, fixture.now)) == 0);
    CHECK(fixture.append(fixture.lease.handle(lease_events::tick {}, fixture.now + holder_lease::holderTimeout - duration(1))) == 0);
    CHECK(fixture.append(fixture.lease.handle(lease_events::tick {}, fixture.now + holder_lease::holderTimeout)) == 1);
}

TEST_CASE("A holder that is not eligible is replaced at once, and a leaving process sends no orders")
{
    lease_fixture fixture;
    fixture.appendOther();
    CHECK(fixture.append(fixture.lease.handle(lease_events::members_changed { true, { { "self", 1 } } }, fixture.now)) == 1);
    fixture.lease.handle(lease_events::tick {}, fixture.now);
    CHECK(fixture.lease.maySendOrders(fixture.now));
    CHECK(fixture.lease.fencing() == 1);
    fixture.lease.handle(lease_events::leaving {}, fixture.now);
    CHECK_FALSE(fixture.lease.maySendOrders(fixture.now));
    CHECK(fixture.append(fixture.lease.handle(lease_events::tick {}, fixture.now + holder_lease::renewPeriod)) == 0);
}
