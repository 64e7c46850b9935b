#pragma once

#include <memory>
#include <string>
#include <vector>

namespace Anvilcart
{
/// A process that this one started; it is killed when this object goes.
class ChildProcess
{
public:
    /// Starts a program with its output in the given files. Throws std::runtime_error when it cannot be started.
    ChildProcess(const std::string &program,
                 const std::vector<std::string> &arguments,
                 const std::string &outputFile,
                 const std::string &errorFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends SIGKILL and waits for the end.
    void kill();

    /// Sends SIGTERM; wait() tells how it ended.
    void terminate();

    /// Sends SIGSTOP.
    void freeze();

    /// Sends SIGCONT.
    void thaw();

    /// Waits for the end and returns the exit code; -1 when a signal ended it.
    int wait();

    /// True until the process has ended.
    bool isRunning();

    /// The id of the process.
    int id() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};
} // namespace Anvilcart
