#pragma once

#include <net/httpserver.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// How the stand-in answers calls.
enum class duty_behaviour {
    Accepting,
    /// Status 429.
    TooMany,
    /// Carries the call out and sends no answer.
    Silent,
};

/// One call that arrived.
struct duty_record {
    std::string path;
    std::string holder;
    std::uint64_t fencingToken = 0;
    std::string text;
    bool isCarriedOut = false;

    nlohmann::json body() const { return nlohmann::json::parse(text); }
};

/// Stand-in of the platform's interface for calls that one daemon at a time makes. It compares no fencing tokens. May only
/// be used on the thread of its io_context.
class duty_standin {
public:
    explicit duty_standin(boost::asio::io_context& context);

    std::string address() const;
    void setBehaviour(duty_behaviour behaviour) { m_behaviour = behaviour; }

    const std::vector<duty_record>& calls() const { return m_calls; }
    /// Counts of the windows that were reported, by window.
    const std::map<std::uint64_t, nlohmann::json>& windows() const { return m_windows; }
    /// Requests of \a organisation in all windows.
    std::uint64_t requestsOf(const std::string& organisation) const;
    /// Windows that were reported with other counts before.
    int conflicts() const { return m_conflicts; }
    /// Calls with a lower fencing token than an earlier one of the same path.
    int lowerTokens() const { return m_lowerTokens; }

private:
    void answer(const http_exchange& exchange);
    void carryOut(const duty_record& call);

    http_server m_server;
    duty_behaviour m_behaviour = duty_behaviour::Accepting;
    std::vector<duty_record> m_calls;
    std::vector<http_exchange> m_unanswered;
    std::map<std::uint64_t, nlohmann::json> m_windows;
    std::map<std::string, std::uint64_t> m_highestTokens;
    int m_conflicts = 0;
    int m_lowerTokens = 0;
};

}
