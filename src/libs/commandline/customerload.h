#pragma once

#include "callerrotation.h"
#include "loadplan.h"
#include "loadreport.h"

#include <net/httpclient.h>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <random>
#include <string>

namespace ragwortreach {

/// Customers of one entry: Poisson arrivals from a seed, each with one request.
///
/// Arrivals don't wait for answers, and latencies count from the planned arrival, so that a slow system is not spared.
class customer_load {
public:
    customer_load(boost::asio::io_context& context, http_client& client, const load_plan& plan, const customer_plan& customer, std::uint64_t seed);

    /// \a onIdle is called when no more customers arrive and all have their answers.
    void start(std::function<void()> onIdle);
    bool isIdle() const { return m_isOver && m_inFlight == 0; }
    /// Requests without an answer yet count as broken.
    customer_report report() const;

private:
    using clock = std::chrono::steady_clock;

    void scheduleArrival();
    void send(clock::time_point arrival);
    http_request makeRequest(const std::string& key) const;
    void finish(clock::time_point arrival, const std::string& key, const http_outcome& outcome, const http_response& response);
    void countWhole(clock::time_point arrival);

    http_client& m_client;
    const load_plan& m_plan;
    const customer_plan& m_customer;
    caller_rotation m_callers;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gap;
    clock::time_point m_next;
    clock::time_point m_end;
    std::function<void()> m_onIdle;
    std::uint64_t m_inFlight = 0;
    bool m_isOver = false;
    customer_report m_report;
};

}
