#pragma once

#include "claims/interfaces/claimobserver.h"

#include <array>

namespace prometheus
{
class Counter;
class Registry;
} // namespace prometheus

namespace Anvilcart
{
/// Counts claim events in a Prometheus counter. Thread-safe.
class ClaimMetrics : public ClaimObserver
{
public:
    /// The registry must outlive this object.
    explicit ClaimMetrics(prometheus::Registry &registry);

    void onClaimEvent(ClaimEvent event) override;

private:
    std::array<prometheus::Counter *, ClaimEventCount> m_byEvent {};
};
} // namespace Anvilcart
