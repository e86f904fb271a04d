#pragma once

#include "journal.h"
#include "rewardcaller.h"

#include <net/httpclient.h>
#include <platform/requestcodec.h>
#include <rollout/itemscheduler.h>

#include <map>
#include <memory>

namespace ragwortreach {

class log;

/// Carries out what the scheduler of items decides: streams from replicas and records in the journal.
class item_runner {
public:
    item_runner(boost::asio::io_context& context, http_client& client, journal& journal, item_scheduler& scheduler, replica_pool& pool, log& log);
    ~item_runner();

    /// Lets the scheduler decide and carries out its effects.
    void run();
    /// Ends all runs and leaves their text so far in the journal.
    void handOver();
    const reward_latency& rewardLatency() const { return m_rewards.latency(); }

private:
    struct stream;
    class effect_visitor;

    void executeEffects();
    void start(const start_run& effect);
    void cancel(const cancel_run& effect);
    void readHead(run_number run, const http_response_head& head);
    void readBody(run_number run, std::string_view piece);
    void abortMalformedStream(run_number run);
    void finishRun(run_number run, const http_outcome& outcome);
    run_end classifyEnd(const stream& stream, const http_outcome& outcome) const;
    void scheduleRun();

    boost::asio::io_context& m_context;
    http_client& m_client;
    journal& m_journal;
    item_scheduler& m_scheduler;
    replica_pool& m_pool;
    log& m_log;
    reward_caller m_rewards;
    std::map<run_number, std::unique_ptr<stream>> m_streams;
    bool m_isRunScheduled = false;
    bool m_isStopped = false;
};

}
