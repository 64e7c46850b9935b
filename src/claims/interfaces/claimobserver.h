#pragma once

#include "claims/claimevent.h"

namespace Anvilcart
{
/// Receives claim events, for metrics. Called on the decision loop.
class ClaimObserver
{
public:
    virtual ~ClaimObserver() = default;

    virtual void onClaimEvent(ClaimEvent event) = 0;
};
} // namespace Anvilcart
