#include "model/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace Anvilcart
{
std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string address(text.substr(0, colon));
    const auto port = text.substr(colon + 1);
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(address, error);
    std::uint16_t portNumber = 0;
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), portNumber);
    if (error || status != std::errc() || end != port.data() + port.size()) {
        return std::nullopt;
    }
    return Endpoint {address, portNumber};
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}
} // namespace Anvilcart
