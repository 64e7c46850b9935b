#pragma once

#include "model/endpoint.h"
#include "publication/interfaces/logservice.h"

#include <atomic>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The log stream that holds the configuration records.
constexpr const char *ConfigurationStream = "configuration";

/// Client of the platform's log over HTTP; switches to the next platform endpoint when a call fails. Thread-safe.
class LogClient : public LogService
{
public:
    /// Precondition: at least one endpoint.
    LogClient(std::vector<Endpoint> endpoints, std::string sourceAddress);

    boost::asio::awaitable<LogReadResult> read(std::string stream, std::uint64_t from, Duration wait) override;
    boost::asio::awaitable<LogAppendResult> append(std::string stream, std::string body) override;

private:
    const Endpoint &currentEndpoint() const;
    void switchToNextEndpoint();

    std::vector<Endpoint> m_endpoints;
    std::string m_sourceAddress;
    std::atomic<std::size_t> m_endpointIndex = 0;
};
} // namespace Anvilcart
