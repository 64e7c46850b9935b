#include "emulator/emulatednetwork.h"

namespace Anvilcart::Emulation
{
namespace
{
/// Delayed requests take effect after this time, plus a random part of the spread.
constexpr Milliseconds MinRequestDelay {2000};
constexpr int RequestDelaySpreadMs = 10000;

void setContained(std::set<std::string> &names, const std::string &name, bool isContained)
{
    if (isContained) {
        names.insert(name);
    } else {
        names.erase(name);
    }
}
} // namespace

EmulatedNetwork::EmulatedNetwork(SimulatedClock &clock, std::mt19937_64 &random, Duration delayInZone, Duration delayAcrossZones)
    : m_clock(clock)
    , m_random(random)
    , m_delayInZone(delayInZone)
    , m_delayAcrossZones(delayAcrossZones)
{
}

Duration EmulatedNetwork::delay(const std::string &fromZone, const std::string &toZone) const
{
    return fromZone == toZone ? m_delayInZone : m_delayAcrossZones;
}

bool EmulatedNetwork::isPartitioned(const HostAddress &from, const HostAddress &to) const
{
    return m_partitionedHosts.contains(from.name) || m_partitionedHosts.contains(to.name) || areZonesPartitioned(from.zone, to.zone);
}

bool EmulatedNetwork::isCut(const HostAddress &from, const HostAddress &to) const
{
    return isPartitioned(from, to) || m_heldFrames.contains({from.name, to.name});
}

bool EmulatedNetwork::areZonesPartitioned(const std::string &from, const std::string &to) const
{
    return from != to && (m_partitionedZones.contains(from) || m_partitionedZones.contains(to));
}

void EmulatedNetwork::sendFrame(const HostAddress &from, const HostAddress &to, std::function<void()> deliver)
{
    if (isPartitioned(from, to)) {
        onFrameLost(from, to);
        return;
    }
    const auto cut = m_heldFrames.find({from.name, to.name});
    if (cut != m_heldFrames.end()) {
        cut->second.push_back(std::move(deliver));
    } else {
        m_clock.callAfter(delay(from.zone, to.zone), std::move(deliver));
    }
}

void EmulatedNetwork::onFrameLost(const HostAddress &from, const HostAddress &to)
{
    m_linksWithLoss.insert({from.name, to.name});
}

bool EmulatedNetwork::takeFrameLoss(const HostAddress &from, const HostAddress &to)
{
    return m_linksWithLoss.erase({from.name, to.name}) > 0;
}

void EmulatedNetwork::sendRequest(const std::string &fromZone, SimulatedTarget &target, std::function<void(const ReplyRoute &)> execute)
{
    const auto zone = target.entry().zone;
    if (areZonesPartitioned(fromZone, zone)) {
        return;
    }
    const auto networkDelay = delay(fromZone, zone);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool isDelayed = chance(m_random) < m_delayedRequestShare;
    const auto lateDelay = MinRequestDelay + Milliseconds(m_random() % RequestDelaySpreadMs);
    m_clock.callAfter(isDelayed ? Duration(lateDelay) : networkDelay,
                      [this, fromZone, zone, &target, networkDelay, isDelayed, execute = std::move(execute)] {
                          if (areZonesPartitioned(fromZone, zone) || target.isDown()) {
                              return;
                          }
                          const auto id = target.entry().id;
                          const auto held = m_heldRequests.find(id);
                          if (held != m_heldRequests.end()) {
                              held->second.push_back([execute] {
                                  execute([](const std::function<void()> &) {});
                              });
                              return;
                          }
                          execute([this, fromZone, zone, id, networkDelay, isDelayed](std::function<void()> deliver) {
                              if (isDelayed || m_heldRequests.contains(id)) {
                                  return;
                              }
                              m_clock.callAfter(networkDelay, [this, fromZone, zone, deliver = std::move(deliver)] {
                                  if (!areZonesPartitioned(fromZone, zone)) {
                                      deliver();
                                  }
                              });
                          });
                      });
}

void EmulatedNetwork::setZonePartitioned(const std::string &zone, bool isPartitioned)
{
    setContained(m_partitionedZones, zone, isPartitioned);
}

void EmulatedNetwork::setHostPartitioned(const std::string &host, bool isPartitioned)
{
    setContained(m_partitionedHosts, host, isPartitioned);
}

void EmulatedNetwork::holdFrames(const std::string &from, const std::string &to)
{
    m_heldFrames.try_emplace({from, to});
}

void EmulatedNetwork::releaseFrames(const std::string &from, const std::string &to)
{
    const auto held = m_heldFrames.extract({from, to});
    if (!held.empty()) {
        for (const auto &deliver : held.mapped()) {
            deliver();
        }
    }
}

void EmulatedNetwork::holdRequests(const std::string &target)
{
    m_heldRequests.try_emplace(target);
}

void EmulatedNetwork::releaseRequests(const std::string &target)
{
    const auto held = m_heldRequests.extract(target);
    if (held.empty()) {
        return;
    }
    for (const auto &request : held.mapped()) {
        // Connections resume one after the other, so that requests of different connections overtake each other.
        constexpr int ResumeSpreadMs = 20;
        m_clock.callAfter(Milliseconds(m_random() % ResumeSpreadMs), request);
    }
}

void EmulatedNetwork::setDelayedRequestShare(double share)
{
    m_delayedRequestShare = share;
}
} // namespace Anvilcart::Emulation
