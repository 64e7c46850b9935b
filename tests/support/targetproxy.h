#pragma once

#include "model/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace Anvilcart
{
/// Forwards connections to a target, and can stop to accept, to forward, or both. Thread-safe.
class TargetProxy
{
public:
    explicit TargetProxy(const Endpoint &target)
        : m_target(boost::asio::ip::make_address(target.address), target.port)
        , m_acceptor(m_context)
        , m_filler(m_context)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        // One connection fills the queue of those that wait to be accepted.
        m_acceptor.listen(0);
        accept();
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~TargetProxy()
    {
        m_context.stop();
        m_thread.join();
    }

    TargetProxy(const TargetProxy &) = delete;
    TargetProxy &operator=(const TargetProxy &) = delete;

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Leaves new connections unaccepted: their handshake does not end.
    void stopAccepting()
    {
        run([this] {
            m_accepts = false;
            m_acceptor.cancel();
            boost::system::error_code error;
            m_filler.connect(m_acceptor.local_endpoint(), error);
        });
    }

    /// Keeps connections open, and reads from them no more.
    void stopForwarding()
    {
        run([this] {
            m_forwards = false;
        });
    }

    /// Closes all connections that were accepted.
    void closeConnections()
    {
        run([this] {
            for (const auto &pair : m_pairs) {
                boost::system::error_code error;
                pair->host.close(error);
                pair->target.close(error);
            }
            m_pairs.clear();
        });
    }

private:
    using tcp = boost::asio::ip::tcp;
    using Buffer = std::array<char, 8192>;

    struct Pair
    {
        explicit Pair(boost::asio::io_context &context)
            : host(context)
            , target(context)
        {
        }

        tcp::socket host;
        tcp::socket target;
    };

    /// Runs an action on the proxy's thread and waits for it.
    template<typename Action>
    void run(Action action)
    {
        std::packaged_task<void()> task(std::move(action));
        auto done = task.get_future();
        boost::asio::post(m_context, std::move(task));
        done.wait();
    }

    void accept()
    {
        auto pair = std::make_shared<Pair>(m_context);
        m_acceptor.async_accept(pair->host, [this, pair](const boost::system::error_code &error) {
            if (!error) {
                m_pairs.push_back(pair);
                boost::system::error_code connectError;
                pair->target.connect(m_target, connectError);
                forward(pair, pair->host, pair->target);
                forward(pair, pair->target, pair->host);
            }
            if (m_accepts) {
                accept();
            }
        });
    }

    void forward(const std::shared_ptr<Pair> &pair, tcp::socket &from, tcp::socket &to)
    {
        auto buffer = std::make_shared<Buffer>();
        from.async_read_some(boost::asio::buffer(*buffer),
                             [this, pair, &from, &to, buffer](const boost::system::error_code &error, std::size_t count) {
                                 if (!m_forwards) {
                                     return;
                                 }
                                 boost::system::error_code writeError;
                                 boost::asio::write(to, boost::asio::buffer(*buffer, count), writeError);
                                 if (error || writeError) {
                                     pair->host.close(writeError);
                                     pair->target.close(writeError);
                                     return;
                                 }
                                 forward(pair, from, to);
                             });
    }

    boost::asio::io_context m_context;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    tcp::socket m_filler;
    std::vector<std::shared_ptr<Pair>> m_pairs;
    bool m_accepts = true;
    bool m_forwards = true;
    std::thread m_thread;
};
} // namespace Anvilcart
