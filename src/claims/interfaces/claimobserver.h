#pragma once

#include "claims/claimevent.h"

namespace Anvilcart
{
/// Sees what happens to claims, for metrics. Called on the decision loop.
class ClaimObserver
{
public:
    virtual ~ClaimObserver() = default;

    /// Something happened to a claim.
    virtual void onClaimEvent(ClaimEvent event) = 0;
};
} // namespace Anvilcart
