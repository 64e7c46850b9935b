#include "peer/nnglink.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <map>
#include <stdexcept>

namespace Anvilcart
{
namespace
{
constexpr int SendBufferMessages = 64;
constexpr nng_duration ShortestReconnectMs = 50;
constexpr nng_duration LongestReconnectMs = 1000;

std::string toUrl(const Endpoint &door)
{
    return "tcp://" + toString(door);
}

void check(int error, const std::string &action)
{
    if (error != 0) {
        throw std::runtime_error("peer: cannot " + action + ": " + nng_strerror(error));
    }
}

/// A dialing socket; it is closed when this object goes.
class DialingSocket
{
public:
    explicit DialingSocket(const Endpoint &door)
        : m_door(door)
    {
        check(nng_push0_open(&m_socket), "open a socket");
        nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, SendBufferMessages);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, ShortestReconnectMs);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, LongestReconnectMs);
        nng_dial(m_socket, toUrl(door).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }

    ~DialingSocket()
    {
        nng_close(m_socket);
    }

    DialingSocket(const DialingSocket &) = delete;
    DialingSocket &operator=(const DialingSocket &) = delete;

    const Endpoint &door() const
    {
        return m_door;
    }

    bool send(const std::string &message)
    {
        // nng takes a pointer to mutable bytes and copies them.
        return nng_send(m_socket, const_cast<char *>(message.data()), message.size(), NNG_FLAG_NONBLOCK) == 0;
    }

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    Endpoint m_door;
};
} // namespace

struct NngLink::Private
{
    void receiveNext()
    {
        nng_recv_aio(listening, receiving);
    }

    void onReceived()
    {
        if (nng_aio_result(receiving) != 0) {
            return;
        }
        nng_msg *message = nng_aio_get_msg(receiving);
        receiver(std::string(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message)));
        nng_msg_free(message);
        receiveNext();
    }

    Receiver receiver;
    nng_socket listening = NNG_SOCKET_INITIALIZER;
    nng_aio *receiving = nullptr;
    std::map<std::string, std::unique_ptr<DialingSocket>> peers;
};

NngLink::NngLink(const Endpoint &door, std::size_t maxMessageBytes, Receiver receiver)
    : d(std::make_unique<Private>())
{
    d->receiver = std::move(receiver);
    check(nng_pull0_open(&d->listening), "open a socket");
    nng_socket_set_size(d->listening, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    const auto onReceived = [](void *self) {
        static_cast<Private *>(self)->onReceived();
    };
    check(nng_aio_alloc(&d->receiving, onReceived, d.get()), "prepare to receive");
    const int error = nng_listen(d->listening, toUrl(door).c_str(), nullptr, 0);
    if (error != 0) {
        nng_aio_free(d->receiving);
        nng_close(d->listening);
    }
    check(error, "listen on " + toString(door));
    d->receiveNext();
}

NngLink::~NngLink()
{
    stopReceiving();
    nng_aio_free(d->receiving);
}

void NngLink::stopReceiving()
{
    nng_aio_stop(d->receiving);
    nng_close(d->listening);
}

void NngLink::connect(const std::string &host, const Endpoint &door)
{
    auto &peer = d->peers[host];
    if (!peer || peer->door() != door) {
        peer = std::make_unique<DialingSocket>(door);
    }
}

void NngLink::disconnect(const std::string &host)
{
    d->peers.erase(host);
}

bool NngLink::send(const std::string &host, const std::string &message)
{
    const auto found = d->peers.find(host);
    return found != d->peers.end() && found->second->send(message);
}
} // namespace Anvilcart
