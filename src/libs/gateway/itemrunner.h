#pragma once

#include "contentsfetcher.h"
#include "journal.h"
#include "progressstore.h"
#include "rewardcaller.h"
#include "workwatch.h"

#include <net/httpclient.h>
#include <platform/requestcodec.h>
#include <rollout/itemscheduler.h>

#include <map>
#include <memory>

namespace ragwortreach {

class log;

/// Executes the effects that the item scheduler decides on: streams from replicas, reward calls, journal records and the
/// hand-over of texts.
class item_runner {
public:
    item_runner(boost::asio::io_context& context, http_client& client, journal& journal, progress_store& progress, item_scheduler& scheduler, replica_pool& pool, replica_gate& gate, log& log);
    ~item_runner();

    /// Lets the scheduler decide and executes its effects.
    void run();
    /// Ends all runs and hands their partial texts over to the next owner.
    void handOver();
    const reward_latency& rewardLatency() const { return m_rewards.latency(); }
    const work_counters& workCounters() const { return m_work.counters(); }

private:
    struct stream;
    class effect_visitor;

    void executeEffects();
    void start(const start_run& effect);
    void logResumption(const start_run& effect, const batch_item& item) const;
    void cancel(const cancel_run& effect);
    void write(const write_record& effect);
    void readHead(run_number run, const http_response_head& head);
    void readBody(run_number run, std::string_view piece);
    /// Ends a run whose stream cannot be parsed.
    void abortMalformedStream(run_number run);
    void finishRun(run_number run, const http_outcome& outcome);
    /// How a run ended, by the outcome of its stream.
    run_end classifyEnd(const stream& stream, const http_outcome& outcome) const;
    /// Posts a call of run(), unless one is posted already.
    void scheduleRun();

    boost::asio::io_context& m_context;
    http_client& m_client;
    journal& m_journal;
    progress_store& m_progress;
    item_scheduler& m_scheduler;
    replica_pool& m_pool;
    replica_gate& m_gate;
    log& m_log;
    work_watch m_work;
    contents_fetcher m_contents;
    reward_caller m_rewards;
    std::map<run_number, std::unique_ptr<stream>> m_streams;
    bool m_isRunScheduled = false;
    bool m_isStopped = false;
};

}
