#include "config/configurationhistory.h"

namespace Anvilcart
{
namespace
{
constexpr std::size_t MaxPendingRecords = 4096;

std::uint64_t versionOf(const std::optional<ConfigurationRecord> &record)
{
    return record ? record->version : 0;
}
} // namespace

RecordVerdict ConfigurationHistory::apply(const ConfigurationRecord &record, std::uint64_t offset)
{
    m_next = offset + 1;
    if (m_established) {
        return decide(record);
    }
    defer(record, offset);
    if (!isBase(record, offset)) {
        return RecordVerdict::Deferred;
    }
    establish(record, *record.carriedAt);
    return RecordVerdict::CarriedForward;
}

void ConfigurationHistory::skip(std::uint64_t offset)
{
    m_next = offset + 1;
}

void ConfigurationHistory::expireBefore(std::uint64_t first)
{
    if (first > m_next) {
        forgetChain(first);
    }
}

void ConfigurationHistory::adopt(const PeerConfiguration &peer)
{
    const bool isAhead = peer.next > m_next;
    const bool isUsableBase = !m_established && peer.next >= m_readFrom;
    if (peer.established && isAhead) {
        forgetChain(peer.next);
        establish(peer.record, peer.next);
    } else if (peer.established && isUsableBase) {
        establish(peer.record, peer.next);
    } else if (peer.record.version > version() && !(m_established && m_chain)) {
        m_inForce = peer.record;
    }
}

const std::optional<ConfigurationRecord> &ConfigurationHistory::current() const
{
    return m_inForce;
}

std::uint64_t ConfigurationHistory::version() const
{
    return versionOf(m_inForce);
}

std::uint64_t ConfigurationHistory::next() const
{
    return m_next;
}

bool ConfigurationHistory::isEstablished() const
{
    return m_established && versionOf(m_chain) == version();
}

ConfigurationRecord ConfigurationHistory::carryForward() const
{
    auto record = *m_chain;
    record.carriedAt = m_next;
    return record;
}

RecordVerdict ConfigurationHistory::decide(const ConfigurationRecord &record)
{
    if (record.carriedAt) {
        return RecordVerdict::CarriedForward;
    }
    if (record.parent != versionOf(m_chain) || record.version != record.parent + 1) {
        return RecordVerdict::LostRace;
    }
    accept(record);
    return RecordVerdict::Accepted;
}

void ConfigurationHistory::defer(const ConfigurationRecord &record, std::uint64_t offset)
{
    if (m_pending.size() == MaxPendingRecords) {
        m_readFrom = m_pending.front().offset + 1;
        m_pending.pop_front();
    }
    m_pending.push_back({offset, record});
}

void ConfigurationHistory::establish(const ConfigurationRecord &base, std::uint64_t from)
{
    m_established = true;
    accept(base);
    const auto pending = std::move(m_pending);
    m_pending.clear();
    for (const auto &entry : pending) {
        if (entry.offset >= from) {
            decide(entry.record);
        }
    }
}

void ConfigurationHistory::accept(const ConfigurationRecord &record)
{
    m_chain = record;
    m_chain->carriedAt.reset();
    if (m_chain->version > version()) {
        m_inForce = m_chain;
    }
}

bool ConfigurationHistory::isBase(const ConfigurationRecord &record, std::uint64_t offset) const
{
    return record.carriedAt && *record.carriedAt >= m_readFrom && *record.carriedAt <= offset;
}

void ConfigurationHistory::forgetChain(std::uint64_t first)
{
    m_chain.reset();
    m_established = false;
    m_pending.clear();
    m_next = first;
    m_readFrom = first;
}
} // namespace Anvilcart
