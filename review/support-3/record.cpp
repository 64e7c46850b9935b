#include "record.h"

namespace Review
{
Record::Record(const std::string &path)
    : m_file(path)
    , m_start(Anvilcart::Clock::now())
{
}

void Record::note(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const auto elapsed = std::chrono::duration_cast<Anvilcart::Milliseconds>(Anvilcart::Clock::now() - m_start);
    m_file << elapsed.count() << " ms " << text << std::endl;
}

void Record::broken(const std::string &text)
{
    note("BROKEN " + text);
    const std::lock_guard lock(m_mutex);
    ++m_broken;
}

std::size_t Record::brokenCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_broken;
}
} // namespace Review
