#include "platformclient.h"

#include "httpclient.h"

#include <core/jsonreader.h>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::chrono::seconds answerTimeout { 2 };

    listed_vm parseVm(const json& item)
    {
        listed_vm vm;
        vm.vm = item.at("vm").get<std::string>();
        vm.incarnation = wholeNumber<std::uint64_t>(item.at("incarnation"));
        vm.dataCentre = item.at("data_centre").get<std::string>();
        vm.region = item.value("region", std::string());
        vm.role = item.at("role").get<std::string>() == "upstream" ? vm_role::Upstream : vm_role::Entry;
        vm.upstream = item.value("upstream", std::string());
        vm.address = item.at("address").get<std::string>();
        vm.admin = item.value("admin", std::string());
        vm.gossip = item.value("gossip", std::string());
        vm.peer = item.value("peer", std::string());
        vm.isLeaving = item.at("state").get<std::string>() == "leaving";
        return vm;
    }

    std::optional<vm_list> parseList(std::string_view text)
    {
        try {
            const json body = parseJson(text);
            vm_list list;
            list.revision = wholeNumber<std::uint64_t>(body.at("revision"));
            const json& vms = body.at("vms");
            for (auto it = vms.begin(); it != vms.end(); ++it)
                list.vms.push_back(parseVm(*it));
            return list;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    std::optional<std::vector<weight_version>> parseVersions(std::string_view text)
    {
        try {
            const json body = parseJson(text);
            const json& list = body.at("versions");
            std::vector<weight_version> versions;
            for (auto it = list.begin(); it != list.end(); ++it)
                versions.push_back({ wholeNumber<std::uint64_t>(it->at("base")), wholeNumber<std::uint64_t>(it->at("adapter")) });
            return versions;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    void readDocument(http_client& client, const endpoint& address, std::string target,
        std::function<void(std::optional<std::string_view>)> handler)
    {
        http_request request;
        request.target = std::move(target);
        http_call_options options;
        options.timeout = answerTimeout;
        client.callBuffered(address, std::move(request), options,
            [whenDone = std::move(handler)](const http_outcome& outcome, const http_response& response) {
                if (outcome.code != result_code::Ok || response.status != 200) {
                    whenDone(std::nullopt);
                    return;
                }
                whenDone(response.body);
            });
    }

}

vm_list_client::vm_list_client(http_client& client, endpoint address)
    : m_client(client)
    , m_address(std::move(address))
{
}

void vm_list_client::read(std::function<void(std::optional<vm_list>)> handler)
{
    readDocument(m_client, m_address, "/vms", [whenDone = std::move(handler)](std::optional<std::string_view> text) {
        whenDone(text ? parseList(*text) : std::nullopt);
    });
}

weight_store_client::weight_store_client(http_client& client, endpoint address)
    : m_client(client)
    , m_address(std::move(address))
{
}

void weight_store_client::readVersions(std::string_view model,
    std::function<void(std::optional<std::vector<weight_version>>)> handler)
{
    readDocument(m_client, m_address, "/models/" + std::string(model) + "/versions",
        [whenDone = std::move(handler)](std::optional<std::string_view> text) {
            whenDone(text ? parseVersions(*text) : std::nullopt);
        });
}

}
