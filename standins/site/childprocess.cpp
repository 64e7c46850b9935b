#include "site/childprocess.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <sys/prctl.h>

#include <csignal>

namespace Anvilcart
{
namespace process = boost::process;

struct ChildProcess::Private
{
    process::child child;
    bool ended = false;
};

ChildProcess::ChildProcess(const std::string &program,
                           const std::vector<std::string> &arguments,
                           const std::string &outputFile,
                           const std::string &errorFile)
    : d(std::make_unique<Private>())
{
    // Without limit_handles the child would inherit locks that a caller of this process holds, and keep them after its death.
    // The signal ends the child also when a test runs into its time limit and is killed.
    const auto dieWithParent = process::extend::on_exec_setup([](auto &) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    });
    d->child = process::child(program,
                              process::args(arguments),
                              process::std_out > outputFile,
                              process::std_err > errorFile,
                              process::limit_handles,
                              dieWithParent);
}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        kill();
    }
}

void ChildProcess::kill()
{
    if (!d->ended) {
        ::kill(id(), SIGKILL);
        wait();
    }
}

void ChildProcess::terminate()
{
    if (!d->ended) {
        ::kill(id(), SIGTERM);
    }
}

void ChildProcess::freeze()
{
    if (!d->ended) {
        ::kill(id(), SIGSTOP);
    }
}

void ChildProcess::thaw()
{
    if (!d->ended) {
        ::kill(id(), SIGCONT);
    }
}

int ChildProcess::wait()
{
    if (!d->ended) {
        std::error_code error;
        d->child.wait(error);
        d->ended = true;
    }
    const int status = d->child.native_exit_code();
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ChildProcess::isRunning()
{
    std::error_code error;
    if (!d->ended && !d->child.running(error)) {
        d->ended = true;
    }
    return !d->ended;
}

int ChildProcess::id() const
{
    return d->child.id();
}
} // namespace Anvilcart
