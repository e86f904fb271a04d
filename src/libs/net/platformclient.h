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

/// Client of the platform's VM list service.
class vm_list_client {
public:
    vm_list_client(http_client& client, endpoint address);

    /// \a handler gets no list when the service cannot be reached or its answer cannot be parsed.
    void read(std::function<void(std::optional<vm_list>)> handler);

private:
    http_client& m_client;
    endpoint m_address;
};

/// Client of the platform's weight store.
class weight_store_client {
public:
    weight_store_client(http_client& client, endpoint address);

    /// \a handler gets the versions of \a model in ascending order, or nothing when the store cannot be reached or its answer
    /// cannot be parsed.
    void readVersions(std::string_view model, std::function<void(std::optional<std::vector<weight_version>>)> handler);

private:
    http_client& m_client;
    endpoint m_address;
};

}
