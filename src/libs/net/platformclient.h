#pragma once

#include "endpoint.h"

#include <core/resultcode.h>
#include <core/vmlist.h>
#include <core/weightversion.h>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace ragwortreach {

class http_client;

/// Client of the VM list of the platform.
class vm_list_client {
public:
    vm_list_client(http_client& client, endpoint address);

    /// No list means that the service cannot be reached or that its answer cannot be parsed.
    void read(std::function<void(std::optional<vm_list>)> handler);

private:
    http_client& m_client;
    endpoint m_address;
};

/// Client of the weight store.
class weight_store_client {
public:
    weight_store_client(http_client& client, endpoint address);

    /// Versions of \a model in ascending order.
    void readVersions(std::string_view model, std::function<void(std::optional<std::vector<weight_version>>)> handler);

private:
    http_client& m_client;
    endpoint m_address;
};

}
