#include "peer/peercodec.h"

#include "peer/peer.pb.h"

namespace Anvilcart
{
namespace
{
constexpr int MaxDemandedJobs = 64;
constexpr int MaxLoans = 512;
constexpr std::size_t MaxNameBytes = 255;

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameBytes;
}

void encodeHeartbeat(const Heartbeat &heartbeat, Wire::Heartbeat &wire)
{
    wire.set_host(heartbeat.host);
    wire.set_zone(heartbeat.zone);
    wire.set_door(toString(heartbeat.endpoint));
    wire.set_recipient(heartbeat.recipient);
    wire.set_configuration_version(heartbeat.configurationVersion);
    wire.set_free_slots(heartbeat.freeSlots);
    wire.set_leaving(heartbeat.leaving);
}

void encodeSlots(const SlotMessage &slots, Wire::Frame &wire)
{
    if (slots.demand) {
        auto &demand = *wire.mutable_demand();
        for (const auto &job : slots.demand->jobs) {
            demand.add_job_sizes(job.unstarted);
            demand.add_job_ranks_ms(static_cast<std::int32_t>(job.rank.count()));
        }
        demand.set_last_loan(slots.demand->lastLoan);
    }
    for (const auto &loan : slots.loans) {
        auto &added = *wire.add_loans();
        added.set_id(loan.id);
        added.set_target(loan.target);
    }
    for (const auto &returned : slots.returns) {
        auto &added = *wire.add_returns();
        added.set_id(returned.id);
        added.set_unused(returned.unused);
    }
    wire.mutable_revoked()->Add(slots.revoked.begin(), slots.revoked.end());
    if (slots.holdings) {
        wire.mutable_holdings()->mutable_loans()->Add(slots.holdings->loans.begin(), slots.holdings->loans.end());
    }
}

std::optional<Heartbeat> decodeHeartbeat(const Wire::Heartbeat &wire)
{
    const auto endpoint = parseEndpoint(wire.door());
    if (!endpoint || !isValidName(wire.host()) || !isValidName(wire.zone()) || !isValidName(wire.recipient())) {
        return std::nullopt;
    }
    Heartbeat heartbeat;
    heartbeat.host = wire.host();
    heartbeat.zone = wire.zone();
    heartbeat.endpoint = *endpoint;
    heartbeat.recipient = wire.recipient();
    heartbeat.configurationVersion = wire.configuration_version();
    heartbeat.freeSlots = wire.free_slots();
    heartbeat.leaving = wire.leaving();
    return heartbeat;
}

bool areLoansValid(const Wire::Frame &wire)
{
    if (wire.loans_size() > MaxLoans || wire.returns_size() > MaxLoans) {
        return false;
    }
    if (wire.holdings().loans_size() > MaxLoans || wire.revoked_size() > MaxLoans) {
        return false;
    }
    for (const auto &loan : wire.loans()) {
        if (loan.id() == 0 || !isValidName(loan.target())) {
            return false;
        }
    }
    return true;
}

bool isDemandValid(const Wire::Demand &wire)
{
    for (const auto size : wire.job_sizes()) {
        if (size == 0) {
            return false;
        }
    }
    return wire.job_sizes_size() <= MaxDemandedJobs && wire.job_ranks_ms_size() == wire.job_sizes_size();
}

SlotMessage decodeSlots(const Wire::Frame &wire)
{
    SlotMessage slots;
    if (wire.has_demand()) {
        slots.demand.emplace();
        for (int i = 0; i < wire.demand().job_sizes_size(); ++i) {
            slots.demand->jobs.push_back({wire.demand().job_sizes(i), Milliseconds(wire.demand().job_ranks_ms(i))});
        }
        slots.demand->lastLoan = wire.demand().last_loan();
    }
    for (const auto &loan : wire.loans()) {
        slots.loans.push_back({loan.id(), loan.target()});
    }
    for (const auto &returned : wire.returns()) {
        slots.returns.push_back({returned.id(), returned.unused()});
    }
    slots.revoked.assign(wire.revoked().begin(), wire.revoked().end());
    if (wire.has_holdings()) {
        slots.holdings.emplace();
        slots.holdings->loans.assign(wire.holdings().loans().begin(), wire.holdings().loans().end());
    }
    return slots;
}
} // namespace

std::string encode(const PeerFrame &frame)
{
    Wire::Frame wire;
    wire.set_incarnation(frame.incarnation);
    wire.set_recipient_incarnation(frame.recipient);
    wire.set_sequence(frame.sequence);
    if (frame.heartbeat) {
        encodeHeartbeat(*frame.heartbeat, *wire.mutable_heartbeat());
    }
    encodeSlots(frame.slots, wire);
    return wire.SerializeAsString();
}

std::optional<PeerFrame> decodeFrame(std::string_view bytes)
{
    Wire::Frame wire;
    if (bytes.size() > MaxFrameBytes || !wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    if (wire.incarnation() == 0 || wire.sequence() == 0 || !isDemandValid(wire.demand()) || !areLoansValid(wire)) {
        return std::nullopt;
    }
    PeerFrame frame;
    frame.incarnation = wire.incarnation();
    frame.recipient = wire.recipient_incarnation();
    frame.sequence = wire.sequence();
    if (wire.has_heartbeat()) {
        frame.heartbeat = decodeHeartbeat(wire.heartbeat());
        if (!frame.heartbeat) {
            return std::nullopt;
        }
    }
    frame.slots = decodeSlots(wire);
    return frame;
}
} // namespace Anvilcart
