#pragma once

#include "service/servicesite.h"
#include "untrustedclients.h"

#include <atomic>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Anvilcart
{
/// The text again and again, until there are so many bytes.
inline std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

/// One kind of untrusted clients of a host.
struct Crowd
{
    const char *name;
    Endpoint endpoint;
    std::size_t connections;
    std::string head;
    std::string piece;
    std::size_t bytesEach;
    Answers answers = Answers::Unread;
};

/// Small crowds of each kind against all endpoints of a host.
inline std::vector<Crowd> crowdsAgainst(const ServiceSite &site, std::size_t host)
{
    constexpr std::size_t Few = 4;
    constexpr std::size_t Many = 150;
    constexpr std::size_t Megabyte = std::size_t(1024) * 1024;
    constexpr std::size_t PieceBytes = 60000;
    const std::string fields = "HTTP/1.1\r\nHost: desk.example\r\n";
    const auto post = "POST /checks/00000000000000ff " + fields;
    const auto chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const auto callers = site.callerEndpoint(host);
    const auto job = ServiceSite::submissionText("checks", "00000000000000fe", 1, Milliseconds(5), Seconds(5));
    const auto cancel = "DELETE /checks/00000000000000fe " + fields + "\r\n";
    const std::string frameLength {'\0', '\x3d', '\x09', '\0'};
    return {
        {"endless trailers", callers, Few, chunked + "0\r\n", repeated("a: b\r\n", PieceBytes), 2 * Megabyte},
        {"endless chunk extension", callers, Few, chunked + "1;", std::string(PieceBytes, 'a'), 2 * Megabyte},
        {"endless header lines", callers, Few, post, repeated("a:\r\n", PieceBytes), Megabyte},
        {"bodies beyond the limit", callers, Many, post + "Content-Length: 1000000000\r\n\r\n", std::string(PieceBytes, 'x'), PieceBytes},
        {"bodies that stall", callers, Many, post + "Content-Length: 200000\r\n\r\n" + std::string(1000, 'x'), "x", 1100},
        {"idle callers", callers, 2 * Many, "", "-", 0},
        {"unread answers", callers, Few, "", repeated("GET /checks/ " + fields + "\r\n", PieceBytes), Megabyte / 4},
        {"jobs whose callers leave", callers, Few, "", repeated(job, PieceBytes), PieceBytes},
        {"jobs that are cancelled", callers, Few, "", repeated(job + cancel, PieceBytes), PieceBytes, Answers::Dropped},
        {"cancellations of unknown jobs", callers, Few, "", repeated(cancel, PieceBytes), PieceBytes, Answers::Dropped},
        {"bytes that are no request", callers, Many, "\x16\x03\x01\x02", "\xff", 64},
        {"idle probes", site.readinessEndpoint(host), Many, "", "-", 0},
        {"unread metrics", site.metricsEndpoint(host), Few, "", repeated("GET /metrics " + fields + "\r\n", PieceBytes), PieceBytes},
        {"idle hosts", site.peerEndpoint(host), Many, "", "-", 0},
        {"incomplete messages of hosts", site.peerEndpoint(host), Few, frameLength, std::string(PieceBytes, 'x'), 2 * Megabyte},
        {"messages that are none", site.peerEndpoint(host), Few, "", repeated(std::string("\0\0\0\x04xxxx", 8), PieceBytes), Megabyte / 4},
    };
}

/// Opens the connections of a crowd and sends for a while, or until the condition holds.
inline void sendCrowd(const Crowd &crowd, const std::function<bool()> &condition)
{
    constexpr Milliseconds SendTime {250};
    constexpr Milliseconds IdleTime {50};
    UntrustedClients clients(crowd.endpoint, crowd.connections, crowd.answers);
    clients.send(crowd.head, crowd.piece, crowd.bytesEach, [&, end = Clock::now() + SendTime] {
        return condition() || Clock::now() > end;
    });
    std::this_thread::sleep_for(IdleTime);
}

/// Sends all crowds against some hosts, one after the other and again and again, on a thread of its own until its end.
class ContinuousCrowds
{
public:
    ContinuousCrowds(const ServiceSite &site, const std::vector<std::size_t> &hosts)
    {
        std::vector<Crowd> crowds;
        for (const auto host : hosts) {
            const auto ofHost = crowdsAgainst(site, host);
            crowds.insert(crowds.end(), ofHost.begin(), ofHost.end());
        }
        m_thread = std::thread([this, crowds = std::move(crowds)] {
            while (!m_stopped) {
                for (const auto &crowd : crowds) {
                    sendCrowd(crowd, [this] {
                        return m_stopped.load();
                    });
                    ++m_crowdsSent;
                }
            }
        });
    }

    ~ContinuousCrowds()
    {
        m_stopped = true;
        m_thread.join();
    }

    ContinuousCrowds(const ContinuousCrowds &) = delete;
    ContinuousCrowds &operator=(const ContinuousCrowds &) = delete;

    /// Crowds that have been sent so far.
    std::size_t crowdsSent() const
    {
        return m_crowdsSent;
    }

private:
    std::atomic<bool> m_stopped {false};
    std::atomic<std::size_t> m_crowdsSent {0};
    std::thread m_thread;
};
} // namespace Anvilcart
