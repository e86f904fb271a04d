#include "daemonsimulation.h"

#include <core/overloaded.h>

#include <nlohmann/json.hpp>

namespace ragwortreach::Test {

namespace {

    constexpr duration hopLatency = std::chrono::milliseconds(1);
    constexpr duration tickPeriod = std::chrono::milliseconds(50);
    constexpr std::uint32_t tokensPerChunk = 4;

    std::string gossipAddress(std::size_t daemon) { return "10.0.0." + std::to_string(daemon) + ":1"; }
    std::string peerAddress(std::size_t daemon) { return "10.0.0." + std::to_string(daemon) + ":2"; }

}

struct daemon_simulation::node {
    std::unique_ptr<daemon_core> core;
    std::uint64_t instance = 0;
    bool isPaused = false;
    std::vector<daemon_event> pendingEvents;
    std::set<std::uint64_t> streams;
};

daemon_simulation::daemon_simulation(std::size_t daemons)
{
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        m_nodes.push_back(std::make_unique<node>());
        start(daemon);
    }
}

daemon_simulation::~daemon_simulation() = default;

void daemon_simulation::run(duration span)
{
    const instant end = m_now + span;
    while (!m_schedule.empty() && m_schedule.top().at <= end) {
        const scheduled next = m_schedule.top();
        m_schedule.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end;
}

bool daemon_simulation::runUntil(const std::function<bool()>& isDone, duration limit)
{
    const instant end = m_now + limit;
    while (!isDone() && m_now < end)
        run(std::chrono::milliseconds(10));
    return isDone();
}

request_number daemon_simulation::sendRequest(std::size_t daemon, const std::function<daemon_event(request_number)>& make)
{
    const request_number number = ++m_lastNumber;
    daemon_event event = make(number);
    if (const call_arrived* const call = std::get_if<call_arrived>(&event))
        m_keys[number] = call->idempotencyKey;
    deliverAfter(daemon, hopLatency, std::move(event));
    return number;
}

const received_answer* daemon_simulation::answer(request_number number) const
{
    const auto it = m_answers.find(number);
    return it == m_answers.end() ? nullptr : &it->second;
}

request_number daemon_simulation::submitEdit(std::size_t daemon, const std::string& recordId, const std::string& entry,
    std::uint64_t replaces, const std::string& body)
{
    const nlohmann::json data { { "schema", 1 }, { "entry", entry }, { "replaces", replaces }, { "operator", "mart" },
        { "action", "put" }, { "body", nlohmann::json::parse(body) } };
    return sendRequest(daemon, [&](request_number number) { return edit_submitted { number, recordId, data.dump() }; });
}

weight_version daemon_simulation::weightsOf(const std::string& vm) const
{
    const auto it = m_loaded.find(vm);
    return it == m_loaded.end() ? weights : std::max(weights, it->second);
}

void daemon_simulation::kill(std::size_t daemon)
{
    ++m_nodes[daemon]->instance;
    m_nodes[daemon]->core.reset();
}

void daemon_simulation::start(std::size_t daemon)
{
    node& started = *m_nodes[daemon];
    ++started.instance;
    started.isPaused = false;
    started.pendingEvents.clear();
    started.streams.clear();
    daemon_identity identity;
    identity.local.vm = "entry-" + std::to_string(daemon);
    identity.local.instance.startMilliseconds = started.instance;
    identity.local.dataCentre = "dc-a";
    identity.local.region = "region";
    identity.local.addresses = { gossipAddress(daemon), peerAddress(daemon), {}, {} };
    identity.seed = daemon + 1;
    started.core = std::make_unique<daemon_core>(identity);
    at(duration(static_cast<duration::rep>(daemon) * 1000), [this, daemon, instance = started.instance] { tick(daemon, instance); });
}

void daemon_simulation::pause(std::size_t daemon)
{
    m_nodes[daemon]->isPaused = true;
}

void daemon_simulation::resume(std::size_t daemon)
{
    m_nodes[daemon]->isPaused = false;
    const std::vector<daemon_event> pendingEvents = std::exchange(m_nodes[daemon]->pendingEvents, {});
    for (const daemon_event& event : pendingEvents)
        deliver(daemon, m_nodes[daemon]->instance, event);
}

void daemon_simulation::drain(std::size_t daemon)
{
    deliverAfter(daemon, hopLatency, drain_requested {});
}

bool daemon_simulation::isAlive(std::size_t daemon) const
{
    return m_nodes[daemon]->core != nullptr;
}

const daemon_core& daemon_simulation::core(std::size_t daemon) const
{
    return *m_nodes[daemon]->core;
}

void daemon_simulation::at(duration delay, std::function<void()> action)
{
    m_schedule.push({ m_now + delay, ++m_order, std::move(action) });
}

void daemon_simulation::deliverAfter(std::size_t daemon, duration delay, daemon_event event)
{
    at(delay, [this, daemon, instance = m_nodes[daemon]->instance, delayedEvent = std::move(event)] { deliver(daemon, instance, delayedEvent); });
}

void daemon_simulation::tick(std::size_t daemon, std::uint64_t instance)
{
    if (m_nodes[daemon]->instance != instance)
        return;
    if (!m_nodes[daemon]->isPaused)
        deliver(daemon, instance, daemon_tick {});
    at(tickPeriod, [this, daemon, instance] { tick(daemon, instance); });
}

void daemon_simulation::deliver(std::size_t daemon, std::uint64_t instance, daemon_event event)
{
    node& receiver = *m_nodes[daemon];
    if (!receiver.core || receiver.instance != instance)
        return;
    if (receiver.isPaused) {
        receiver.pendingEvents.push_back(std::move(event));
        return;
    }
    const daemon_effects effects = receiver.core->handle(event, m_now);
    for (const daemon_effect& effect : effects) {
        std::visit(overloaded {
                       [&](const read_stream& typed) { at(hopLatency, [this, daemon, instance, typed] { readStream(daemon, instance, typed, m_now + typed.wait); }); },
                       [&](const append_stream& typed) { appendStream(daemon, typed); },
                       [&](const read_vm_list&) { deliverAfter(daemon, hopLatency, vm_list_read { makeVmList() }); },
                       [&](const send_message& typed) {
                           const std::size_t to = daemonAt(typed.address);
                           if (to < m_nodes.size() && !cutLinks.contains({ daemon, to }))
                               deliverAfter(to, hopLatency, message_received { gossipAddress(daemon), typed.message });
                       },
                       [&](const ask_peer& typed) { askPeer(daemon, typed); },
                       [&](const answer_peer& typed) {
                           const std::pair<std::size_t, request_number> asker = m_peerRequests[typed.number];
                           if (!cutLinks.contains({ daemon, asker.first }))
                               deliverAfter(asker.first, hopLatency, peer_reply_received { asker.second, result_code::Ok, typed.reply });
                       },
                       [&](const answer_request& typed) { m_answers[typed.number] = { typed.httpStatus, result_code::Ok, typed.body }; },
                       [&](const start_attempt& typed) { startAttempt(daemon, typed); },
                       [&](const stop_attempt&) {},
                       [&](const forward_answer& typed) { m_answers[typed.number] = { 200, result_code::Ok, m_serviceAnswers[typed.number].body }; },
                       [&](const replay_answer& typed) { m_answers[typed.number] = { typed.answer.status, result_code::Ok, typed.answer.body }; },
                       [&](const refuse_call& typed) { m_answers[typed.number] = { resultCodeInfo(typed.code).httpStatus, typed.code, typed.detail }; },
                       [&](const open_engine_stream& typed) {
                           receiver.streams.insert(typed.stream);
                           at(hopLatency, [this, daemon, instance, typed] { sendTokens(daemon, instance, typed.stream, typed.request, 0); });
                       },
                       [&](const close_engine_stream& typed) { receiver.streams.erase(typed.stream); },
                       [&](const ask_scorer& typed) { deliverAfter(daemon, hopLatency, score_ended { typed.score, 0.5 }); },
                       [&](const read_engine_state& typed) { deliverAfter(daemon, hopLatency, engine_state_read { typed.vm, engine_state { weightsOf(typed.vm), false, 0, 0, 0 } }); },
                       [&](const read_versions& typed) { deliverAfter(daemon, hopLatency, versions_read { typed.model, std::vector { std::max(weights, publishedWeights) } }); },
                       [&](const send_weight_order& typed) {
                           orderedBy.insert(daemon);
                           at(std::chrono::seconds(1), [this, typed] { m_loaded[typed.vm] = typed.weights; });
                           deliverAfter(daemon, hopLatency, weight_order_ended { typed.vm, {} });
                       },
                       [&](const add_timeline_event&) {},
                   },
            effect);
    }
}

void daemon_simulation::readStream(std::size_t daemon, std::uint64_t instance, const read_stream& effect, instant deadline)
{
    if (m_nodes[daemon]->instance != instance)
        return;
    const std::vector<log_record>& records = m_log[effect.stream];
    log_read_ended event { effect.stream, effect.from, isLogDown ? result_code::LogUnavailable : result_code::Ok, {} };
    if (!isLogDown && effect.from >= records.size() && m_now < deadline) {
        at(std::chrono::milliseconds(10), [this, daemon, instance, effect, deadline] { readStream(daemon, instance, effect, deadline); });
        return;
    }
    if (!isLogDown) {
        for (std::size_t offset = effect.from; offset < records.size() && event.page.records.size() < effect.maxRecords; ++offset)
            event.page.records.push_back(records[offset]);
        event.page.next = std::min<std::uint64_t>(records.size(), effect.from) + event.page.records.size();
        event.page.end = records.size();
    }
    deliver(daemon, instance, std::move(event));
}

void daemon_simulation::appendStream(std::size_t daemon, const append_stream& effect)
{
    append_ended event { effect.append, result_code::Ok, m_log[effect.stream].size() };
    if (isLogDown) {
        event.code = result_code::LogUnavailable;
        deliverAfter(daemon, hopLatency, event);
        return;
    }
    ++appends;
    std::vector<log_record>& stream = m_log[effect.stream];
    for (const log_append& record : effect.records)
        stream.push_back({ stream.size(), record.id, record.data });
    if (lostReplies > 0) {
        --lostReplies;
        event.code = result_code::AppendUnknown;
    }
    deliverAfter(daemon, hopLatency, event);
}

void daemon_simulation::askPeer(std::size_t daemon, const ask_peer& effect)
{
    const std::size_t to = daemonAt(effect.address);
    const bool isReachable = to < m_nodes.size() && m_nodes[to]->core && !cutLinks.contains({ daemon, to });
    if (!isReachable) {
        deliverAfter(daemon, hopLatency, peer_reply_received { effect.number, result_code::PeerUnreachable, error_reply {} });
        return;
    }
    const request_number number = ++m_lastNumber;
    m_peerRequests[number] = { daemon, effect.number };
    deliverAfter(to, hopLatency, peer_request_received { number, effect.request });
    deliverAfter(daemon, effect.timeout, peer_reply_received { effect.number, result_code::PeerTimeout, error_reply {} });
}

void daemon_simulation::startAttempt(std::size_t daemon, const start_attempt& effect)
{
    attempt_ended event;
    event.number = effect.number;
    event.attempt = effect.attempt;
    if (service == service_behaviour::Unreachable) {
        event.code = result_code::UpstreamUnreachable;
    } else {
        const std::size_t execution = ++executions[m_keys[effect.number]];
        event.answer = { 200, "text/plain", "execution " + std::to_string(execution), true };
        m_serviceAnswers[effect.number] = event.answer;
        if (service == service_behaviour::InterruptedAfterRun)
            event.code = result_code::UpstreamBroken;
    }
    deliverAfter(daemon, serviceTime, std::move(event));
}

void daemon_simulation::sendTokens(std::size_t daemon, std::uint64_t instance, std::uint64_t stream, completion_request request, std::uint32_t sent)
{
    if (m_nodes[daemon]->instance != instance || !m_nodes[daemon]->streams.contains(stream))
        return;
    engine_chunk_received event { stream, {} };
    const std::uint32_t count = std::min(tokensPerChunk, request.maxTokens - sent);
    for (std::uint32_t token = 0; token < count; ++token)
        event.chunk.tokens.push_back(static_cast<std::uint32_t>(request.resumeTokens.size()) + sent + token);
    event.chunk.versions = { weights };
    event.chunk.isFinished = sent + count == request.maxTokens;
    deliver(daemon, instance, event);
    if (event.chunk.isFinished) {
        deliver(daemon, instance, engine_stream_ended { stream, result_code::Ok, {} });
        return;
    }
    at(tokenTime * count, [=, this, asked = std::move(request)] { sendTokens(daemon, instance, stream, asked, sent + count); });
}

std::size_t daemon_simulation::daemonAt(const std::string& address) const
{
    for (std::size_t daemon = 0; daemon < m_nodes.size(); ++daemon) {
        if (address == gossipAddress(daemon) || address == peerAddress(daemon))
            return daemon;
    }
    return m_nodes.size();
}

vm_list daemon_simulation::makeVmList() const
{
    vm_list list;
    list.revision = 1;
    for (std::size_t daemon = 0; daemon < m_nodes.size(); ++daemon)
        list.vms.push_back({ "entry-" + std::to_string(daemon), 1, "dc-a", "region", vm_role::Entry, {}, {}, {}, gossipAddress(daemon), peerAddress(daemon), false });
    for (const char* upstream : { "shop", "llm", "scorer" }) {
        for (const char* replica : { "-1", "-2" })
            list.vms.push_back({ std::string(upstream) + replica, 1, "dc-a", "region", vm_role::Upstream, upstream, "10.1.0.1:1", {}, {}, {}, false });
    }
    return list;
}

}
