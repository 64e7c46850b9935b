#include "record.h"

#include <cstdio>

namespace Anvilcart::Review
{
Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f s  ", toMilliseconds(Clock::now() - m_startedAt) / 1000);
    m_file << time << line << std::endl;
}

void Record::addViolation(const std::string &line)
{
    add("BROKEN " + line);
    const std::lock_guard lock(m_mutex);
    ++m_violations;
}

int Record::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}
} // namespace Anvilcart::Review
