#include "standinset.h"

#include <xxhash.h>

#include <map>
#include <stdexcept>

using nlohmann::json;

namespace ragwortreach::StandIns {

namespace {

    /// Tokens are numbers below this.
    constexpr std::uint64_t vocabularySize = 50'000;

}

std::uint32_t tokenAt(std::string_view prompt, std::uint64_t seed, std::uint64_t position)
{
    const std::uint64_t promptHash = XXH64(prompt.data(), prompt.size(), seed);
    return static_cast<std::uint32_t>(XXH64(&position, sizeof(position), promptHash) % vocabularySize);
}

std::vector<standin_server_ptr> startStandIns(boost::asio::io_context& context, const json& settings)
{
    using starter = standin_server_ptr (*)(boost::asio::io_context&, const json&);
    const std::map<std::string, starter> starters = {
        { "platform", startPlatform }, { "engine", startEngine }, { "service", startService }, { "scorer", startScorer }
    };
    std::vector<standin_server_ptr> servers;
    for (const json& server : settings.at("servers")) {
        const std::map<std::string, starter>::const_iterator found = starters.find(server.value("role", ""));
        if (found == starters.end())
            throw std::invalid_argument("role: got " + server.value("role", "") + ", expected platform, engine, service or scorer");
        servers.push_back(found->second(context, server));
    }
    return servers;
}

}
