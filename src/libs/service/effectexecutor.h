#pragma once

#include "callproxy.h"

#include <core/daemoneffect.h>
#include <core/daemonevent.h>
#include <net/engineclient.h>
#include <net/logclient.h>
#include <net/platformclient.h>
#include <net/scorerclient.h>

#include <functional>
#include <map>
#include <string>

namespace ragwortreach {

class gossip_socket;
class peer_channel;
class timeline;

/// Connections and clients that the effects of the core use.
struct effect_targets {
    http_client& http;
    log_client& log;
    vm_list_client& vmList;
    weight_store_client& weightStore;
    engine_client& engines;
    scorer_client& scorers;
    gossip_socket& gossip;
    peer_channel& peers;
    call_proxy& proxy;
    timeline& events;
};

/// Carries out the effects of the core and reports their outcomes as events.
class effect_executor {
public:
    using event_handler = std::function<void(daemon_event)>;

    effect_executor(const effect_targets& targets, event_handler onEvent);

    /// Starts to carry out \a effect.
    void carryOut(const daemon_effect& effect);

    /// Stores the exchange of a request until an effect answers it by its \a number, or the caller disconnects.
    void addExchange(request_number number, const http_exchange& exchange);
    /// Stores the function that answers the request of a peer until an effect answers it by its \a number.
    void addPeerRequest(request_number number, std::function<void(peer_reply)> sender);

    std::size_t openStreams() const { return m_streams.size(); }

private:
    /// Stream of a completion that an engine generates.
    struct open_stream {
        http_call_handle handle;
        std::string address;
        std::string requestId;
    };

    void readStream(const read_stream& effect);
    void appendStream(const append_stream& effect);
    void askPeer(const ask_peer& effect);
    void answerPeer(const answer_peer& effect);
    void answerRequest(const answer_request& effect);
    void refuse(const refuse_call& effect);
    void openStream(const open_engine_stream& effect);
    void closeStream(const close_engine_stream& effect);
    void askScorer(const ask_scorer& effect);
    void readEngine(const read_engine_state& effect);
    void sendOrder(const send_weight_order& effect);

    effect_targets m_targets;
    event_handler m_onEvent;
    std::map<request_number, http_exchange> m_exchanges;
    std::map<request_number, std::function<void(peer_reply)>> m_peerRequests;
    std::map<std::uint64_t, open_stream> m_streams;
};

}
