#pragma once

#include "kernel/time.h"
#include "model/endpoint.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Anvilcart
{
/// What clients do with the answers that they get.
enum class Answers {
    Unread,
    Dropped,
};

/// Connections that send bytes. None of them blocks.
class UntrustedClients
{
public:
    /// Begins to open the connections.
    UntrustedClients(const Endpoint &endpoint, std::size_t count, Answers answers = Answers::Unread)
        : m_answers(answers)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        for (std::size_t index = 0; index < count; ++index) {
            Client client;
            client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            if (answers == Answers::Unread) {
                const int receiveBuffer = 2048;
                ::setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
            }
            // A connection that is not accepted yet fails later, when it sends.
            (void)::connect(client.socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
            m_clients.push_back(client);
            std::this_thread::sleep_for(ConnectPause);
        }
    }

    ~UntrustedClients()
    {
        for (const auto &client : m_clients) {
            ::close(client.socket);
        }
    }

    UntrustedClients(const UntrustedClients &) = delete;
    UntrustedClients &operator=(const UntrustedClients &) = delete;

    /// Sends the head and then the piece again and again, until each connection has sent so many bytes or is closed, the condition holds,
    /// or the time is over.
    void send(const std::string &head, const std::string &piece, std::size_t bytesEach, const std::function<bool()> &condition)
    {
        const auto end = Clock::now() + LongestSend;
        bool isSending = true;
        while (isSending && !condition() && Clock::now() < end) {
            isSending = false;
            for (auto &client : m_clients) {
                isSending = (client.isOpen && client.sent < bytesEach && sendSome(client, head, piece)) || isSending;
            }
            std::this_thread::sleep_for(RoundPause);
        }
    }

    /// True when the other side has closed each connection. Reads what it has sent.
    bool areClosed() const
    {
        return std::all_of(m_clients.begin(), m_clients.end(), [](const Client &client) {
            drop(client);
            char byte = 0;
            const auto count = ::recv(client.socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
            return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        });
    }

private:
    struct Client
    {
        int socket = -1;
        bool isOpen = true;
        std::size_t sent = 0;
    };

    static void drop(const Client &client)
    {
        std::array<char, 16384> dropped;
        while (::recv(client.socket, dropped.data(), dropped.size(), MSG_DONTWAIT) > 0) { }
    }

    /// Sends up to one piece; false when the connection is closed.
    bool sendSome(Client &client, const std::string &head, const std::string &piece) const
    {
        if (m_answers == Answers::Dropped) {
            drop(client);
        }
        const bool inHead = client.sent < head.size();
        const auto &text = inHead ? head : piece;
        const auto offset = inHead ? client.sent : (client.sent - head.size()) % piece.size();
        const auto count = ::send(client.socket, text.data() + offset, text.size() - offset, MSG_NOSIGNAL);
        if (count > 0) {
            client.sent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN) {
            client.isOpen = false;
        }
        return client.isOpen;
    }

    static constexpr Seconds LongestSend {15};
    static constexpr Milliseconds RoundPause {1};
    /// Keeps the queue of connections that wait to be accepted short.
    static constexpr std::chrono::microseconds ConnectPause {500};

    std::vector<Client> m_clients;
    Answers m_answers;
};

/// A line of /proc/PID/status in KB, such as VmRSS or VmHWM, the peak of it.
inline std::uint64_t statusKb(int process, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    std::uint64_t value = 0;
    while (status >> word) {
        if (word == name + ":") {
            status >> value;
        }
    }
    return value;
}

/// Open descriptors of a process.
struct DescriptorCount
{
    std::size_t all = 0;
    std::size_t sockets = 0;
};

inline DescriptorCount countDescriptors(int process)
{
    DescriptorCount count;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error)) {
        ++count.all;
        const auto target = std::filesystem::read_symlink(entry.path(), error);
        count.sockets += !error && target.string().starts_with("socket:") ? 1 : 0;
    }
    return count;
}
} // namespace Anvilcart
