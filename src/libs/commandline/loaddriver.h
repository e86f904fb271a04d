#pragma once

#include "customerload.h"
#include "loadplan.h"
#include "loadreport.h"
#include "trainerload.h"

#include <net/httpclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace ragwortreach {

/// Plays the customers and trainers of a plan against callers' ports.
class load_driver {
public:
    explicit load_driver(const load_plan& plan);

    /// Blocks until all customers have their answers and all trainers are done, at most for the time of the plan and
    /// its grace time.
    load_report run();

private:
    void stopWhenIdle();

    load_plan m_plan;
    boost::asio::io_context m_context;
    http_client m_client;
    boost::asio::steady_timer m_deadline;
    std::vector<std::unique_ptr<customer_load>> m_customers;
    std::vector<std::unique_ptr<trainer_load>> m_trainers;
};

}
