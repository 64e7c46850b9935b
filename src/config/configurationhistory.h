#pragma once

#include "config/configurationrecord.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Anvilcart
{
/// What a reader of the log does with a record.
enum class RecordVerdict {
    /// It was made from the current version and is the current one now.
    Accepted,
    /// It was made from another version.
    LostRace,
    /// It repeats a version that was accepted earlier.
    CarriedForward,
    /// Records before it have expired unread: it waits for a base.
    Deferred,
};

/// What a peer holds: the record in force there, and how far the peer had read the log.
struct PeerConfiguration
{
    ConfigurationRecord record;
    /// The offset after the last record that the peer had applied.
    std::uint64_t next = 0;
    /// True where the peer's record is the current one as of that offset.
    bool established = false;
};

/// Decides which record is in force. Every reader that applies the same records in the order of the log comes to the same version.
/// A reader that missed expired records accepts nothing until it has a base: a version that is known to have been current
/// at an offset from which it has read everything. The version in force never falls. Not thread-safe.
class ConfigurationHistory
{
public:
    /// Applies the record at an offset. Precondition: the offset is next() or higher.
    RecordVerdict apply(const ConfigurationRecord &record, std::uint64_t offset);

    /// Passes over a record that cannot be read. Precondition: the offset is next() or higher.
    void skip(std::uint64_t offset);

    /// Tells that records below this offset have expired. Harmless where they were applied before.
    void expireBefore(std::uint64_t first);

    /// Takes over what a peer holds where that is more than this reader knows.
    void adopt(const PeerConfiguration &peer);

    /// The record in force, or nothing.
    const std::optional<ConfigurationRecord> &current() const;

    /// The version in force; 0 when there is none.
    std::uint64_t version() const;

    /// The offset after the last record that was read.
    std::uint64_t next() const;

    /// True where current() is the current version as of next().
    bool isEstablished() const;

    /// The record that carries the current version forward. Precondition: established, with a current version.
    ConfigurationRecord carryForward() const;

private:
    struct PendingRecord
    {
        std::uint64_t offset;
        ConfigurationRecord record;
    };

    RecordVerdict decide(const ConfigurationRecord &record);
    void defer(const ConfigurationRecord &record, std::uint64_t offset);
    void establish(const ConfigurationRecord &base, std::uint64_t from);
    void accept(const ConfigurationRecord &record);
    bool isBase(const ConfigurationRecord &record, std::uint64_t offset) const;
    void forgetChain(std::uint64_t first);

    /// The version in force; it stays in force while the chain is not established.
    std::optional<ConfigurationRecord> m_inForce;
    /// The current version of the log as of m_next, where established.
    std::optional<ConfigurationRecord> m_chain;
    bool m_established = true;
    std::uint64_t m_next = 0;
    /// Every record from this offset to m_next has been read.
    std::uint64_t m_readFrom = 0;
    /// Those records, while there is no base.
    std::deque<PendingRecord> m_pending;
};
} // namespace Anvilcart
