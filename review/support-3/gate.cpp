#include "gate.h"

#include "kernel/time.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <future>

namespace Review
{
namespace asio = boost::asio;

namespace
{
/// To a machine in another zone and back, by the users' sheet.
constexpr Anvilcart::Milliseconds RoundTrip {3};

asio::ip::tcp::endpoint toAsio(const Anvilcart::Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}
} // namespace

Gate::Gate(const Anvilcart::Endpoint &listen, const Anvilcart::Endpoint &server)
    : m_server(toAsio(server))
    , m_acceptor(m_context, toAsio(listen))
{
    accept();
    m_thread = std::thread([this] {
        const auto work = asio::make_work_guard(m_context);
        m_context.run();
    });
}

Gate::~Gate()
{
    m_context.stop();
    m_thread.join();
}

void Gate::run(const std::function<void()> &action)
{
    std::packaged_task<void()> task(action);
    auto done = task.get_future();
    asio::post(m_context, std::move(task));
    done.wait();
}

void Gate::powerOff()
{
    run([this] {
        m_isOn = false;
        m_acceptor.cancel();
        for (const auto &pair : m_pairs) {
            boost::system::error_code error;
            pair->isDead = true;
            pair->peer.cancel(error);
            pair->server.close(error);
        }
    });
}

void Gate::powerOn()
{
    run([this] {
        m_isOn = true;
        dropWaiting();
        for (const auto &pair : m_pairs) {
            if (pair->isDead) {
                resetWhenUsed(pair);
            }
        }
        accept();
    });
}

/// The system has accepted connections meanwhile. A machine without power does not.
void Gate::dropWaiting()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

void Gate::accept()
{
    auto pair = std::make_shared<Pair>(m_context);
    m_acceptor.async_accept(pair->peer, [this, pair](const boost::system::error_code &error) {
        if (!error && m_isOn) {
            boost::system::error_code ignored;
            pair->peer.set_option(tcp::no_delay(true), ignored);
            pair->server.connect(m_server, ignored);
            pair->server.set_option(tcp::no_delay(true), ignored);
            m_pairs.insert(pair);
            forward(pair, true);
            forward(pair, false);
        }
        if (m_isOn && !error) {
            accept();
        }
    });
}

void Gate::forward(const std::shared_ptr<Pair> &pair, bool isToServer)
{
    auto &from = isToServer ? pair->peer : pair->server;
    auto &to = isToServer ? pair->server : pair->peer;
    auto &buffer = isToServer ? pair->toServer : pair->toPeer;
    from.async_read_some(asio::buffer(buffer),
                         [this, pair, isToServer, &to, &buffer](const boost::system::error_code &error, std::size_t count) {
                             if (pair->isDead) {
                                 return;
                             }
                             boost::system::error_code writeError;
                             if (!error) {
                                 asio::write(to, asio::buffer(buffer, count), writeError);
                             }
                             if (error || writeError) {
                                 close(*pair);
                                 m_pairs.erase(pair);
                                 return;
                             }
                             forward(pair, isToServer);
                         });
}

void Gate::resetWhenUsed(const std::shared_ptr<Pair> &pair)
{
    pair->peer.async_wait(tcp::socket::wait_read, [this, pair](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context, RoundTrip);
        timer->async_wait([this, pair, timer](const boost::system::error_code &) {
            boost::system::error_code ignored;
            pair->peer.set_option(asio::socket_base::linger(true, 0), ignored);
            close(*pair);
            m_pairs.erase(pair);
        });
    });
}

void Gate::close(Pair &pair)
{
    boost::system::error_code error;
    pair.peer.close(error);
    pair.server.close(error);
}
} // namespace Review
