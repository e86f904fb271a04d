#pragma once

#include "endpointrotation.h"
#include "loadplan.h"
#include "loadreport.h"

#include <core/weightversion.h>
#include <net/httpclient.h>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <set>
#include <string>

namespace ragwortreach {

/// Load of one trainer: opens batches one after the other, fetches until it holds all samples, then simulates training by
/// waiting and publishes the next weight version.
///
/// A failed call is retried at the callers' port of the next daemon under the same batch id.
class trainer_load {
public:
    trainer_load(boost::asio::io_context& context, http_client& client, const load_plan& plan, const trainer_plan& trainer);

    /// \a onIdle is called when the last batch has ended.
    void start(std::function<void()> onIdle);
    bool isIdle() const { return m_isIdle; }
    /// Counts so far; an open batch counts as unfinished.
    trainer_report report() const;

private:
    using clock = std::chrono::steady_clock;
    using answer_handler = void (trainer_load::*)(const http_response& response);

    /// Reads the newest weight version from the weight store.
    void readVersions();
    void nextBatch();
    void openBatch();
    void onOpened(const http_response& response);
    void fetch();
    /// Body of the next fetch, with the slots that the trainer holds. \a wait is the time for which the daemon may hold the
    /// request until samples are available.
    std::string fetchBody(std::chrono::milliseconds wait);
    void onFetched(const http_response& response);
    /// Reports all slots as held with a last fetch, so that the daemon closes the batch. A failure is retried a few times.
    void closeBatch();
    void onClosed(const http_response& response);
    /// Waits for the training time.
    void train();
    /// Publishes the next adapter version, if there is a weight store.
    void publish();
    void post(const endpoint& address, const std::string& target, const std::string& body, answer_handler onAnswer);
    /// Counts the failure, and retries or abandons the batch.
    void onFailure(result_code code, const http_response& response);
    /// Calls \a step after \a time.
    void runAfter(std::chrono::milliseconds time, void (trainer_load::*step)());
    std::uint32_t sampleCount() const { return m_trainer.groups * m_trainer.samplesPerGroup; }

    http_client& m_client;
    const load_plan& m_plan;
    const trainer_plan& m_trainer;
    endpoint_rotation m_callerEndpoints;
    boost::asio::steady_timer m_timer;
    clock::time_point m_end;
    clock::time_point m_openedAt;
    std::function<void()> m_onIdle;
    weight_version m_version { 1, 0 };
    std::string m_batch;
    std::uint64_t m_batchNumber = 0;
    std::uint64_t m_fetchNumber = 0;
    std::set<std::uint32_t> m_heldSlots;
    std::uint32_t m_closingCallsLeft = 0;
    bool m_isBatchOpen = false;
    bool m_isIdle = false;
    trainer_report m_report;
};

}
