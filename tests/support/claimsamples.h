#pragma once

#include "claims/claimrecord.h"

#include <string>

namespace Anvilcart
{
/// When the tests' claims begin.
constexpr WallTime ClaimStart {Milliseconds(1'000'000)};

/// A claim of "entry-1" on the key, for a submission of 10 s and a key of 100 s.
inline Claim makeClaim(const std::string &id, const std::string &key, WallTime at = ClaimStart)
{
    return {id, key, "s-" + id, "t0", "entry-1", "1", at, at + Seconds(10), at + Seconds(100)};
}

/// The abandonment of a claim that makeClaim() made.
inline Abandonment makeAbandonment(const Claim &claim)
{
    return {claim.id, claim.key, claim.expiresAt};
}

/// The outcome of a claim whose task finished.
inline ClaimOutcome makeOutcome(const Claim &claim, const std::string &output)
{
    return {claim.id, claim.key, ClaimOutcomeKind::Finished, output};
}
} // namespace Anvilcart
