#pragma once

#include "claims/claimrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Anvilcart
{
/// How many streams the keys are spread over. Every host of a site must use the same number.
constexpr std::size_t ClaimStreamCount = 1;

/// The stream that holds every record of a key. Thread-safe.
std::size_t claimStreamOf(const std::string &key, std::size_t streams = ClaimStreamCount);

/// Records that wait to be appended, by stream. Not thread-safe.
class ClaimOutbox
{
public:
    /// Adds a record to the stream of its key.
    void add(ClaimRecord record);

    /// Takes the next records of a stream, at most one append's worth, in the order in which they were added.
    std::vector<ClaimRecord> take(std::size_t stream);

    /// Puts records back to be appended again, before all others; readers ignore what comes twice.
    void putBack(std::size_t stream, std::vector<ClaimRecord> records);

    /// Drops the claim where it still waits.
    void remove(const Claim &claim);

    /// True where nothing waits for this stream.
    bool isEmpty(std::size_t stream) const;

private:
    std::vector<ClaimRecord> m_streams[ClaimStreamCount];
};
} // namespace Anvilcart
