#include "site/loopbackblock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace Anvilcart
{
namespace
{
constexpr int FirstNumber = 10;
constexpr int LastNumber = 250;
constexpr int LockFileMode = 0600;
} // namespace

LoopbackBlock::LoopbackBlock()
{
    for (int number = FirstNumber; number <= LastNumber; ++number) {
        const auto path = std::filesystem::temp_directory_path() / ("anvilcart-site-" + std::to_string(number) + ".lock");
        const int file = ::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, LockFileMode);
        if (file < 0) {
            continue;
        }
        if (::flock(file, LOCK_EX | LOCK_NB) == 0) {
            m_number = number;
            m_lockFile = file;
            return;
        }
        ::close(file);
    }
    throw std::runtime_error("every loopback block is in use");
}

LoopbackBlock::~LoopbackBlock()
{
    ::close(m_lockFile);
}

int LoopbackBlock::number() const
{
    return m_number;
}
} // namespace Anvilcart
