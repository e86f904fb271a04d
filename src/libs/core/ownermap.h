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

/// Assigns batches and catalogue relays to members by rendezvous hashing.
///
/// Only eligible members are candidates. Equal views give equal assignments; when a member leaves or fails, only
/// its own assignments move.
class owner_map {
public:
    owner_map() = default;
    explicit owner_map(std::span<const member> members);
    explicit owner_map(const membership& view);

    /// VM that owns batch \a batch in \a dataCentre; empty when no member is eligible.
    ///
    /// Members of all data centres are candidates when none is eligible in \a dataCentre.
    std::string ownerOf(std::string_view batch, std::string_view dataCentre) const;

    /// Up to \a count VMs for \a key in \a dataCentre in rendezvous order, the owner first.
    ///
    /// Members of all data centres are candidates when none is eligible in \a dataCentre.
    std::vector<std::string> candidates(std::string_view key, std::string_view dataCentre, std::size_t count) const;

    /// Up to \a count VMs of \a dataCentre that read the catalogue from the log and relay it to the other VMs there;
    /// empty when no member of \a dataCentre is eligible.
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
