#include "heartbeatmodel.h"
#include "trafficmeter.h"

#include <support/gossipnetwork.h>
#include <support/relaynetwork.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t dataCentres = 5;
constexpr int repetitions = 15;
constexpr duration limit = std::chrono::minutes(3);

double toSeconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double toSeconds(std::optional<duration> time)
{
    return time ? toSeconds(*time) : -1;
}

/// Network of \a size daemons whose views agree, after a minute of steady operation. \a lost: messages lost per
/// thousand.
gossip_network makeNetwork(std::size_t size, unsigned lost = 0)
{
    gossip_network network({ .size = size, .dataCentres = dataCentres, .seed = size, .lost = lost }, 5s);
    if (!network.runUntilAgreed(limit, 500ms))
        std::printf("views of %zu daemons did not converge at the start: %s\n", size, network.difference().c_str());
    network.run(60s);
    return network;
}

/// Seconds until every other daemon reports \a state of the VM of \a subject; -1 when that takes longer than the limit.
double timeUntilKnown(gossip_network& network, std::size_t subject, member_state state)
{
    const instant start = network.now();
    instant last = start;
    std::set<std::size_t> informed;
    network.observeChanges([&](std::size_t node, const member_changed& change) {
        if (change.vm == network.vm(subject) && change.state == state && node != subject && informed.insert(node).second)
            last = network.now();
    });
    while (informed.size() + 1 < network.size() && network.now() - start < limit)
        network.run(500ms);
    network.observeChanges(nullptr);
    return informed.size() + 1 < network.size() ? -1 : toSeconds(last - start);
}

/// Median and maximum of repeated measurements, in seconds; worst is -1 when one did not end in time.
struct spread {
    double median = 0;
    double worst = 0;
};

spread toSpread(std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    const double worst = times.front() < 0 ? -1 : times.back();
    return { times[times.size() / 2], worst };
}

/// Traffic and processor time without changes, compared with all-to-all heartbeats.
void benchSteady(std::size_t size)
{
    gossip_network network = makeNetwork(size);
    traffic_meter meter(network);
    const std::clock_t start = std::clock();
    constexpr duration span = 120s;
    network.run(span);
    const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const traffic steady = meter.read();
    const double cpuPerDaemon = cpu / static_cast<double>(size) / toSeconds(span);
    const heartbeat_result heartbeats = simulateHeartbeats(size, size);
    std::printf("| %zu | %.0f | %.0f | %llu | %.2f | %.4f | %.0f | %.2f |\n", size, steady.meanPerSecond, steady.busiestPerSecond,
        static_cast<unsigned long long>(steady.peakSecond), steady.messagesSentPerSecond, cpuPerDaemon * 100,
        heartbeats.bytesPerSecond, toSeconds(heartbeats.detection));
}

/// Time until all daemons know of a failure, a planned leave and a restart.
void benchChanges(std::size_t size)
{
    gossip_network network = makeNetwork(size);
    traffic_meter meter(network);
    std::vector<double> failures;
    std::vector<double> leaves;
    std::vector<double> restarts;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        const std::size_t node = static_cast<std::size_t>(repetition * 7) % size;
        network.leave(node);
        leaves.push_back(timeUntilKnown(network, node, member_state::Leaving));
        network.start(node);
        restarts.push_back(timeUntilKnown(network, node, member_state::Alive));
        network.run(5s);
        network.kill(node);
        failures.push_back(timeUntilKnown(network, node, member_state::Failed));
        network.start(node);
        network.run(10s);
    }
    const spread failure = toSpread(failures);
    const spread leaving = toSpread(leaves);
    const spread restart = toSpread(restarts);
    std::printf("| %zu | %.2f / %.2f | %.2f / %.2f | %.2f / %.2f | %llu |\n", size, failure.median, failure.worst,
        leaving.median, leaving.worst, restart.median, restart.worst, static_cast<unsigned long long>(meter.read().peakSecond));
}

/// Loss and return of a data centre, then a network partition between regions and its end.
void benchOutages(std::size_t size)
{
    gossip_network network = makeNetwork(size);
    traffic_meter meter(network);
    for (std::size_t node = 0; node < size; node += dataCentres)
        network.kill(node);
    const double lost = toSeconds(network.runUntilAgreed(limit, 250ms));
    const traffic lostTraffic = meter.read();
    for (std::size_t node = 0; node < size; node += dataCentres)
        network.start(node);
    const double back = toSeconds(network.runUntilAgreed(limit, 250ms));
    network.run(60s);
    for (std::size_t node = 0; node < size; ++node)
        network.setGroup(node, node % dataCentres < 3 ? 0 : 1);
    meter.restart();
    const double partitioned = toSeconds(network.runUntilAgreed(limit, 250ms));
    network.run(5min);
    network.heal();
    const traffic partitionedTraffic = meter.read();
    meter.restart();
    const double healed = toSeconds(network.runUntilAgreed(limit, 250ms));
    const traffic healedTraffic = meter.read();
    std::printf("| %zu | %.2f | %llu | %.2f | %.2f | %.0f | %.2f | %llu |\n", size, lost,
        static_cast<unsigned long long>(lostTraffic.peakSecond), back, partitioned, partitionedTraffic.meanPerSecond, healed,
        static_cast<unsigned long long>(healedTraffic.peakSecond));
}

/// The restarts of a day, compressed into less than 20 minutes, over a network that loses one message in a hundred.
void benchRestarts(std::size_t size)
{
    constexpr unsigned lostPerThousand = 10;
    constexpr int restarts = 72;
    constexpr int failures = 7;
    constexpr duration gap = 15s;
    gossip_network network = makeNetwork(size, lostPerThousand);
    traffic_meter meter(network);
    network.run(5min);
    const traffic quiet = meter.read();
    std::set<std::string> expected;
    std::size_t falseFailures = 0;
    network.observeChanges([&](std::size_t, const member_changed& change) {
        falseFailures += change.state == member_state::Failed && !expected.contains(change.vm) ? 1 : 0;
    });
    meter.restart();
    for (int restart = 0; restart < restarts; ++restart) {
        const std::size_t node = static_cast<std::size_t>(restart * 11) % size;
        expected.insert(network.vm(node));
        if (restart >= failures)
            network.leave(node);
        network.run(restart >= failures ? 5s : 0s);
        network.kill(node);
        network.run(gap - 10s);
        network.start(node);
        network.run(restart >= failures ? 5s : 10s);
    }
    const traffic busy = meter.read();
    const double span = toSeconds(gap) * restarts;
    const double perDay = (busy.meanPerSecond - quiet.meanPerSecond) * span / (24 * 3600);
    std::printf("| %zu | %.0f | %.0f | %.1f | %zu | %s |\n", size, quiet.meanPerSecond, busy.meanPerSecond, perDay, falseFailures,
        network.runUntilAgreed(60s) ? "yes" : network.difference().c_str());
}

/// Time until all daemons know of a catalogue edit, and until all know the catalogue position of all others.
void benchEdits(std::size_t size)
{
    gossip_network network = makeNetwork(size);
    traffic_meter meter(network);
    const instant start = network.now();
    network.setState(3, 100);
    std::vector<bool> hasReportedPosition(size, false);
    double headKnown = -1;
    double positionsKnown = -1;
    while (positionsKnown < 0 && network.now() - start < limit) {
        network.run(50ms);
        bool isHeadKnown = true;
        bool isAllKnown = true;
        for (std::size_t node = 0; node < size; ++node) {
            isHeadKnown = isHeadKnown && network.view(node).catalogueHead() == 100;
            if (!hasReportedPosition[node] && network.view(node).catalogueHead() == 100) {
                hasReportedPosition[node] = true;
                network.setState(node, 100);
            }
            network.view(node).visitMembers([&](const member& item) { isAllKnown = isAllKnown && item.values.cataloguePosition == 100; });
        }
        headKnown = headKnown < 0 && isHeadKnown ? toSeconds(network.now() - start) : headKnown;
        positionsKnown = isAllKnown ? toSeconds(network.now() - start) : -1;
    }
    const traffic busy = meter.read();
    std::printf("| %zu | %.2f | %.2f | %.0f | %llu |\n", size, headKnown, positionsKnown, busy.meanPerSecond,
        static_cast<unsigned long long>(busy.peakSecond));
}

/// Time until a catalogue edit is in force everywhere through relays: in normal operation, right after all relays
/// were killed, and with one data centre cut off from the log.
void benchRelays(std::size_t size)
{
    gossip_network network = makeNetwork(size);
    relay_network relays(network);
    relays.run(40s);
    constexpr int edits = 10;
    std::vector<double> times;
    const std::uint64_t asksBefore = relays.asks();
    const std::uint64_t answersBefore = relays.mostAnswers();
    const instant start = network.now();
    for (int edit = 0; edit < edits; ++edit) {
        times.push_back(toSeconds(relays.runUntilInForce(limit)));
        relays.run(duration(network.now().time_since_epoch().count() % 1'700'000));
    }
    const double perDaemon = static_cast<double>(relays.asks() - asksBefore) / static_cast<double>(size) / edits;
    const double busiest = static_cast<double>(relays.mostAnswers() - answersBefore) / edits;
    const double span = toSeconds(network.now() - start) / edits;
    const std::size_t tailing = relays.tailing();
    for (std::size_t node = 0; node < size; ++node) {
        if (makeRelayView(network.view(node), relay_network::relaysPerDataCentre).isLocalRelay)
            network.kill(node);
    }
    const double withoutRelays = toSeconds(relays.runUntilInForce(limit));
    const std::size_t fallback = relays.tailing();
    relays.run(60s);
    relays.cutLog({ "ee-north-a" });
    const double withoutLog = toSeconds(relays.runUntilInForce(limit));
    const spread time = toSpread(times);
    std::printf("| %zu | %.2f / %.2f | %.2f | %.2f | %.1f | %zu | %.2f | %zu | %.2f |\n", size, time.median, time.worst, span, perDaemon,
        busiest, tailing, withoutRelays, fallback, withoutLog);
}

/// One table of results; \c bench prints its row for a number of daemons.
struct table {
    std::string_view name;
    const char* columns;
    void (*bench)(std::size_t size);
};

constexpr table tables[] = {
    { "steady", "daemons|B/s, mean|B/s, busiest daemon|B, peak second|datagrams sent/s|% of a core|heartbeats: B/s|heartbeats: s until a failure is known", benchSteady },
    { "changes", "daemons|s until a failure is known, median / worst|s until leaving is known|s until a restart is known|B, peak second", benchChanges },
    { "disasters", "daemons|s until the loss of a data centre is known|B, peak second|s until its return is known|s until partitioned regions are known|B/s while partitioned|s until healed views agree|B, peak second", benchOutages },
    { "restarts", "daemons|B/s, steady, 1 % lost|B/s during 72 restarts in 18 min|B/s more over a day|false failures|views agree afterwards", benchRestarts },
    { "edits", "daemons|s until all know of an edit|s until all know all positions|B/s meanwhile|B, peak second", benchEdits },
    { "relays", "daemons|s until an edit is in force, median / worst|s between edits|requests of a daemon for each edit|answers of the busiest relay for each edit|daemons that read the log|s when all relays were just killed|daemons that then read the log|s with one data centre cut off from the log", benchRelays },
};

void print(const table& item, const std::vector<std::size_t>& sizes)
{
    std::printf("\n%s: %s\n", std::string(item.name).c_str(), item.columns);
    for (const std::size_t size : sizes) {
        item.bench(size);
        std::fflush(stdout);
    }
}

}

/// Arguments: names of tables and numbers of daemons, in any order. Without a name, all tables are printed; without
/// a number, those for 10 to 400 daemons.
int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes;
    std::set<std::string_view> names;
    for (int index = 1; index < argc; ++index) {
        const std::size_t size = std::strtoul(argv[index], nullptr, 10);
        if (size > 0)
            sizes.push_back(size);
        else
            names.insert(argv[index]);
    }
    if (sizes.empty())
        sizes = { 10, 50, 100, 200, 400 };
    for (const table& item : tables) {
        if (names.empty() || names.contains(item.name))
            print(item, sizes);
    }
    return 0;
}
