#include "claims/claimmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <string>

namespace Anvilcart
{
ClaimMetrics::ClaimMetrics(prometheus::Registry &registry)
{
    auto &events = prometheus::BuildCounter()
                       .Name("anvilcart_claim_events_total")
                       .Help("What happened to claims on idempotency keys.")
                       .Register(registry);
    for (std::size_t event = 0; event < ClaimEventCount; ++event) {
        m_byEvent[event] = &events.Add({{"event", std::string(toName(static_cast<ClaimEvent>(event)))}});
    }
}

void ClaimMetrics::onClaimEvent(ClaimEvent event)
{
    m_byEvent[static_cast<std::size_t>(event)]->Increment();
}
} // namespace Anvilcart
