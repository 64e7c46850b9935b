#pragma once

#include "model/endpoint.h"
#include "platform/storeclient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Announces this host's peer endpoint in the store and reads the endpoints that other hosts have announced, in a topic that only
/// Anvilcart hosts use. Belongs to one executor.
class PeerDiscovery : public std::enable_shared_from_this<PeerDiscovery>
{
public:
    /// Called after each read with the peer endpoints that it returned; some may belong to hosts that no longer run.
    using Handler = std::function<void(const std::vector<Endpoint> &endpoints)>;

    PeerDiscovery(
        const boost::asio::any_io_executor &executor, const Endpoint &store, Endpoint ownEndpoint, std::string host, Handler handler);

    /// Starts the announcement and the periodic reads, which continue until stop().
    void start();
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> readOnce();
    void reportEndpoints(const std::vector<Platform::KeyedRecord> &records);

    boost::asio::any_io_executor m_executor;
    Platform::StoreClient m_client;
    Endpoint m_ownEndpoint;
    std::string m_host;
    Handler m_handler;
    bool m_announced = false;
    bool m_synchronised = false;
    bool m_stopped = false;
    std::uint64_t m_nextOffset = 0;
};
} // namespace Anvilcart::Fleet
