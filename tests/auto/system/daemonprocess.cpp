#include "daemonprocess.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ragwortreach::Tests {

namespace {

    /// Exit code when the program cannot be started, the same as in shells.
    constexpr int exitNotFound = 127;
    /// First file descriptor after standard input, output and error.
    constexpr unsigned int firstInheritedDescriptor = 3;

}

daemon_process::daemon_process(const std::string& folder, const nlohmann::json& settings, const std::string& otherProgram)
    : m_settings(settings)
{
    const std::string path = folder + "/" + vm() + ".json";
    std::ofstream(path) << settings.dump();
    const char* buildDir = std::getenv("RAGWORTREACH_BUILD_DIR");
    std::string program = otherProgram.empty() ? std::string(buildDir ? buildDir : ".") + "/src/apps/ragwortreachd/ragwortreachd" : otherProgram;
    std::string flag = "--settings=" + path;
    std::array<char*, 3> arguments { program.data(), flag.data(), nullptr };
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork a process for " + program);
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        // The daemon must not inherit the sockets of the stand-ins: their ports would stay in use after this process
        // closes them.
        close_range(firstInheritedDescriptor, ~0U, 0);
        execv(program.c_str(), arguments.data());
        _exit(exitNotFound);
    }
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
