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

/// Generates the load of the customers and trainers of a plan on the callers' ports of daemons.
class load_driver {
public:
    explicit load_driver(const load_plan& plan);

    /// Blocks until all customers have their answers and all trainers are done, at most for the arrival period plus the
    /// grace period of the plan.
    load_report run();

private:
    /// Ends run() if no customer and no trainer has work left.
    void stopWhenIdle();

    load_plan m_plan;
    boost::asio::io_context m_context;
    http_client m_client;
    boost::asio::steady_timer m_deadline;
    std::vector<std::unique_ptr<customer_load>> m_customers;
    std::vector<std::unique_ptr<trainer_load>> m_trainers;
};

}
