#pragma once

#include "observe/answerlog.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The path on an operator door that answers with the status of its host.
constexpr const char *StatusPath = "/v1/status";

/// What an entry host tells an operator about itself.
struct HostStatus
{
    std::string host;
    std::string zone;
    /// Differs at every start of the host.
    std::uint64_t incarnation = 0;
    /// The version whose content is in force; 0 when there is none.
    std::uint64_t version = 0;
    /// The version that the rule of acceptance made current.
    std::uint64_t acceptedVersion = 0;
    /// The id of that version's record.
    std::string recordId;
    /// When it came into force, in seconds since 1970.
    std::int64_t inForceSince = 0;
    /// False where the log has forgotten records that this host has not read.
    bool established = false;
    bool ready = false;
    bool draining = false;
    std::uint64_t skippedRecords = 0;
    std::uint64_t queuedTasks = 0;
    std::uint32_t targetsInService = 0;
    std::uint32_t targetsLeaving = 0;
    std::uint32_t ownSlots = 0;
    std::uint32_t freeSlots = 0;
    /// Every answer but whole ones, by result code; codes that were never given are left out.
    std::vector<AnswerCount> refusals;
};

/// The body that the operator door answers with. Thread-safe.
std::string encode(const HostStatus &status);

/// Reads what encode() wrote; nothing when the body is not that. Thread-safe.
std::optional<HostStatus> decodeHostStatus(const std::string &body);
} // namespace Anvilcart
