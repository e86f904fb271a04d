#include "membership.h"

#include "broadcastqueue.h"
#include "failuredetector.h"
#include "membertable.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace ragwortreach {

using namespace Internal;

namespace {

    /// Time between two events above which this daemon assumes that it was paused.
    constexpr duration pauseThreshold = std::chrono::seconds(1);
    /// Minimum time between two publications of changed demands.
    constexpr duration demandPeriod = std::chrono::seconds(5);
    /// Demands are published again when one changed by more than a fifth.
    constexpr std::uint64_t demandChangeDivisor = 5;
    /// Time for which probes carry position reports after a new catalogue head became known.
    constexpr duration newHeadReportTime = std::chrono::seconds(10);
    /// Time for which probes carry position reports after a report contained new information.
    constexpr duration newReportTime = std::chrono::seconds(5);
    /// Minimum time between two corrections sent to a member that is suspected, failed or outdated in this view.
    constexpr duration correctionPeriod = std::chrono::seconds(1);
    constexpr std::size_t maxSyncMessages = 12;
    constexpr std::size_t maxMissingDetails = 256;
    /// Members that receive a digest once the first VM list was read.
    constexpr std::size_t initialDigests = 3;
    /// Digests that all members together send to each failed member in one digest period.
    constexpr std::size_t digestsPerFailedMember = 4;

    bool isClose(std::uint64_t left, std::uint64_t right)
    {
        const std::uint64_t difference = left > right ? left - right : right - left;
        return difference <= std::max(left, right) / demandChangeDivisor;
    }

    bool areClose(const std::vector<owner_demand>& left, const std::vector<owner_demand>& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](const owner_demand& a, const owner_demand& b) {
                return a.owner == b.owner && isClose(a.milliRequestsPerSecond, b.milliRequestsPerSecond);
            });
    }

}

class membership::state {
    friend class membership;

public:
    explicit state(membership_settings settings);

    std::vector<membership_effect> handle(const membership_event& event, instant now);

    void on(const message_received& event);
    void on(const vm_list_received& event);
    void on(const local_state_changed& event);
    void on(const membership_tick& event);

    void onBody(const ping_body& body, const message_received& event);
    void onBody(const ack_body& body, const message_received& event);
    void onBody(const indirect_ping_body& body, const message_received& event);
    void onBody(const push_body& body, const message_received& event);
    void onBody(const digest_body& body, const message_received& event);
    void onBody(const details_request_body& body, const message_received& event);
    void onBody(const payload_body&, const message_received&) { }

private:
    /// After a pause of this process drops the probes under way and extends all suspicions by the pause, since
    /// missing answers may be its own fault.
    void detectPause();
    void applyDelta(const member_delta& delta, bool isSync, const std::string& source);
    /// Handles a delta of another daemon about this one; refutes it when it suspects this daemon.
    void applyAboutLocal(const member_delta& delta, const std::string& source);
    void applyListEntry(const vm_list_entry& entry);
    void applyListedLocal(const vm_list_entry& entry);
    void applyValues(const values_delta& values);
    /// Registers an unknown sender, or sends it this daemon's view of it when it is suspected, failed or outdated.
    void checkSender(const message_received& event);
    void advanceHead(std::uint64_t position);
    void publishDemands();
    void publishValues();
    void startInstance(member_instance instance);
    void becomeLeaving();
    void report(const member_entry& entry, std::optional<member_state> previous, bool isNewInstance);
    void failSuspects();
    void probeMembers();
    void pushChanges();
    void exchangeDigests();
    void requestDetails(const std::string& address);
    void addReport(gossip_message& message);
    void sendDeltas(const std::string& address, const std::vector<member_delta>& deltas, bool isSync);
    void send(const std::string& address, gossip_message message, bool carriesValues = false);
    /// Draws whether the next digest goes to a failed member.
    bool isFailedMemberTurn();
    gossip_message makeMessage(gossip_body body) const;
    digest_body makeDigest(bool isReply) const;
    std::vector<const member_entry*> randomMembers(std::size_t count, bool isFailed, std::string_view except = {});

    membership_settings m_settings;
    member_entry m_local;
    member_table m_table;
    broadcast_queue m_queue;
    membership_counters m_counters;
    std::uint64_t m_catalogueHead = 0;
    std::mt19937_64 m_random;
    failure_detector m_detector;
    instant m_now;
    std::optional<instant> m_lastEvent;
    std::optional<instant> m_nextPush;
    std::optional<instant> m_nextDigest;
    std::optional<instant> m_demandsPublishedAt;
    std::vector<owner_demand> m_demands;
    std::uint64_t m_listRevision = 0;
    std::size_t m_headPushes = 0;
    instant m_reportUntil;
    std::set<std::string> m_missingDetails;
    std::vector<membership_effect> m_effects;
};

membership::state::state(membership_settings settings)
    : m_settings(std::move(settings))
    , m_table(m_settings.maxMembers)
    , m_queue(m_settings.pushTransmissions)
    , m_random(m_settings.seed)
    , m_detector(m_settings.local.vm,
          probe_times { m_settings.probePeriod, m_settings.directTimeout, m_settings.probeTimeout }, m_settings.seed + 1)
{
    m_local.view = m_settings.local;
    m_local.view.state = member_state::Alive;
    m_local.hash = nameHash(m_local.view.vm);
    m_local.isDetailed = true;
    m_catalogueHead = m_local.view.values.cataloguePosition;
    m_queue.addDelta(m_local);
}

std::vector<membership_effect> membership::state::handle(const membership_event& event, instant now)
{
    m_now = now;
    m_effects.clear();
    detectPause();
    std::visit([this](const auto& typed) { on(typed); }, event);
    m_lastEvent = now;
    return std::exchange(m_effects, {});
}

void membership::state::detectPause()
{
    if (!m_lastEvent || m_now - *m_lastEvent < pauseThreshold)
        return;
    ++m_counters.pauses;
    m_detector.reset();
    m_table.delaySuspicions(m_now - *m_lastEvent);
}

void membership::state::on(const message_received& event)
{
    if (event.message.sender == m_local.view.vm)
        return;
    const push_body* push = std::get_if<push_body>(&event.message.body);
    for (const member_delta& delta : event.message.deltas)
        applyDelta(delta, push && push->isSync, event.address);
    for (const values_delta& values : event.message.values)
        applyValues(values);
    advanceHead(event.message.catalogueHead);
    if (m_table.applyReport(event.message.reached))
        m_reportUntil = std::max(m_reportUntil, m_now + newReportTime);
    std::visit([this, &event](const auto& body) { onBody(body, event); }, event.message.body);
    checkSender(event);
    requestDetails(event.address);
}

void membership::state::onBody(const ping_body& body, const message_received& event)
{
    if (body.target == m_local.view.vm)
        send(event.address, makeMessage(ack_body { body.sequence, body.target }), body.carriesValues);
}

void membership::state::onBody(const ack_body& body, const message_received&)
{
    const std::optional<relayed_probe> relayed = m_detector.acknowledge(body.sequence, body.target);
    if (relayed)
        send(relayed->requesterAddress, makeMessage(ack_body { relayed->requesterSequence, body.target }));
}

void membership::state::onBody(const indirect_ping_body& body, const message_received& event)
{
    const std::uint64_t sequence = m_detector.relay(event.address, body.sequence, m_now);
    send(body.targetAddress, makeMessage(ping_body { sequence, body.target, false }));
}

void membership::state::onBody(const push_body&, const message_received&)
{
}

void membership::state::onBody(const digest_body& body, const message_received& event)
{
    const digest_body own = makeDigest(true);
    if (own.hashes == body.hashes)
        return;
    ++m_counters.digestsDiffering;
    if (!body.isReply)
        send(event.address, makeMessage(own));
    std::vector<member_delta> deltas;
    const auto add = [&](const member_entry& entry) {
        const std::size_t bucket = digestBucket(entry.hash);
        if (own.hashes[bucket] != body.hashes[bucket])
            deltas.push_back(toDelta(entry, false));
    };
    for (const member_entry* entry : m_table.ring())
        add(*entry);
    add(m_local);
    if (!deltas.empty())
        std::rotate(deltas.begin(), deltas.begin() + static_cast<std::ptrdiff_t>(m_random() % deltas.size()), deltas.end());
    sendDeltas(event.address, deltas, true);
}

void membership::state::onBody(const details_request_body& body, const message_received& event)
{
    std::vector<member_delta> deltas;
    for (const std::string& vm : body.vms) {
        const member_entry* entry = vm == m_local.view.vm ? &m_local : m_table.find(vm);
        if (entry && entry->health != member_health::Failed)
            deltas.push_back(toDelta(*entry, true));
    }
    sendDeltas(event.address, deltas, false);
}

void membership::state::checkSender(const message_received& event)
{
    const gossip_message& message = event.message;
    member_entry* entry = m_table.find(message.sender);
    if (!entry || entry->view.instance < message.senderInstance) {
        // For a VM that the VM list named, only the process instance is missing; a delta without details is enough.
        applyDelta({ message.sender, message.senderInstance, 0, member_health::Alive, false, std::nullopt }, true, event.address);
        return;
    }
    const bool isOutdated = message.senderInstance < entry->view.instance;
    const bool isRecentlyCorrected = entry->correctedAt && m_now - *entry->correctedAt < correctionPeriod;
    if (isRecentlyCorrected || (!isOutdated && entry->health == member_health::Alive))
        return;
    entry->correctedAt = m_now;
    sendDeltas(event.address, { toDelta(*entry, isOutdated) }, false);
}

void membership::state::requestDetails(const std::string& address)
{
    if (m_missingDetails.empty())
        return;
    details_request_body body;
    std::size_t size = encodedSizeBound(makeMessage(details_request_body {}));
    for (const std::string& vm : m_missingDetails) {
        size += vm.size() + 3;
        if (size > maxGossipMessageSize)
            break;
        body.vms.push_back(vm);
    }
    m_missingDetails.clear();
    send(address, makeMessage(std::move(body)));
}

void membership::state::applyDelta(const member_delta& delta, bool isSync, const std::string& source)
{
    if (delta.vm == m_local.view.vm) {
        applyAboutLocal(delta, source);
        return;
    }
    const apply_result result = m_table.apply(delta, isSync, m_now);
    switch (result.outcome) {
    case apply_outcome::Ignored:
        return;
    case apply_outcome::DetailsMissing:
        if (m_missingDetails.size() < maxMissingDetails)
            m_missingDetails.insert(delta.vm);
        return;
    case apply_outcome::Changed:
        // This daemon is only catching up here: the other members already know the process of the listed VM.
        if (!isSync || !result.wasListed)
            m_queue.addDelta(*result.entry);
        report(*result.entry, result.previous, result.isNewInstance);
        return;
    }
}

void membership::state::applyAboutLocal(const member_delta& delta, const std::string& source)
{
    const bool isSameAddress = !delta.details || delta.details->addresses == m_local.view.addresses;
    if (delta.instance < m_local.view.instance || !isSameAddress)
        return;
    if (delta.instance > m_local.view.instance) {
        startInstance({ delta.instance.incarnation, std::max(m_local.view.instance.startMilliseconds, delta.instance.startMilliseconds + 1) });
        return;
    }
    if (delta.leaving)
        becomeLeaving();
    const bool isSuspected = delta.health != member_health::Alive && delta.refutation >= m_local.refutation;
    if (!isSuspected)
        return;
    m_local.refutation = delta.refutation + 1;
    ++m_counters.refutations;
    m_queue.addDelta(m_local);
    sendDeltas(source, { toDelta(m_local, false) }, false);
}

void membership::state::startInstance(member_instance instance)
{
    const member_state previous = m_local.view.state;
    m_local.view.instance = instance;
    m_local.isDetailed = true;
    m_queue.addDelta(m_local);
    report(m_local, previous, true);
}

void membership::state::becomeLeaving()
{
    if (m_local.leaving)
        return;
    const member_state previous = m_local.view.state;
    m_local.leaving = true;
    m_local.view.state = member_state::Leaving;
    m_queue.addDelta(m_local);
    report(m_local, previous, false);
}

void membership::state::report(const member_entry& entry, std::optional<member_state> previous, bool isNewInstance)
{
    if (previous != entry.view.state || isNewInstance)
        m_effects.emplace_back(member_changed { entry.view.vm, entry.view.instance, entry.view.state, previous });
}

void membership::state::on(const vm_list_received& event)
{
    if (event.revision <= m_listRevision) {
        ++m_counters.staleLists;
        return;
    }
    const bool isFirst = m_listRevision == 0;
    m_listRevision = event.revision;
    for (const vm_list_entry& entry : event.entries) {
        if (entry.vm == m_local.view.vm)
            applyListedLocal(entry);
        else
            applyListEntry(entry);
    }
    if (!isFirst)
        return;
    for (const member_entry* entry : randomMembers(initialDigests, false))
        send(entry->view.addresses.gossip, makeMessage(makeDigest(false)));
}

void membership::state::applyListedLocal(const vm_list_entry& entry)
{
    if (entry.incarnation < m_local.view.instance.incarnation)
        return;
    if (entry.incarnation > m_local.view.instance.incarnation)
        startInstance({ entry.incarnation, m_local.view.instance.startMilliseconds });
    if (entry.leaving)
        becomeLeaving();
}

void membership::state::applyListEntry(const vm_list_entry& entry)
{
    const member_details details { entry.dataCentre, entry.region, entry.addresses };
    member_delta delta { entry.vm, { entry.incarnation, 0 }, 0, member_health::Alive, entry.leaving, details };
    const member_entry* known = m_table.find(entry.vm);
    if (known && known->view.instance.incarnation == entry.incarnation) {
        delta.instance = known->view.instance;
        delta.refutation = known->refutation;
    }
    const apply_result result = m_table.apply(delta, false, m_now);
    if (result.outcome != apply_outcome::Changed)
        return;
    // All daemons read the VM list, so only changes of known instances are broadcast.
    if (!result.isNewInstance)
        m_queue.addDelta(*result.entry);
    report(*result.entry, result.previous, result.isNewInstance);
}

void membership::state::applyValues(const values_delta& values)
{
    if (m_table.applyValues(values))
        m_queue.addValues(*m_table.find(values.vm));
    advanceHead(values.values.cataloguePosition);
}

void membership::state::advanceHead(std::uint64_t position)
{
    if (position <= m_catalogueHead)
        return;
    m_catalogueHead = position;
    m_headPushes = m_settings.pushTransmissions;
    m_reportUntil = m_now + newHeadReportTime;
    m_effects.emplace_back(catalogue_head_changed { position });
}

void membership::state::on(const local_state_changed& event)
{
    if (event.leaving)
        becomeLeaving();
    m_demands = event.demands;
    if (m_demands.size() > maxDemandsPerMember)
        m_demands.resize(maxDemandsPerMember);
    if (event.cataloguePosition > m_local.view.values.cataloguePosition) {
        m_local.view.values.cataloguePosition = event.cataloguePosition;
        advanceHead(event.cataloguePosition);
        m_reportUntil = std::max(m_reportUntil, m_now + newReportTime);
    }
    publishDemands();
}

void membership::state::publishDemands()
{
    const bool isRecent = m_demandsPublishedAt && m_now - *m_demandsPublishedAt < demandPeriod;
    if (!isRecent && !areClose(m_demands, m_local.view.values.demands))
        publishValues();
}

void membership::state::publishValues()
{
    ++m_local.view.values.revision;
    m_local.view.values.demands = m_demands;
    m_demandsPublishedAt = m_now;
    m_queue.addValues(m_local);
}

void membership::state::on(const membership_tick&)
{
    failSuspects();
    probeMembers();
    publishDemands();
    pushChanges();
    exchangeDigests();
}

void membership::state::failSuspects()
{
    if (m_table.suspectCount() == 0)
        return;
    const std::vector<member_entry*> ring = m_table.ring();
    for (const member_entry* entry : ring) {
        if (entry->health != member_health::Suspect || m_now - entry->healthChangedAt < m_settings.suspicionTimeout)
            continue;
        ++m_counters.failures;
        member_delta delta = toDelta(*entry, false);
        delta.health = member_health::Failed;
        applyDelta(delta, false, {});
    }
}

void membership::state::probeMembers()
{
    for (const probe& unanswered : m_detector.takeUnanswered(m_now)) {
        const member_entry* target = m_table.find(unanswered.vm);
        if (!target)
            continue;
        const indirect_ping_body body { unanswered.sequence, unanswered.vm, target->view.addresses.gossip };
        for (const member_entry* helper : randomMembers(m_settings.indirectProbes, false, unanswered.vm))
            send(helper->view.addresses.gossip, makeMessage(body));
    }
    for (const probe& failed : m_detector.takeFailed(m_now)) {
        ++m_counters.probeFailures;
        const member_entry* target = m_table.find(failed.vm);
        if (!target || target->health != member_health::Alive || target->view.instance != failed.instance)
            continue;
        ++m_counters.suspicions;
        member_delta delta = toDelta(*target, false);
        delta.health = member_health::Suspect;
        applyDelta(delta, false, {});
    }
    while (const std::optional<probe_target> target = m_detector.next(m_table, m_now)) {
        ++m_counters.probes;
        const member& view = target->entry->view;
        const std::uint64_t sequence = m_detector.begin(*target->entry, m_now);
        send(view.addresses.gossip, makeMessage(ping_body { sequence, view.vm, target->isRandom }), target->isRandom);
    }
}

void membership::state::pushChanges()
{
    if (m_nextPush && m_now < *m_nextPush)
        return;
    if (!m_queue.hasPush() && m_headPushes == 0)
        return;
    m_nextPush = m_now + m_settings.pushPeriod;
    for (const member_entry* target : randomMembers(m_settings.pushFanout, false)) {
        gossip_message message = makeMessage(push_body {});
        m_queue.fillPush(message);
        if (m_headPushes > 0)
            --m_headPushes;
        else if (message.deltas.empty())
            return;
        m_effects.emplace_back(send_message { target->view.addresses.gossip, std::move(message) });
    }
}

void membership::state::exchangeDigests()
{
    if (!m_nextDigest)
        m_nextDigest = m_now + duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_settings.digestPeriod.count())));
    if (m_now < *m_nextDigest)
        return;
    m_nextDigest = m_now + m_settings.digestPeriod;
    m_table.forgetFailedBefore(m_now - m_settings.failedRetention);
    std::vector<const member_entry*> targets = randomMembers(1, isFailedMemberTurn());
    if (targets.empty())
        targets = randomMembers(1, false);
    for (const member_entry* target : targets)
        send(target->view.addresses.gossip, makeMessage(makeDigest(false)));
}

bool membership::state::isFailedMemberTurn()
{
    const std::size_t size = m_table.ring().size() + 1;
    const std::size_t share = std::min(size / 2, digestsPerFailedMember * m_table.failedCount());
    return m_random() % size < share;
}

void membership::state::sendDeltas(const std::string& address, const std::vector<member_delta>& deltas, bool isSync)
{
    std::size_t messages = 0;
    std::size_t next = 0;
    while (next < deltas.size() && messages < maxSyncMessages) {
        gossip_message message = makeMessage(push_body { isSync });
        std::size_t size = encodedSizeBound(message);
        const std::size_t first = next;
        while (next < deltas.size() && size + encodedSizeBound(deltas[next]) <= maxGossipMessageSize)
            size += encodedSizeBound(deltas[next++]);
        message.deltas.assign(deltas.begin() + static_cast<std::ptrdiff_t>(first), deltas.begin() + static_cast<std::ptrdiff_t>(next));
        m_effects.emplace_back(send_message { address, std::move(message) });
        ++messages;
    }
}

void membership::state::send(const std::string& address, gossip_message message, bool carriesValues)
{
    if (carriesValues) {
        message.values.push_back({ m_local.view.vm, m_local.view.instance, m_local.view.values });
        addReport(message);
    }
    m_queue.fillProbe(message, carriesValues);
    m_effects.emplace_back(send_message { address, std::move(message) });
}

void membership::state::addReport(gossip_message& message)
{
    if (m_now > m_reportUntil)
        return;
    std::vector<std::uint32_t> reached;
    for (const member_entry* entry : m_table.ring()) {
        if (entry->health != member_health::Failed && entry->view.values.cataloguePosition >= m_catalogueHead)
            reached.push_back(instanceHash(entry->view));
    }
    if (!reached.empty())
        std::rotate(reached.begin(), reached.begin() + static_cast<std::ptrdiff_t>(m_random() % reached.size()), reached.end());
    if (m_local.view.values.cataloguePosition >= m_catalogueHead)
        reached.insert(reached.begin(), instanceHash(m_local.view));
    reached.resize(std::min(reached.size(), maxReportedMembers));
    message.reached = { m_catalogueHead, std::move(reached) };
}

gossip_message membership::state::makeMessage(gossip_body body) const
{
    return { 0, m_local.view.vm, m_local.view.instance, m_catalogueHead, std::move(body), {}, {}, {} };
}

digest_body membership::state::makeDigest(bool isReply) const
{
    digest_body digest;
    digest.isReply = isReply;
    for (const member_entry* entry : m_table.ring())
        digest.hashes[digestBucket(entry->hash)] ^= digestHash(toDelta(*entry, false));
    digest.hashes[digestBucket(m_local.hash)] ^= digestHash(toDelta(m_local, false));
    return digest;
}

std::vector<const member_entry*> membership::state::randomMembers(std::size_t count, bool isFailed, std::string_view except)
{
    std::vector<const member_entry*> candidates;
    for (const member_entry* entry : m_table.ring()) {
        const bool hasLeft = entry->health == member_health::Failed && entry->leaving;
        if (!hasLeft && (entry->health == member_health::Failed) == isFailed && entry->view.vm != except)
            candidates.push_back(entry);
    }
    count = std::min(count, candidates.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(candidates[index], candidates[index + m_random() % (candidates.size() - index)]);
    candidates.resize(count);
    return candidates;
}

membership::membership(membership_settings settings)
    : m_state(std::make_unique<state>(std::move(settings)))
{
}

membership::~membership() = default;
membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;

std::vector<membership_effect> membership::handle(const membership_event& event, instant now)
{
    return m_state->handle(event, now);
}

const member& membership::local() const
{
    return m_state->m_local.view;
}

const member* membership::find(std::string_view vm) const
{
    if (vm == m_state->m_local.view.vm)
        return &m_state->m_local.view;
    const member_entry* entry = m_state->m_table.find(vm);
    return entry ? &entry->view : nullptr;
}

std::vector<member> membership::members() const
{
    std::vector<member> all;
    visitMembers([&all](const member& item) { all.push_back(item); });
    return all;
}

void membership::visitMembers(const std::function<void(const member&)>& visit) const
{
    const member& own = m_state->m_local.view;
    bool isLocalVisited = false;
    for (const std::pair<const std::string, member_entry>& item : m_state->m_table.entries()) {
        if (!isLocalVisited && own.vm < item.first) {
            visit(own);
            isLocalVisited = true;
        }
        visit(item.second.view);
    }
    if (!isLocalVisited)
        visit(own);
}

std::uint64_t membership::catalogueHead() const
{
    return m_state->m_catalogueHead;
}

std::uint64_t membership::demand(std::string_view owner) const
{
    std::uint64_t sum = 0;
    visitMembers([&sum, owner](const member& item) {
        for (const owner_demand& demand : item.values.demands)
            sum += item.isEligible() && demand.owner == owner ? demand.milliRequestsPerSecond : 0;
    });
    return sum;
}

const membership_counters& membership::counters() const
{
    return m_state->m_counters;
}

}
