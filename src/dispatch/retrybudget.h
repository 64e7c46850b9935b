#pragma once

#include "config/configuration.h"

namespace Anvilcart
{
/// A token bucket that bounds retries to a share of first starts. Not thread-safe: the decision loop's.
class RetryBudget
{
public:
    /// Starts with a full bucket.
    RetryBudget();

    /// Takes over share and size; tokens beyond the size are lost.
    void configure(const RetrySpec &spec);

    /// A task was started for the first time: adds the share of a token.
    void onFirstStart();

    /// Takes one token; false when there is none.
    bool take();

private:
    RetrySpec m_spec;
    double m_tokens = 0;
};
} // namespace Anvilcart
