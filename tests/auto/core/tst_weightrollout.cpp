#include "arbitrarybelow.h"

#include <core/weightrollout.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <map>

using namespace ragwortreach;

namespace {

constexpr duration period = std::chrono::milliseconds(100);

struct loading_replica {
    weight_version weights { 1, 1 };
    weight_version target;
    instant loadedAt;
    bool isLoading = false;
};

/// Replicas that carry out load orders; loads that end while the weight store is down fail.
class fake_replicas {
public:
    fake_replicas(const rollout_settings& settings, int count)
        : m_rollout(settings)
    {
        for (int i = 0; i < count; ++i)
            m_replicas["llm-" + std::to_string(i)];
        report();
        m_rollout.handle(rollout_events::holding_changed { true, 1 }, m_now);
        m_rollout.handle(rollout_events::target_version_changed { { 1, 1 } }, m_now);
    }

    void setTarget(const weight_version& version) { applyOrders(m_rollout.handle(rollout_events::target_version_changed { version }, m_now)); }
    void setDown(bool isDown) { m_isDown = isDown; }

    void advance()
    {
        m_now += period;
        for (std::pair<const std::string, loading_replica>& entry : m_replicas) {
            loading_replica& replica = entry.second;
            if (!replica.isLoading || m_now < replica.loadedAt)
                continue;
            replica.isLoading = false;
            if (!m_isDown)
                replica.weights = replica.target;
        }
        report();
    }

    int loading() const
    {
        int count = 0;
        for (const std::pair<const std::string, loading_replica>& entry : m_replicas)
            count += entry.second.isLoading ? 1 : 0;
        return count;
    }

    int orders() const { return m_orders; }
    double elapsedSeconds() const { return std::chrono::duration<double>(m_now.time_since_epoch()).count(); }
    bool isFinished() const { return m_rollout.finished() == m_replicas.size(); }
    const weight_rollout& rollout() const { return m_rollout; }

private:
    void report()
    {
        for (const std::pair<const std::string, loading_replica>& entry : m_replicas)
            applyOrders(m_rollout.handle(rollout_events::replica_reported { entry.first, entry.second.weights, entry.second.isLoading }, m_now));
    }

    void applyOrders(const std::vector<rollout_effect>& effects)
    {
        for (const rollout_effect& effect : effects) {
            const weight_load_order& order = std::get<weight_load_order>(effect);
            loading_replica& replica = m_replicas.at(order.replica);
            replica.isLoading = true;
            replica.target = order.version;
            replica.loadedAt = m_now + std::chrono::seconds(3);
            ++m_orders;
        }
    }

    weight_rollout m_rollout;
    std::map<std::string, loading_replica> m_replicas;
    int m_orders = 0;
    bool m_isDown = false;
    instant m_now;
};

std::vector<rollout_effect> report(weight_rollout& rollout, const weight_version& weights, bool isLoading, instant now)
{
    return rollout.handle(rollout_events::replica_reported { "r", weights, isLoading }, now);
}

}

TEST_CASE("Waves respect the serving share and the load rate, and all replicas reach the target version")
{
    REQUIRE(rc::check([] {
        const int count = 1 + arbitraryBelow(30);
        const rollout_settings settings { arbitraryBelow(101) / 100.0, 0.5 + arbitraryBelow(50) / 10.0, 1 };
        const int allowed = std::max(1, count - static_cast<int>(std::ceil(count * settings.servingShare)));
        const int outage = arbitraryBelow(200);
        fake_replicas replicas(settings, count);
        replicas.setTarget({ 1, 2 });
        for (int i = 0; i < 5000 && !replicas.isFinished(); ++i) {
            replicas.setDown(i >= outage && i < outage + 100);
            replicas.advance();
            RC_ASSERT(replicas.loading() <= allowed);
            RC_ASSERT(replicas.orders() <= std::max(1.0, settings.loadsPerSecond) + replicas.elapsedSeconds() * settings.loadsPerSecond + 1e-6);
        }
        RC_ASSERT(replicas.isFinished());
    }));
}

TEST_CASE("A replica whose swap failed gets no training work, and the swap is repeated after a back-off")
{
    weight_rollout rollout({ 0.5, 100.0, 1 });
    instant now;
    rollout.handle(rollout_events::target_version_changed { { 1, 1 } }, now);
    report(rollout, { 1, 1 }, false, now);
    CHECK(rollout.isEligible("r"));
    rollout.handle(rollout_events::holding_changed { true, 7 }, now);
    const std::vector<rollout_effect> orders = rollout.handle(rollout_events::target_version_changed { { 1, 2 } }, now);
    REQUIRE(orders.size() == 1);
    CHECK(std::get<weight_load_order>(orders.front()) == weight_load_order { "r", { 1, 2 }, 7 });
    CHECK_FALSE(rollout.isEligible("r"));
    CHECK(report(rollout, { 1, 1 }, true, now).empty());
    CHECK_FALSE(rollout.isServing("r"));
    CHECK(report(rollout, { 1, 0 }, false, now).empty());
    CHECK_FALSE(rollout.isEligible("r"));
    CHECK(rollout.isServing("r"));
    CHECK(rollout.failures() == 1);
    CHECK(rollout.handle(rollout_events::tick {}, now + weight_rollout::firstBackoff).size() == 1);
}

TEST_CASE("An order of an earlier holder is corrected once it is reported")
{
    weight_rollout rollout({ 0.5, 100.0, 1 });
    const instant now;
    rollout.handle(rollout_events::holding_changed { true, 9 }, now);
    rollout.handle(rollout_events::target_version_changed { { 1, 5 } }, now);
    CHECK(report(rollout, { 1, 5 }, false, now).empty());
    CHECK(report(rollout, { 1, 3 }, true, now).empty());
    CHECK(report(rollout, { 1, 3 }, false, now).size() == 1);
}

TEST_CASE("After a replica refuses an order by its fencing token no orders are sent until the lease is renewed")
{
    weight_rollout rollout({ 0.5, 100.0, 1 });
    const instant now;
    rollout.handle(rollout_events::holding_changed { true, 3 }, now);
    rollout.handle(rollout_events::target_version_changed { { 1, 2 } }, now);
    CHECK(report(rollout, { 1, 1 }, false, now).size() == 1);
    CHECK(rollout.handle(rollout_events::order_answered { "r", rollout_events::order_result::Fenced }, now).empty());
    CHECK(rollout.handle(rollout_events::tick {}, now + std::chrono::minutes(1)).empty());
    CHECK(rollout.handle(rollout_events::holding_changed { true, 5 }, now + std::chrono::minutes(1)).size() == 1);
}
