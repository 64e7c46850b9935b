#pragma once

#include "claims/claimrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The number of log streams that keys are spread over. Every host of a site must use the same number.
constexpr std::size_t ClaimStreamCount = 1;

/// The stream that holds all records of a key. Thread-safe.
std::size_t claimStreamOf(const std::string &key, std::size_t streams = ClaimStreamCount);

/// Queues records to be appended to the log, by stream. Not thread-safe.
class ClaimOutbox
{
public:
    /// Adds a record to the stream of its key.
    void add(ClaimRecord record);

    /// Removes and returns the next records of a stream, at most as many as one append may hold, in the order in which they were added.
    std::vector<ClaimRecord> takeBatch(std::size_t stream);

    /// Puts records back at the front of the queue so that they are appended again; readers ignore duplicates.
    void requeueBatch(std::size_t stream, std::vector<ClaimRecord> records);

    /// Removes the claim if it is still queued.
    void remove(const Claim &claim);

    /// True if no records are queued for this stream.
    bool isEmpty(std::size_t stream) const;

private:
    std::vector<ClaimRecord> m_streams[ClaimStreamCount];
};
} // namespace Anvilcart
