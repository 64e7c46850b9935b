#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Anvilcart
{
/// An IP address and a TCP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// Reads "address:port" with an IPv4 address in numbers; nothing when it is not that. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// The text that parseEndpoint() reads. Thread-safe.
std::string toString(const Endpoint &endpoint);
} // namespace Anvilcart
