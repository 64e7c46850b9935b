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

std::vector<ClaimRecord> ClaimOutbox::take(std::size_t stream)
{
    auto &waiting = m_streams[stream];
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(std::min(waiting.size(), MaxRecordsPerAppend));
    std::vector<ClaimRecord> batch(std::make_move_iterator(waiting.begin()), std::make_move_iterator(end));
    waiting.erase(waiting.begin(), end);
    return batch;
}

void ClaimOutbox::putBack(std::size_t stream, std::vector<ClaimRecord> records)
{
    auto &waiting = m_streams[stream];
    waiting.insert(waiting.begin(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
}

void ClaimOutbox::remove(const Claim &claim)
{
    std::erase_if(m_streams[claimStreamOf(claim.key)], [&](const ClaimRecord &record) {
        const auto *waiting = std::get_if<Claim>(&record);
        return waiting != nullptr && waiting->id == claim.id;
    });
}

bool ClaimOutbox::isEmpty(std::size_t stream) const
{
    return m_streams[stream].empty();
}
} // namespace Anvilcart
