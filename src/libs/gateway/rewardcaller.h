#pragma once

#include "workwatch.h"

#include <net/httpclient.h>
#include <platform/requestcodec.h>
#include <rollout/batchledger.h>
#include <rollout/replicagate.h>
#include <rollout/replicapool.h>
#include <rollout/rewardscheduler.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace ragwortreach {

class log;

/// Sums over the scored reward calls since the start of the process.
struct reward_latency {
    /// Time from sending the calls to their answers, in microseconds.
    std::uint64_t microseconds = 0;
    std::uint64_t calls = 0;
};

/// Sends reward calls to replicas and reports how they ended.
class reward_caller {
public:
    using end_handler = std::function<void(reward_number, const reward_answer&)>;

    reward_caller(http_client& client, const batch_ledger& ledger, const replica_pool& pool, replica_gate& gate, work_watch& work, log& log, end_handler onEnd);
    ~reward_caller();

    void start(const start_reward& effect);
    void cancel(const cancel_reward& effect);
    const reward_latency& latency() const { return m_latency; }

private:
    struct open_call;

    void onResponse(reward_number number, const http_outcome& outcome, const http_response& response);
    /// How a reward call ended, by the outcome and the response.
    reward_answer classifyResponse(const open_call& call, const http_outcome& outcome, const http_response& response) const;

    http_client& m_client;
    const batch_ledger& m_ledger;
    const replica_pool& m_pool;
    replica_gate& m_gate;
    work_watch& m_work;
    log& m_log;
    end_handler m_onEnd;
    std::map<reward_number, std::unique_ptr<open_call>> m_calls;
    reward_latency m_latency;
};

}
