#pragma once

#include "fleet/fleetframe.h"
#include "kernel/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Anvilcart::Fleet
{
/// Tells which process of each other host is the present one. A frame may be read long after its sender has ended and its successor was
/// heard, so its arrival does not show which of two processes is the later one. Its echo does: the process has read a frame that was sent
/// here after a frame of the other process had arrived, and processes of one host do not overlap. Only the clock of this process counts,
/// and no record has to last. Not thread-safe.
class PeerProcesses
{
public:
    /// What a frame says of the process that sent it.
    enum class Finding {
        /// It is the present process of its host.
        Present,
        /// It is the present process of its host from now on. The one that was present before, if there was one, has ended.
        Replacing,
        /// It may have ended: the frame must not be acted upon as one of the present process. A process that lives proves it with the echo
        /// of the next frame that it is sent.
        Unproven,
        /// Its host is unknown, and as many hosts are known as are allowed.
        Refused,
    };

    /// The incarnation is that of this process. At most maxHosts other hosts are known at a time.
    explicit PeerProcesses(std::uint64_t ownIncarnation, std::size_t maxHosts = 1024);

    /// Judges a frame that has just arrived. Hosts of earlier versions send no echo: their reports count unless the process is known to
    /// have ended.
    Finding onFrame(const FleetFrame &frame, TimePoint now);

    /// The incarnation that the present process of the host has replaced; 0 if none is known.
    std::uint64_t replacedIncarnation(const std::string &host) const;

    /// True while a frame of the host is remembered.
    bool isKnown(const std::string &host) const;

    /// The echo for the next frame to a host: the last frame that has been read from there, whichever process sent it.
    FrameEcho echoFor(const std::string &host) const;

private:
    struct Record
    {
        /// The present process; 0 while none is known.
        std::uint64_t incarnation = 0;
        /// When its first frame that counted arrived, with which echoes of other processes are compared, and its last one.
        TimePoint provenAt;
        TimePoint lastFrameAt;
        bool sendsEchoes = false;
        /// Processes that were replaced, and when. Needed only for hosts of earlier versions.
        std::map<std::uint64_t, TimePoint> replaced;
        std::uint64_t lastReplaced = 0;
        FrameEcho lastRead;
    };

    bool isProven(const Record &record, const FleetFrame &frame, TimePoint now) const;
    void removeOld(TimePoint now);
    bool makeRoom(TimePoint now);

    std::uint64_t m_ownIncarnation;
    std::size_t m_maxHosts;
    std::map<std::string, Record> m_records;
};
} // namespace Anvilcart::Fleet
