#pragma once

#include "enginestandin.h"
#include "platformstandin.h"
#include "scorerstandin.h"
#include "servicestandin.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach::StandIns {

/// The stand-ins that a settings file names: {"servers":[{"role":"platform|engine|service|scorer",...}]}.
class standin_set {
public:
    /// Throws std::exception when a role is unknown or an address cannot be used.
    standin_set(boost::asio::io_context& context, const nlohmann::json& settings);

    /// Addresses in the order of the settings, "ip:port".
    std::vector<std::string> addresses() const;

private:
    using standin = std::variant<std::unique_ptr<platform_standin>, std::unique_ptr<engine_standin>,
        std::unique_ptr<service_standin>, std::unique_ptr<scorer_standin>>;

    std::vector<standin> m_standins;
};

}
