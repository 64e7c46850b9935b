#pragma once

#include "kernel/time.h"

namespace Anvilcart::Fleet
{
/// How long to wait for the reply to a request, from measured round trips: on a full link or a busy processor replies are late, and a
/// request that is given up and repeated adds to the load. The estimate is that of RFC 6298, with limits. Not thread-safe.
class RequestTimeout
{
public:
    /// Between TargetRequestTimeout and a quarter of a second.
    Duration value() const;

    /// The request that was sent at sentAt was answered.
    void onReply(TimePoint sentAt, TimePoint now);

    /// The request that was sent at sentAt was not answered within the time. Several in a row raise the value, since the round trip of a
    /// request without reply cannot be measured. One that was lost among answered ones does not: more time would not help it.
    void onTimeout(TimePoint sentAt);

private:
    Duration m_smoothed {0};
    Duration m_variation {0};
    double m_backoff = 1;
    int m_lossesInARow = 0;
    /// When the latest request that was answered was sent.
    TimePoint m_lastAnsweredSentAt;
};
} // namespace Anvilcart::Fleet
