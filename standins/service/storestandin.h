#pragma once

#include "kernel/eventloops.h"
#include "model/endpoint.h"

#include <memory>
#include <string>

namespace Anvilcart
{
/// Stand-in for the platform's store: keyed topics of one partition, long-poll reads and injected faults. Thread-safe.
class StoreStandin
{
public:
    StoreStandin(EventLoops &loops, const Endpoint &endpoint);
    ~StoreStandin();

    /// Appends a record; one without a value deletes its key.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// While set, every call is answered with status 503.
    void setUnavailable(bool unavailable);

    /// Lists at most this many keys in one page.
    void setPageSize(std::size_t keys);

    /// Drops all records from the history; the newest record of each key can still be listed.
    void dropHistory();

    /// Number of calls received since construction.
    std::size_t callCount() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart
