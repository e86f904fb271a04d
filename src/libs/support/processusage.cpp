#include "processusage.h"

#include "metrics.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace ragwortreach {

namespace {

    // Indexes of the fields that follow the command name in /proc/self/stat, counted from 0; see proc(5).
    constexpr std::size_t userTimeField = 11;
    constexpr std::size_t systemTimeField = 12;
    constexpr std::size_t threadsField = 17;
    constexpr std::size_t residentPagesField = 21;

    constexpr metric_family cpuFamily { metric_kind::Counter, "process_cpu_seconds_total", "Processor time in user and kernel mode, in seconds." };
    constexpr metric_family residentFamily { metric_kind::Gauge, "process_resident_memory_bytes", "Resident memory, in bytes." };
    constexpr metric_family openFilesFamily { metric_kind::Gauge, "process_open_fds", "Open file descriptors." };
    constexpr metric_family threadsFamily { metric_kind::Gauge, "process_threads", "Threads." };

    std::vector<std::uint64_t> readStatFields()
    {
        std::ifstream file("/proc/self/stat");
        const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        // The last parenthesis ends the command name, which may itself contain spaces and parentheses.
        const std::size_t nameEnd = text.rfind(')');
        if (nameEnd == std::string::npos)
            return {};
        std::istringstream rest(text.substr(nameEnd + 1));
        std::vector<std::uint64_t> fields;
        std::string field;
        while (rest >> field)
            fields.push_back(std::strtoull(field.c_str(), nullptr, 10));
        return fields;
    }

    std::uint64_t countOpenFiles()
    {
        std::error_code error;
        std::uint64_t count = 0;
        std::filesystem::directory_iterator it("/proc/self/fd", error);
        for (; !error && it != std::filesystem::directory_iterator(); it.increment(error))
            ++count;
        return count;
    }

}

process_usage readProcessUsage()
{
    process_usage usage;
    usage.openFiles = countOpenFiles();
    const std::vector<std::uint64_t> fields = readStatFields();
    if (fields.size() <= residentPagesField)
        return usage;
    const double ticks = static_cast<double>(fields[userTimeField] + fields[systemTimeField]);
    usage.cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.residentBytes = fields[residentPagesField] * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    usage.threads = fields[threadsField];
    return usage;
}

void setProcessUsageGauges(metrics& target)
{
    const process_usage usage = readProcessUsage();
    target.set(cpuFamily, {}, usage.cpuSeconds);
    target.set(residentFamily, {}, static_cast<double>(usage.residentBytes));
    target.set(openFilesFamily, {}, static_cast<double>(usage.openFiles));
    target.set(threadsFamily, {}, static_cast<double>(usage.threads));
}

}
