#pragma once

#include "config/configuration.h"

namespace Anvilcart
{
/// A token bucket that limits retries to a percentage of first starts. Not thread-safe: used only on the decision loop.
class RetryBudget
{
public:
    /// Starts with a full bucket.
    RetryBudget();

    /// Sets the percentage and the bucket size; tokens beyond the size are dropped.
    void configure(const RetrySpec &spec);

    /// Adds the configured fraction of a token for a task that was started for the first time.
    void onFirstStart();

    /// Consumes one token. Returns false if less than one is left.
    bool tryConsume();

private:
    RetrySpec m_spec;
    double m_tokens = 0;
};
} // namespace Anvilcart
