#include "loaddriver.h"

#include <algorithm>

namespace ragwortreach {

load_driver::load_driver(const load_plan& plan)
    : m_plan(plan)
    , m_client(m_context)
    , m_deadline(m_context)
{
    std::uint64_t seed = m_plan.seed;
    for (const customer_plan& customer : m_plan.customers)
        m_customers.push_back(std::make_unique<customer_load>(m_context, m_client, m_plan, customer, seed++));
    for (const trainer_plan& trainer : m_plan.trainers)
        m_trainers.push_back(std::make_unique<trainer_load>(m_context, m_client, m_plan, trainer));
}

load_report load_driver::run()
{
    for (const std::unique_ptr<customer_load>& customer : m_customers)
        customer->start([this] { stopWhenIdle(); });
    for (const std::unique_ptr<trainer_load>& trainer : m_trainers)
        trainer->start([this] { stopWhenIdle(); });
    m_deadline.expires_after(m_plan.arrivalPeriod + m_plan.grace);
    m_deadline.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            m_context.stop();
    });
    m_context.run();
    load_report report;
    for (const std::unique_ptr<customer_load>& customer : m_customers)
        report.customers.push_back(customer->report());
    for (const std::unique_ptr<trainer_load>& trainer : m_trainers)
        report.trainers.push_back(trainer->report());
    return report;
}

void load_driver::stopWhenIdle()
{
    const bool areCustomersIdle = std::all_of(m_customers.begin(), m_customers.end(), [](const std::unique_ptr<customer_load>& customer) { return customer->isIdle(); });
    const bool areTrainersIdle = std::all_of(m_trainers.begin(), m_trainers.end(), [](const std::unique_ptr<trainer_load>& trainer) { return trainer->isIdle(); });
    if (areCustomersIdle && areTrainersIdle)
        m_context.stop();
}

}
