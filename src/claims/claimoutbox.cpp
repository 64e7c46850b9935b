#include "claims/claimoutbox.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace Anvilcart
{
namespace
{
constexpr std::size_t MaxRecordsPerAppend = 500;

const std::string &keyOf(const ClaimRecord &record)
{
    return std::visit(
        [](const auto &value) -> const std::string & {
            return value.key;
        },
        record);
}
} // namespace

std::size_t claimStreamOf(const std::string &key, std::size_t streams)
{
    return XXH3_64bits(key.data(), key.size()) % streams;
}

void ClaimOutbox::add(ClaimRecord record)
{
    const auto stream = claimStreamOf(keyOf(record));
    m_streams[stream].push_back(std::move(record));
}

std::vector<ClaimRecord> ClaimOutbox::takeBatch(std::size_t stream)
{
    auto &queued = m_streams[stream];
    const auto end = queued.begin() + static_cast<std::ptrdiff_t>(std::min(queued.size(), MaxRecordsPerAppend));
    std::vector<ClaimRecord> batch(std::make_move_iterator(queued.begin()), std::make_move_iterator(end));
    queued.erase(queued.begin(), end);
    return batch;
}

void ClaimOutbox::requeueBatch(std::size_t stream, std::vector<ClaimRecord> records)
{
    auto &queued = m_streams[stream];
    queued.insert(queued.begin(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
}

void ClaimOutbox::remove(const Claim &claim)
{
    std::erase_if(m_streams[claimStreamOf(claim.key)], [&](const ClaimRecord &record) {
        const auto *queued = std::get_if<Claim>(&record);
        return queued != nullptr && queued->id == claim.id;
    });
}

bool ClaimOutbox::isEmpty(std::size_t stream) const
{
    return m_streams[stream].empty();
}
} // namespace Anvilcart
