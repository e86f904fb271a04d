#include "effectexecutor.h"

#include "problem.h"
#include "timeline.h"

#include <core/overloaded.h>
#include <wire/gossipsocket.h>
#include <wire/peerchannel.h>

namespace ragwortreach {

namespace {

    endpoint addressOf(const std::string& text)
    {
        return parseEndpoint(text).value_or(endpoint {});
    }

    /// Result code of a peer request; errors of the transport become PeerUnreachable.
    result_code codeOf(const std::error_code& error)
    {
        if (!error)
            return result_code::Ok;
        return error.category() == resultCategory() ? static_cast<result_code>(error.value()) : result_code::PeerUnreachable;
    }

}

effect_executor::effect_executor(const effect_targets& targets, event_handler onEvent)
    : m_targets(targets)
    , m_onEvent(std::move(onEvent))
{
}

void effect_executor::carryOut(const daemon_effect& effect)
{
    std::visit(overloaded {
                   [this](const read_stream& typed) { readStream(typed); },
                   [this](const append_stream& typed) { appendStream(typed); },
                   [this](const read_vm_list&) {
                       m_targets.vmList.read([this](std::optional<vm_list> list) { m_onEvent(vm_list_read { std::move(list) }); });
                   },
                   [this](const send_message& typed) { m_targets.gossip.send(typed.address, typed.message); },
                   [this](const ask_peer& typed) { askPeer(typed); },
                   [this](const answer_peer& typed) { answerPeer(typed); },
                   [this](const answer_request& typed) { answerRequest(typed); },
                   [this](const start_attempt& typed) { m_targets.proxy.startAttempt(typed); },
                   [this](const stop_attempt& typed) { m_targets.proxy.stopAttempt(typed); },
                   [this](const forward_answer& typed) { m_targets.proxy.forwardAnswer(typed); },
                   [this](const replay_answer& typed) { m_targets.proxy.replayAnswer(typed); },
                   [this](const refuse_call& typed) { refuse(typed); },
                   [this](const open_engine_stream& typed) { openStream(typed); },
                   [this](const close_engine_stream& typed) { closeStream(typed); },
                   [this](const ask_scorer& typed) { askScorer(typed); },
                   [this](const read_engine_state& typed) { readEngine(typed); },
                   [this](const read_versions& typed) {
                       m_targets.weightStore.readVersions(typed.model, [this, model = typed.model](std::optional<std::vector<weight_version>> versions) {
                           m_onEvent(versions_read { model, std::move(versions) });
                       });
                   },
                   [this](const send_weight_order& typed) { sendOrder(typed); },
                   [this](const add_timeline_event& typed) { m_targets.events.add(typed); },
               },
        effect);
}

void effect_executor::addExchange(request_number number, const http_exchange& exchange)
{
    exchange.setDisconnectHandler([this, number] {
        if (m_exchanges.erase(number) > 0)
            m_onEvent(caller_gone { number });
    });
    m_exchanges.emplace(number, exchange);
}

void effect_executor::addPeerRequest(request_number number, std::function<void(peer_reply)> sender)
{
    m_peerRequests.emplace(number, std::move(sender));
}

void effect_executor::readStream(const read_stream& effect)
{
    m_targets.log.read(effect.stream, effect.from, effect.maxRecords, effect.wait,
        [this, stream = effect.stream, from = effect.from](result_code code, log_page page) {
            m_onEvent(log_read_ended { stream, from, code, std::move(page) });
        });
}

void effect_executor::appendStream(const append_stream& effect)
{
    m_targets.log.append(effect.stream, effect.records, [this, append = effect.append](result_code code, std::uint64_t first) {
        m_onEvent(append_ended { append, code, first });
    });
}

void effect_executor::askPeer(const ask_peer& effect)
{
    m_targets.peers.request(effect.address, effect.request, effect.timeout,
        [this, number = effect.number](std::error_code error, peer_reply reply) {
            m_onEvent(peer_reply_received { number, codeOf(error), std::move(reply) });
        });
}

void effect_executor::answerPeer(const answer_peer& effect)
{
    const auto it = m_peerRequests.find(effect.number);
    if (it == m_peerRequests.end())
        return;
    const std::function<void(peer_reply)> sender = std::move(it->second);
    m_peerRequests.erase(it);
    sender(effect.reply);
}

void effect_executor::answerRequest(const answer_request& effect)
{
    const auto it = m_exchanges.find(effect.number);
    if (it == m_exchanges.end())
        return;
    const http_exchange exchange = it->second;
    m_exchanges.erase(it);
    http_response response = jsonResponse(effect.httpStatus, effect.body);
    if (effect.httpStatus >= 400)
        response.headers.front().value = "application/problem+json";
    exchange.respond(std::move(response));
}

void effect_executor::refuse(const refuse_call& effect)
{
    const auto it = m_exchanges.find(effect.number);
    if (it == m_exchanges.end()) {
        m_targets.proxy.refuse(effect);
        return;
    }
    const http_exchange exchange = it->second;
    m_exchanges.erase(it);
    exchange.respond(problemResponse(effect.code, effect.detail, {}, effect.retryAfter));
}

void effect_executor::openStream(const open_engine_stream& effect)
{
    const std::uint64_t number = effect.stream;
    const http_call_handle handle = m_targets.engines.complete(
        addressOf(effect.address), effect.request, effect.timeout,
        [this, number](completion_chunk chunk) { m_onEvent(engine_chunk_received { number, std::move(chunk) }); },
        [this, number](const http_outcome& outcome) {
            m_streams.erase(number);
            m_onEvent(engine_stream_ended { number, outcome.code, outcome.detail });
        });
    m_streams[number] = { handle, effect.address, effect.request.requestId };
}

void effect_executor::closeStream(const close_engine_stream& effect)
{
    const auto it = m_streams.find(effect.stream);
    if (it == m_streams.end())
        return;
    it->second.handle.cancel();
    m_targets.engines.cancel(addressOf(it->second.address), it->second.requestId);
    m_streams.erase(it);
}

void effect_executor::askScorer(const ask_scorer& effect)
{
    m_targets.scorers.score(addressOf(effect.address), effect.request, effect.timeout,
        [this, score = effect.score](std::optional<double> reward) { m_onEvent(score_ended { score, reward }); });
}

void effect_executor::readEngine(const read_engine_state& effect)
{
    m_targets.engines.readState(addressOf(effect.address), [this, vm = effect.vm](std::optional<engine_state> state) {
        m_onEvent(engine_state_read { vm, state });
    });
}

void effect_executor::sendOrder(const send_weight_order& effect)
{
    m_targets.engines.orderLoad(addressOf(effect.address), effect.model, effect.weights, effect.fencing,
        [this, vm = effect.vm](order_answer answer) { m_onEvent(weight_order_ended { vm, answer }); });
}

}
