#pragma once

#include "callerrotation.h"
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

/// One trainer: opens batches one after the other, fetches with the slots that it holds, trains and publishes.
///
/// A call that fails is repeated at the next caller's port under the same batch id.
class trainer_load {
public:
    trainer_load(boost::asio::io_context& context, http_client& client, const load_plan& plan, const trainer_plan& trainer);

    /// \a onIdle is called after the last batch.
    void start(std::function<void()> onIdle);
    bool isIdle() const { return m_isIdle; }
    /// A batch under way counts as unfinished.
    trainer_report report() const;

private:
    using clock = std::chrono::steady_clock;
    using answer_handler = void (trainer_load::*)(const http_response& response);

    void readVersions();
    void nextBatch();
    void openBatch();
    void onOpened(const http_response& response);
    void fetch();
    /// Body of the next fetch.
    std::string fetchText(std::chrono::milliseconds wait);
    void onFetched(const http_response& response);
    /// Tells the daemon that the trainer holds the whole batch.
    void closeBatch();
    void onClosed(const http_response& response);
    void train();
    void publish();
    void post(const endpoint& address, const std::string& target, const std::string& body, answer_handler onAnswer);
    void onFailure(result_code code, const http_response& response);
    void after(std::chrono::milliseconds time, void (trainer_load::*step)());
    std::uint32_t sampleCount() const { return m_trainer.groups * m_trainer.samplesPerGroup; }

    http_client& m_client;
    const load_plan& m_plan;
    const trainer_plan& m_trainer;
    caller_rotation m_callers;
    boost::asio::steady_timer m_timer;
    clock::time_point m_end;
    clock::time_point m_opened;
    std::function<void()> m_onIdle;
    weight_version m_version { 1, 0 };
    std::string m_batch;
    std::uint64_t m_batchNumber = 0;
    std::uint64_t m_fetchNumber = 0;
    std::set<std::uint32_t> m_held;
    std::uint32_t m_closingCallsLeft = 0;
    bool m_isBatchOpen = false;
    bool m_isIdle = false;
    trainer_report m_report;
};

}
