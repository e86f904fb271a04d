#pragma once

#include <algorithm>

namespace ragwortreach {

struct retry_budget_settings {
    /// Retries added to the budget by each success.
    double retriesPerSuccess = 0.1;
    /// Largest budget, also the initial one.
    double maxRetries = 20;
};

/// Limits retries to a share of the successful calls, so that failures do not multiply the load.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_settings& settings)
        : m_settings(settings)
        , m_retries(settings.maxRetries)
    {
    }

    void addSuccess() { m_retries = std::min(m_settings.maxRetries, m_retries + m_settings.retriesPerSuccess); }

    /// Returns whether a retry may be sent, and if so deducts it from the budget.
    bool takeRetry()
    {
        if (m_retries < 1)
            return false;
        m_retries -= 1;
        return true;
    }

    double retries() const { return m_retries; }

private:
    retry_budget_settings m_settings;
    double m_retries;
};

}
