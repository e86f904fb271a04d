#include "daemonprocess.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ragwortreach::Tests {

daemon_process::daemon_process(const std::string& folder, const nlohmann::json& settings)
    : m_settings(settings)
{
    const std::string path = folder + "/" + vm() + ".json";
    std::ofstream(path) << settings.dump();
    const char* buildDir = std::getenv("RAGWORTREACH_BUILD_DIR");
    std::string program = std::string(buildDir ? buildDir : ".") + "/src/apps/ragwortreachd/ragwortreachd";
    std::string flag = "--settings=" + path;
    std::array<char*, 3> arguments { program.data(), flag.data(), nullptr };
    if (posix_spawn(&m_pid, program.c_str(), nullptr, nullptr, arguments.data(), environ) != 0)
        throw std::runtime_error("cannot start " + program);
}

daemon_process::~daemon_process()
{
    killAndWait();
}

void daemon_process::signal(int signal) const
{
    if (isRunning())
        kill(m_pid, signal);
}

int daemon_process::wait()
{
    int status = 0;
    if (isRunning())
        waitpid(m_pid, &status, 0);
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void daemon_process::killAndWait()
{
    signal(SIGKILL);
    wait();
}

}
