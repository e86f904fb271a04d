#include "record.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <mutex>

namespace review {

namespace {
    std::mutex mutex;
    std::ofstream file;
    std::chrono::steady_clock::time_point start;
}

void openRecord(const std::string& folder)
{
    file.open(folder + "/record.txt");
    start = std::chrono::steady_clock::now();
    record(hasTrouble() ? "run with the disruption" : "run without the disruption");
}

void record(const std::string& line)
{
    const std::lock_guard lock(mutex);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    char time[32];
    snprintf(time, sizeof(time), "%8.3f ", seconds);
    std::string shown;
    for (const char byte : line)
        shown += byte == '\n' ? std::string("\\n") : std::string(1, byte);
    file << time << shown << std::endl;
}

bool hasTrouble()
{
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

}
