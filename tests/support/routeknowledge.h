#pragma once

#include <rollout/fact.h>
#include <rollout/routetable.h>

#include <variant>
#include <vector>

namespace ragwortreach {

/// What a daemon of a fact_network knows of the configuration.
struct route_knowledge {
    route_table routes;

    bool merge(const fact& item, instant) { return routes.noteRead(std::get<configuration_read>(item)); }
    std::vector<fact> facts() const { return routes.newestRead().version == 0 ? std::vector<fact> {} : std::vector<fact> { routes.newestRead() }; }
};

}
