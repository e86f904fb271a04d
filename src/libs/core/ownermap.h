#pragma once

#include "member.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

class membership;

/// Assigns batches and relays to members by rendezvous hashing.
///
/// Only eligible members take part. Views that agree give the same answer; a member that goes moves only
/// what it had.
class owner_map {
public:
    owner_map() = default;
    explicit owner_map(std::span<const member> members);
    explicit owner_map(const membership& view);

    /// VM that owns batch \a batch in \a dataCentre; empty when no member is eligible.
    ///
    /// Members of all data centres are candidates when none is eligible in \a dataCentre.
    std::string ownerOf(std::string_view batch, std::string_view dataCentre) const;

    /// Up to \a count VMs for \a key in \a dataCentre, the owner first.
    std::vector<std::string> candidates(std::string_view key, std::string_view dataCentre, std::size_t count) const;

    /// Up to \a count VMs of \a dataCentre that read the log for the others.
    std::vector<std::string> relaysOf(std::string_view dataCentre, std::size_t count) const;

private:
    struct node {
        std::string vm;
        std::string dataCentre;
        std::uint64_t hash = 0;
    };

    void add(const member& candidate);

    std::vector<node> m_nodes;
};

}
