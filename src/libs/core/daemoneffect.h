#pragma once

#include "callmessage.h"
#include "enginemessage.h"
#include "logpage.h"
#include "membership.h"
#include "peermessage.h"
#include "timelineevent.h"

#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Read a stream of the log; answered with log_read_ended.
struct read_stream {
    std::string stream;
    std::uint64_t from = 0;
    std::size_t maxRecords = 0;
    /// How long the log waits for a new record when there is none at \c from.
    duration wait {};
};

/// Append records to a stream; answered with append_ended.
struct append_stream {
    std::uint64_t append = 0;
    std::string stream;
    std::vector<log_append> records;
};

/// Read the VM list; answered with vm_list_read.
struct read_vm_list { };

/// Send a request to a peer; answered with peer_reply_received.
struct ask_peer {
    request_number number = 0;
    /// "ip:port" of the peer channel.
    std::string address;
    peer_request request;
    duration timeout {};
};

/// Answer a request of a peer.
struct answer_peer {
    request_number number = 0;
    peer_reply reply;
};

/// Answer a request of a caller or an operator with a JSON document.
struct answer_request {
    request_number number = 0;
    int httpStatus = 200;
    std::string body;
};

/// Start a completion stream at an engine; engine_chunk_received and engine_stream_ended carry the same \c stream.
struct open_engine_stream {
    std::uint64_t stream = 0;
    std::string address;
    completion_request request;
    duration timeout {};
};

/// Stop a stream, here and at the engine. No further event of the stream follows.
struct close_engine_stream {
    std::uint64_t stream = 0;
};

/// Ask a scorer for a reward; answered with score_ended.
struct ask_scorer {
    std::uint64_t score = 0;
    std::string address;
    score_request request;
    duration timeout {};
};

/// Ask a replica for its state; answered with engine_state_read.
struct read_engine_state {
    std::string vm;
    std::string address;
};

/// Ask the weight store for the versions of a model; answered with versions_read.
struct read_versions {
    std::string model;
};

/// Order a replica to load weights; answered with weight_order_ended.
struct send_weight_order {
    std::string vm;
    std::string address;
    std::string model;
    weight_version weights;
    std::uint64_t fencing = 0;
};

/// Add an event to the time line.
struct add_timeline_event {
    event_kind kind = event_kind::RequestReceived;
    std::string subject;
    result_code code = result_code::Ok;
    std::string detail;
};

using daemon_effect = std::variant<read_stream, append_stream, read_vm_list, send_message, ask_peer, answer_peer,
    answer_request, start_attempt, stop_attempt, forward_answer, replay_answer, refuse_call, open_engine_stream,
    close_engine_stream, ask_scorer, read_engine_state, read_versions, send_weight_order, add_timeline_event>;

/// Effects in the order in which they have to be carried out.
using daemon_effects = std::vector<daemon_effect>;

}
