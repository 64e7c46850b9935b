#include "kernel/hangupsignal.h"

#include <csignal>

namespace Anvilcart
{
namespace
{
void changeMask(int how)
{
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGHUP);
    ::pthread_sigmask(how, &signals, nullptr);
}
} // namespace

void blockHangup()
{
    changeMask(SIG_BLOCK);
}

void unblockHangup()
{
    changeMask(SIG_UNBLOCK);
}
} // namespace Anvilcart
