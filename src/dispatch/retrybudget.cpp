#include "dispatch/retrybudget.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr double PercentToRatio = 0.01;
}

RetryBudget::RetryBudget()
    : m_tokens(m_spec.budgetBurst)
{
}

void RetryBudget::configure(const RetrySpec &spec)
{
    m_spec = spec;
    m_tokens = std::min<double>(m_tokens, spec.budgetBurst);
}

void RetryBudget::onFirstStart()
{
    m_tokens = std::min<double>(m_tokens + m_spec.budgetPercent * PercentToRatio, m_spec.budgetBurst);
}

bool RetryBudget::tryConsume()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}
} // namespace Anvilcart
