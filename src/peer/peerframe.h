#pragma once

#include "kernel/time.h"
#include "model/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Identifies one run of one entry host; 0 means not yet known. A later start has a higher number.
using Incarnation = std::uint64_t;

/// Identifies a loan from one incarnation of a lender to a borrower.
using LoanId = std::uint64_t;

/// Announces that an entry host is running, and its identity.
struct Heartbeat
{
    std::string host;
    std::string zone;
    Endpoint endpoint;
    std::string recipient;
    std::uint64_t configurationVersion = 0;
    std::uint32_t freeSlots = 0;
    bool leaving = false;
};

/// A job that waits for slots on the sender.
struct DemandedJob
{
    std::uint32_t unstarted = 0;
    /// The rank in the queue, relative to the time of sending. A lower rank starts first.
    Milliseconds rank {0};

    bool operator==(const DemandedJob &) const = default;
};

/// The jobs at the front of the sender's queue, in order; empty if none waits for a slot.
struct Demand
{
    std::vector<DemandedJob> jobs;
    /// The last loan that the sender received from the recipient.
    LoanId lastLoan = 0;
};

/// A slot lent for one task.
struct Loan
{
    LoanId id = 0;
    std::string target;
};

/// The return of a lent slot.
struct LoanReturn
{
    LoanId id = 0;
    bool unused = false;
};

/// Every loan from the recipient that the sender still uses.
struct Holdings
{
    std::vector<LoanId> loans;
};

/// The parts of a frame that concern slot sharing.
struct SlotMessage
{
    std::optional<Demand> demand;
    std::vector<Loan> loans;
    std::vector<LoanReturn> returns;
    std::optional<Holdings> holdings;
    /// Loans that the recipient reported as held although they have ended.
    std::vector<LoanId> revoked;
};

/// One message between two entry hosts.
struct PeerFrame
{
    Incarnation incarnation = 0;
    Incarnation recipient = 0;
    std::uint64_t sequence = 0;
    std::optional<Heartbeat> heartbeat;
    SlotMessage slots;
};
} // namespace Anvilcart
