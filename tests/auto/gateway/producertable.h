#pragma once

#include <rollout/sharedlog.h>

#include <map>
#include <optional>
#include <string>

namespace ragwortreach {

/// Identities of the last appends to a log for tests, which carries out a repeated append once.
class producer_table {
public:
    /// Outcome of an append that is not to be carried out; nothing for the next one of its producer, which is noted.
    std::optional<append_outcome> admit(const append_identity& identity);

private:
    std::map<std::string, append_identity> m_last;
};

}
