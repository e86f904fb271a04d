#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortreach {

/// What a VM of the list is for.
enum class vm_role {
    Entry,
    Upstream,
};

/// VM as the list of the platform names it. Addresses are "ip:port"; those that a role lacks are empty.
struct listed_vm {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string region;
    vm_role role = vm_role::Entry;
    /// Name of the upstream that the VM is a replica of.
    std::string upstream;
    std::string address;
    std::string admin;
    std::string gossip;
    std::string peer;
    bool isLeaving = false;
};

/// List of live and leaving VMs. A higher revision replaces a lower one.
struct vm_list {
    std::uint64_t revision = 0;
    std::vector<listed_vm> vms;
};

}
