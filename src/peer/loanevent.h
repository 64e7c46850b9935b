#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Anvilcart
{
/// A change of a loan. The lender reports Offered, Returned, Lost, Expired and Revoked; the borrower reports Used and Unused.
enum class LoanEvent : std::uint8_t {
    Offered,
    Returned,
    Lost,
    Expired,
    Revoked,
    Used,
    Unused,
};

constexpr std::size_t LoanEventCount = 7;

/// Returns the name used in metrics and logs. Thread-safe.
constexpr std::string_view toName(LoanEvent event)
{
    constexpr std::string_view Names[] = {"offered", "returned", "lost", "expired", "revoked", "used", "unused"};
    return Names[static_cast<std::size_t>(event)];
}
} // namespace Anvilcart
