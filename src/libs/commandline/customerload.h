#pragma once

#include "endpointrotation.h"
#include "loadplan.h"
#include "loadreport.h"

#include <net/httpclient.h>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <random>
#include <string>

namespace ragwortreach {

/// Load of the customers of one entry: Poisson arrivals from a seed, each with one request (open loop).
///
/// Arrivals don't wait for answers, and latencies count from the planned arrival, so that delays of a slow system are
/// measured in full (no coordinated omission).
class customer_load {
public:
    customer_load(boost::asio::io_context& context, http_client& client, const load_plan& plan, const customer_plan& customer, std::uint64_t seed);

    /// \a onIdle is called when the arrivals have ended and no request is in flight.
    void start(std::function<void()> onIdle);
    bool isIdle() const { return m_haveArrivalsEnded && m_inFlight == 0; }
    /// Counts so far; requests in flight count as failed.
    customer_report report() const;

private:
    using clock = std::chrono::steady_clock;

    /// Waits for the next arrival, or ends the arrivals after the arrival period.
    void scheduleArrival();
    void send(clock::time_point arrival);
    http_request makeRequest(const std::string& key) const;
    /// Counts the outcome of one request.
    void countAnswer(clock::time_point arrival, const std::string& key, const http_outcome& outcome, const http_response& response);
    void countCompleteAnswer(clock::time_point arrival);

    http_client& m_client;
    const load_plan& m_plan;
    const customer_plan& m_customer;
    endpoint_rotation m_callerEndpoints;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_interarrivalTime;
    clock::time_point m_nextArrival;
    clock::time_point m_end;
    std::function<void()> m_onIdle;
    std::uint64_t m_inFlight = 0;
    bool m_haveArrivalsEnded = false;
    customer_report m_report;
};

}
