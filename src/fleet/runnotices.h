#pragma once

#include "kernel/time.h"

#include <map>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// The jobs that ran and were given up since by this dispatcher, or whose result came to this entry host after their callers had gone. All
/// hosts are told of them, since the caller of a lost connection sends its job again over any host, to a dispatcher that would take it for
/// one that never ran. Not thread-safe.
class RunNotices
{
public:
    /// Adds a job that had a run.
    void add(const std::string &jobId);

    /// The jobs to name to every host now. Empty until the period since the last ones is over.
    std::vector<std::string> takeDue(Duration period, TimePoint now);

    /// The jobs that were named lately, for a host that could not be told then.
    std::vector<std::string> recent(TimePoint now) const;

private:
    /// How often each job is still named.
    std::map<std::string, int> m_remaining;
    TimePoint m_nextAt;
    /// When each job was named last.
    std::map<std::string, TimePoint> m_namedAt;
};
} // namespace Anvilcart::Fleet
