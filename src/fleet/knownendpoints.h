#pragma once

#include "kernel/time.h"

#include <map>
#include <string>

namespace Anvilcart::Fleet
{
/// The endpoints that this process knows, and whether the hosts there may be unknown to it. A host denies a job for the whole fleet only
/// when no endpoint is unexplored. Not thread-safe.
class KnownEndpoints
{
public:
    /// A seed, the store or a peer has named the endpoint.
    void onNamed(const std::string &endpoint, TimePoint now);

    /// The endpoint's host has listed the endpoints that it knows.
    void onListReceived(const std::string &endpoint, TimePoint now);

    /// This host was paused, and received no reports.
    void onPause(Duration pause, TimePoint now);

    /// True until the endpoint's host has listed its endpoints, or has had the time in which any live host reports. An endpoint that is
    /// named again does not get that time again.
    bool isUnexplored(const std::string &endpoint, TimePoint now) const;

    void remove(const std::string &endpoint);

    /// Removes the endpoints that nobody has named lately.
    void removeOld(TimePoint now);

private:
    struct Record
    {
        TimePoint firstNamedAt;
        TimePoint lastNamedAt;
        bool hasSentList = false;
    };

    std::map<std::string, Record> m_records;
};
} // namespace Anvilcart::Fleet
