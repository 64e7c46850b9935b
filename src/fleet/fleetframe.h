#pragma once

#include "fleet/fleetview.h"
#include "scheduling/jobsubmission.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilcart::Fleet
{
/// The end of a job, told to its entry host.
struct JobEndNotice
{
    std::string jobId;
    JobResult result;
};

/// The operator's record as it stands in the store.
struct ConfigurationRecord
{
    std::uint64_t version = 0;
    std::string record;
};

/// One message between two hosts.
struct FleetFrame
{
    std::string host;
    std::uint64_t incarnation = 0;
    /// The sender's steady clock when the frame was encoded.
    Duration sentAt {0};
    std::optional<HostReport> report;
    /// Peer doors that the sender knows; told with a report.
    std::vector<Endpoint> knownDoors;
    /// Time since the sender last heard the recipient; told with a report.
    Duration unheard {0};
    std::vector<JobSubmission> submits;
    std::vector<JobEndNotice> ended;
    std::vector<std::string> cancels;
    bool asksForConfiguration = false;
    std::optional<ConfigurationRecord> configuration;
};

/// The bytes of a frame. Times are told relative to now, since hosts' clocks differ. Thread-safe.
std::string encodeFrame(const FleetFrame &frame, TimePoint now);

/// Reads a frame; nothing when the bytes are not one, or name no host. Thread-safe.
std::optional<FleetFrame> decodeFrame(std::string_view bytes, TimePoint now);
} // namespace Anvilcart::Fleet
