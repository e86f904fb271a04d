#include "standinset.h"

#include <stdexcept>

using nlohmann::json;

namespace ragwortreach::StandIns {

standin_set::standin_set(boost::asio::io_context& context, const json& settings)
{
    for (const json& server : settings.at("servers")) {
        const std::string role = server.value("role", "");
        if (role == "platform")
            m_standins.emplace_back(std::make_unique<platform_standin>(context, server));
        else if (role == "engine")
            m_standins.emplace_back(std::make_unique<engine_standin>(context, server));
        else if (role == "service")
            m_standins.emplace_back(std::make_unique<service_standin>(context, server));
        else if (role == "scorer")
            m_standins.emplace_back(std::make_unique<scorer_standin>(context, server));
        else
            throw std::invalid_argument("unknown role \"" + role + "\"");
    }
}

std::vector<std::string> standin_set::addresses() const
{
    std::vector<std::string> addresses;
    for (const standin& item : m_standins)
        addresses.push_back(std::visit([](const auto& server) { return server->address(); }, item));
    return addresses;
}

}
