#include "fleet.h"

#include "record.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {
    constexpr const char* program = "target/src/apps/ragwortreachd/ragwortreachd";
}

fleet::fleet(store& platform, std::size_t daemons)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    if (access(program, X_OK) != 0)
        throw std::runtime_error("the build of the deploy file is missing");
    const std::vector<std::string> ports = freeAddresses(3 * daemons);
    for (std::size_t index = 0; index < daemons; ++index) {
        daemon_state added;
        added.vm = "frontend-zone-a-" + std::to_string(index + 1);
        added.caller = ports[3 * index];
        added.readiness = ports[3 * index + 1];
        added.settings = m_folder + "/" + added.vm + ".conf";
        const json gateway { { "caller", added.caller }, { "readiness", added.readiness }, { "metrics", ports[3 * index + 2] }, { "gossip", ports[3 * index + 2] },
            { "store", platform.address(index) }, { "text_partitions", 8 }, { "processor_share", 0.5 }, { "order_lease_ms", 3000 }, { "stop_s", 8 } };
        const json settings { { "vm", added.vm }, { "data_centre", "zone-a" }, { "region", "region" }, { "log_level", "info" }, { "gateway", gateway } };
        std::ofstream(added.settings) << settings.dump(2);
        m_daemons.push_back(std::move(added));
    }
}

fleet::~fleet()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        signal(index, SIGKILL);
        awaitEnd(index, std::chrono::seconds(10));
    }
    if (!std::getenv("REVIEW_KEEP"))
        std::filesystem::remove_all(m_folder);
}

void fleet::start(std::size_t daemon)
{
    daemon_state& started = m_daemons[daemon];
    const std::string out = m_folder + "/" + started.vm + ".out";
    started.process = fork();
    if (started.process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        close_range(3, ~0U, 0);
        execl(program, program, "--settings", started.settings.c_str(), nullptr);
        _exit(127);
    }
    record("daemon " + started.vm + " starts");
}

void fleet::signal(std::size_t daemon, int number) const
{
    if (m_daemons[daemon].process > 0)
        kill(m_daemons[daemon].process, number);
}

bool fleet::isRunning(std::size_t daemon)
{
    pid_t& process = m_daemons[daemon].process;
    if (process > 0 && waitpid(process, nullptr, WNOHANG) == process)
        process = 0;
    return process > 0;
}

void fleet::awaitEnd(std::size_t daemon, milliseconds longest)
{
    const clock::time_point deadline = clock::now() + longest;
    while (isRunning(daemon) && clock::now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
}

bool fleet::isReady(std::size_t daemon) const
{
    return call(m_daemons[daemon].readiness, "GET", "/api/readyz", { { "Host", "ready" } }, "", std::chrono::seconds(1)).status == 200;
}

bool fleet::awaitReady(std::size_t daemon, milliseconds longest) const
{
    const clock::time_point deadline = clock::now() + longest;
    while (clock::now() < deadline) {
        if (isReady(daemon))
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

std::size_t fleet::memoryBytes(std::size_t daemon) const
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/" + std::to_string(m_daemons[daemon].process) + "/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::string fleet::output(std::size_t daemon) const
{
    std::stringstream text;
    text << std::ifstream(m_folder + "/" + m_daemons[daemon].vm + ".out").rdbuf();
    return text.str();
}

json route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service, int timeoutMs)
{
    json result { { "name", name }, { "host", host }, { "path_prefix", prefix }, { "route_kind", kind }, { "timeout_ms", timeoutMs }, { "full_value_ms", 400 },
        { "priority", 1 }, { "service", service }, { "max_attempts", kind == "non_idempotent" ? 1 : 3 } };
    if (kind == "rollout") {
        result["retention_s"] = 40.0;
        result["result_target_ms"] = 7500;
        result["single_version"] = false;
        result["sticky"] = true;
        result["resumable"] = true;
    }
    return result;
}

json engineService(const std::string& name, const std::vector<std::string>& models, int slots)
{
    json engine { { "slots", slots }, { "kv_capacity", 45343 }, { "models", json::array() } };
    for (const std::string& model : models)
        engine["models"].push_back({ { "name", model } });
    return { { "name", name }, { "health_path", "/healthz" }, { "max_conns", 150 }, { "protocol", "h1" }, { "tls", false }, { "engine", engine } };
}

json plainService(const std::string& name)
{
    return { { "name", name }, { "health_path", "/healthz" }, { "max_conns", 100 }, { "protocol", "h1" }, { "tls", false } };
}

void configure(store& platform, int version, const json& routes, const json& services)
{
    const json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 33554432 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    const json configuration { { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits } };
    platform.put("keyed.op", "config", configuration.dump());
    record("the store acknowledges version " + std::to_string(version) + " of the configuration with " + std::to_string(routes.size()) + " routes");
}

}
