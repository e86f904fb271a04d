#pragma once

#include "callmessage.h"
#include "enginemessage.h"
#include "logpage.h"
#include "membership.h"
#include "peermessage.h"
#include "vmlist.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Time passed; sent every 50 ms.
struct daemon_tick { };

/// A read of a stream ended. LogTruncated comes with firstRetained and end only.
struct log_read_ended {
    std::string stream;
    std::uint64_t from = 0;
    result_code code = result_code::Ok;
    log_page page;
};

/// An append ended: Ok, LogUnavailable when nothing was written, AppendUnknown when the reply was lost.
struct append_ended {
    std::uint64_t append = 0;
    result_code code = result_code::Ok;
    std::uint64_t first = 0;
};

/// The VM list was read; no list when it cannot be reached.
struct vm_list_read {
    std::optional<vm_list> list;
};

/// A peer asks something; it is answered with answer_peer.
struct peer_request_received {
    request_number number = 0;
    peer_request request;
};

/// A peer answered, or did not when \a code is not Ok.
struct peer_reply_received {
    request_number number = 0;
    result_code code = result_code::Ok;
    peer_reply reply;
};

/// A trainer asks for something about a batch. The requests are those that peers forward.
struct batch_request_received {
    request_number number = 0;
    peer_request request;
};

/// An operator submits an edit under a record id.
struct edit_submitted {
    request_number number = 0;
    std::string recordId;
    /// Record for the stream `catalogue`.
    std::string data;
};

/// Tokens of a stream arrived.
struct engine_chunk_received {
    std::uint64_t stream = 0;
    completion_chunk chunk;
};

/// A stream ended; Ok only with a finish reason.
struct engine_stream_ended {
    std::uint64_t stream = 0;
    result_code code = result_code::Ok;
    std::string detail;
};

/// The scorer answered; no reward when it failed.
struct score_ended {
    std::uint64_t score = 0;
    std::optional<double> reward;
};

/// A replica reported its state; none when it cannot be reached.
struct engine_state_read {
    std::string vm;
    std::optional<engine_state> state;
};

/// The weight store listed the versions of a model; none when it cannot be reached.
struct versions_read {
    std::string model;
    std::optional<std::vector<weight_version>> versions;
};

/// A replica answered an order.
struct weight_order_ended {
    std::string vm;
    order_answer answer;
};

/// The process was asked to stop.
struct drain_requested { };

using daemon_event = std::variant<daemon_tick, log_read_ended, append_ended, vm_list_read, message_received,
    peer_request_received, peer_reply_received, batch_request_received, edit_submitted, call_arrived, attempt_ended,
    caller_gone, engine_chunk_received, engine_stream_ended, score_ended, engine_state_read, versions_read,
    weight_order_ended, drain_requested>;

}
