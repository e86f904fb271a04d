#pragma once

#include "peertable.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Interface by which calls are passed on to another daemon while this one does not reach the replicas.
class call_peers {
public:
    virtual ~call_peers() = default;

    /// Whether this daemon reaches replicas, as far as is known.
    virtual bool hasAccess() const = 0;
    /// Whether the last attempt at a replica hung and none was reached since.
    virtual bool isAccessDoubtful() const = 0;
    /// Daemon to pass a call on to, none of \a excluded.
    virtual std::optional<peer> choosePeer(std::span<const std::string> excluded) = 0;
    /// The daemon on \a vm did not answer a call, or did not run it.
    virtual void notePeerFailed(std::string_view vm) = 0;
};

}
