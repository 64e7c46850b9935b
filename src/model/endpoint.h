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

/// Parses "address:port" with a numeric IPv4 address; empty if the text has any other form. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Returns the text form that parseEndpoint() accepts. Thread-safe.
std::string toString(const Endpoint &endpoint);
} // namespace Anvilcart
