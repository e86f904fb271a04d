#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortreach {

/// Role of a VM in the VM list.
enum class vm_role {
    /// Runs a daemon that takes requests of callers.
    Entry,
    /// Runs a replica of an upstream.
    Upstream,
};

/// VM in the VM list of the platform. Addresses are "ip:port"; those that its role does not have are empty.
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

/// The platform's list of live and leaving VMs. A list of a higher revision replaces one of a lower revision.
struct vm_list {
    std::uint64_t revision = 0;
    std::vector<listed_vm> vms;
};

}
