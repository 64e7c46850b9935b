#pragma once

#include "model/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Names one run of one entry host; 0 stands for one that is not known yet. A later start has a higher number.
using Incarnation = std::uint64_t;

/// Names a loan between one lender's incarnation and its borrower.
using LoanId = std::uint64_t;

/// Says that an entry host runs, and who it is.
struct Heartbeat
{
    std::string host;
    std::string zone;
    Endpoint door;
    std::string recipient;
    std::uint64_t configurationVersion = 0;
    std::uint32_t freeSlots = 0;
    bool leaving = false;
};

/// The unstarted tasks of the sender's leading jobs, the smallest job first; empty when none waits for a slot.
struct Demand
{
    std::vector<std::uint32_t> jobSizes;
    /// The last loan that the sender has received from the recipient.
    LoanId lastLoan = 0;
};

/// A slot that is lent for one task.
struct Loan
{
    LoanId id = 0;
    std::string target;
};

/// A lent slot that goes home.
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

/// The parts of a frame that share slots.
struct SlotMessage
{
    std::optional<Demand> demand;
    std::vector<Loan> loans;
    std::vector<LoanReturn> returns;
    std::optional<Holdings> holdings;
    /// Loans that the recipient holds although they have ended.
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
