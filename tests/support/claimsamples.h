#pragma once

#include "claims/claimrecord.h"

#include <string>

namespace Anvilcart
{
/// When the claims of the tests are made by default.
constexpr WallTime ClaimStart {Milliseconds(1'000'000)};

/// A claim by "entry-1" on the key. The submission ends after 10 s and the key expires after 100 s.
inline Claim makeClaim(const std::string &id, const std::string &key, WallTime at = ClaimStart)
{
    return {id, key, "s-" + id, "t0", "entry-1", "1", at, at + Seconds(10), at + Seconds(100)};
}

/// The abandonment of the claim.
inline Abandonment makeAbandonment(const Claim &claim)
{
    return {claim.id, claim.key, claim.expiresAt};
}

/// The outcome of a claim whose task finished with the output.
inline ClaimOutcome makeOutcome(const Claim &claim, const std::string &output)
{
    return {claim.id, claim.key, ClaimOutcomeKind::Finished, output};
}
} // namespace Anvilcart
