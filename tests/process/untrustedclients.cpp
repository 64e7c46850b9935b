#include "crowds.h"
#include "untrustedclientsfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>
#include <string>
#include <sys/resource.h>

using namespace Anvilcart;

namespace
{
constexpr std::size_t EndlessSenders = 4;
constexpr std::size_t EndlessBytesEach = 32 * 1024 * 1024;
constexpr std::size_t HeaderBytesEach = 8 * 1024 * 1024;
constexpr std::size_t OpenConnections = 400;
constexpr std::size_t RefusedSenders = 900;
constexpr std::size_t RefusedBytesEach = 256 * 1024;
constexpr std::size_t SilentReaders = 64;
constexpr std::size_t SilentReaderBytesEach = 1024 * 1024;
constexpr std::size_t FrameSenders = 40;
constexpr std::size_t FrameBytesEach = 3500000;
constexpr std::size_t LargeJobs = 200;

struct UntrustedCallersFixture : UntrustedClientsFixture
{
    void sendEndlessly(const std::string &head, const std::string &piece, std::size_t bytesEach = EndlessBytesEach)
    {
        UntrustedClients clients(site.callerEndpoint(0), EndlessSenders);
        clients.send(head, piece, bytesEach, [this] {
            return exceedsMemory();
        });
        checkHost();
    }

    /// Opens connections that send these bytes, one in each round, and stay open.
    void keepOpen(const Endpoint &endpoint, const std::string &bytes)
    {
        UntrustedClients clients(endpoint, OpenConnections);
        for (std::size_t sent = 1; sent <= bytes.size(); ++sent) {
            clients.send(bytes.substr(0, sent), "-", sent, [this] {
                return exceedsMemory();
            });
            std::this_thread::sleep_for(Milliseconds(100));
        }
        std::this_thread::sleep_for(Milliseconds(500));
        checkHost();
    }
};

/// A job whose text is so long.
std::string paddedJob(std::size_t bytes)
{
    std::string job = R"({"spec":"10","steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":10}],"best_effort":true})";
    return job + std::string(bytes - job.size(), ' ');
}

std::string inOneByteChunks(const std::string &body)
{
    std::string text;
    for (const auto byte : body) {
        text += std::string("1\r\n") + byte + "\r\n";
    }
    return text + "0\r\n";
}

/// A job near the limit of a body, of as many steps as possible that each depend on earlier ones.
std::string largeJob()
{
    constexpr std::size_t Steps = 1000;
    std::string dependencies;
    std::ostringstream text;
    text << R"({"spec":"3000","best_effort":true,"steps":[{"count":1,"cpu":10000,"mem_mb":64,"estimate_ms":3000})";
    for (std::size_t step = 1; step < Steps; ++step) {
        dependencies += std::string(step > 1 ? "," : "") + "0";
        text << R"(,{"count":1,"depends_on":[)" << dependencies.substr(0, 199) << "]}";
    }
    text << "]}";
    return text.str();
}
} // namespace

// Four connections that sent trailers for 8 s took a host from 8 MB to 2.2 GB, and none was closed. These tests check what does not depend
// on the speed of the machine: the process lives, stays within its limits, and answers an ordinary request afterwards.
BOOST_FIXTURE_TEST_SUITE(UntrustedClientsSuite, UntrustedCallersFixture, *boost::unit_test::label("untrusted"))

BOOST_AUTO_TEST_CASE(Endless_trailer_lines_take_bounded_memory)
{
    sendEndlessly(chunkedHead() + "0\r\n", repeated("a: b\r\n", 60000));
}

BOOST_AUTO_TEST_CASE(An_endless_trailer_line_takes_bounded_memory)
{
    sendEndlessly(chunkedHead() + "0\r\na: ", std::string(60000, 'b'));
}

BOOST_AUTO_TEST_CASE(An_endless_chunk_extension_takes_bounded_memory)
{
    sendEndlessly(chunkedHead() + "1;", std::string(60000, 'a'));
}

BOOST_AUTO_TEST_CASE(Endless_chunks_with_extensions_take_bounded_memory)
{
    sendEndlessly(chunkedHead(), repeated("1;" + std::string(2000, 'a') + "\r\nx\r\n", 60000));
}

// The parser limits the header by the bytes that it has not yet parsed, so that lines which arrive whole escaped the limit.
BOOST_AUTO_TEST_CASE(Endless_header_lines_take_bounded_memory)
{
    sendEndlessly(postHead(), repeated("a:\r\n", 2000), HeaderBytesEach);
}

BOOST_AUTO_TEST_CASE(Idle_connections_of_callers_leave_descriptors_free)
{
    keepOpen(site.callerEndpoint(0), "");
}

BOOST_AUTO_TEST_CASE(Connections_that_send_a_byte_now_and_then_leave_descriptors_free)
{
    keepOpen(site.callerEndpoint(0), "POST /checks/");
}

BOOST_AUTO_TEST_CASE(Idle_connections_to_the_readiness_endpoint_leave_descriptors_free)
{
    keepOpen(site.readinessEndpoint(0), "");
}

BOOST_AUTO_TEST_CASE(Idle_connections_to_the_metrics_endpoint_leave_descriptors_free)
{
    keepOpen(site.metricsEndpoint(0), "");
}

BOOST_AUTO_TEST_CASE(Idle_connections_to_the_peer_endpoint_leave_descriptors_free)
{
    keepOpen(site.peerEndpoint(0), "");
}

BOOST_AUTO_TEST_CASE(Incomplete_frames_take_bounded_memory)
{
    UntrustedClients clients(site.peerEndpoint(0), FrameSenders);
    const std::string length {'\0', '\x3d', '\x09', '\0'}; // 4,000,000
    clients.send(length, std::string(60000, 'x'), FrameBytesEach, [this] {
        return exceedsMemory();
    });
    checkHost();
}

BOOST_AUTO_TEST_CASE(Clients_that_never_read_their_answers_take_bounded_memory)
{
    UntrustedClients callers(site.callerEndpoint(0), SilentReaders);
    UntrustedClients readers(site.metricsEndpoint(0), SilentReaders);
    const auto exceeds = [this] {
        return exceedsMemory();
    };
    callers.send("", repeated("GET /checks/ HTTP/1.1\r\nHost: desk.example\r\n\r\n", 60000), SilentReaderBytesEach, exceeds);
    readers.send("", repeated("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 60000), SilentReaderBytesEach, exceeds);
    checkHost();
}

BOOST_AUTO_TEST_CASE(Bodies_that_are_refused_take_bounded_memory)
{
    UntrustedClients clients(site.callerEndpoint(0), RefusedSenders);
    clients.send(postHead() + "Content-Length: 1000000000\r\n\r\n", std::string(60000, 'x'), RefusedBytesEach, [this] {
        return exceedsMemory();
    });
    checkHost();
}

BOOST_AUTO_TEST_CASE(Large_jobs_that_wait_take_bounded_memory)
{
    const auto body = largeJob();
    BOOST_REQUIRE(body.size() <= BodyLimit);
    std::vector<std::unique_ptr<UntrustedClients>> clients;
    for (std::size_t job = 0; job < LargeJobs && !exceedsMemory(); ++job) {
        const auto request = postHead() + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        clients.push_back(std::make_unique<UntrustedClients>(site.callerEndpoint(0), 1));
        clients.back()->send(request, "-", request.size(), [this] {
            return exceedsMemory();
        });
    }
    checkHost();
}

BOOST_AUTO_TEST_CASE(A_single_request_within_the_limits_is_served)
{
    const std::string close = "Connection: close\r\n";
    const auto job = paddedJob(BodyLimit);
    const auto length = "Content-Length: " + std::to_string(job.size()) + "\r\n";
    auto head = postHead() + close + length + "Filler: ";
    head += std::string(HeaderLimit - head.size() - 4, 'f') + "\r\n\r\n";
    BOOST_TEST(head.size() == HeaderLimit);
    BOOST_TEST(answerTo(head + job).starts_with("HTTP/1.1 200"));
    // As many fields as the limit allows.
    head = postHead() + close + length;
    head += repeated("a:\r\n", HeaderLimit - head.size() - 6) + "\r\n";
    BOOST_TEST(answerTo(head + job).starts_with("HTTP/1.1 200"));
    const auto chunks = inOneByteChunks(job);
    const auto chunkedHead = [&] {
        return postHead() + close + "Transfer-Encoding: chunked\r\n\r\n";
    };
    BOOST_TEST(answerTo(chunkedHead() + chunks + "\r\n").starts_with("HTTP/1.1 200"));
    BOOST_TEST(answerTo(chunkedHead() + chunks + "Checksum: 0123456789abcdef\r\nNote: small\r\n\r\n").starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{
/// As in DoorSuite.
constexpr std::uint64_t ServeMemoryLimitMb = 128;
/// Twice the limit with the number of endless senders.
/// Below the length that the messages declare.
constexpr std::size_t ServeMessageBytes = 16000;
constexpr std::size_t ServeBytesEach = 64 * 1024 * 1024;

/// Lets the processes that are started meanwhile open so many descriptors.
class LowDescriptorLimit
{
public:
    explicit LowDescriptorLimit(rlim_t descriptors)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit lowered {descriptors, m_before.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~LowDescriptorLimit()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }

    LowDescriptorLimit(const LowDescriptorLimit &) = delete;
    LowDescriptorLimit &operator=(const LowDescriptorLimit &) = delete;

private:
    rlimit m_before {};
};

std::unique_ptr<Site> siteWithFewDescriptors()
{
    const LowDescriptorLimit lowered(DescriptorLimit);
    return std::make_unique<Site>(SiteOptions(), ANVILCART_BINARIES);
}

bool completesOrdinaryJob(Site &site)
{
    return eventually([&site] {
        return codeOf(site.call(site.callerDoor(0, 0), "POST", "/v1/jobs", jobBody("ordinary", 1, Milliseconds(5)))) == 0;
    });
}
} // namespace

BOOST_AUTO_TEST_SUITE(UntrustedClientsOfServeSuite, *boost::unit_test::label("untrusted"))

// The endpoints of anvilcart serve are the same server.
BOOST_AUTO_TEST_CASE(Endless_trailers_and_extensions_take_bounded_memory_at_every_door)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto process = site.entryHost(0, 0).id();
    const auto exceedsMemory = [process] {
        return statusKb(process, "VmRSS") > ServeMemoryLimitMb * 1024;
    };
    const std::string head = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &door : {site.callerDoor(0, 0), site.operatorDoor(0, 0)}) {
        UntrustedClients(door, EndlessSenders).send(head + "0\r\na: ", std::string(60000, 'b'), ServeBytesEach, exceedsMemory);
        UntrustedClients(door, EndlessSenders).send(head + "1;", std::string(60000, 'a'), ServeBytesEach, exceedsMemory);
    }
    BOOST_TEST_MESSAGE("peak memory " << statusKb(process, "VmHWM") << " KB");
    BOOST_TEST(statusKb(process, "VmHWM") <= ServeMemoryLimitMb * 1024);
    BOOST_TEST(completesOrdinaryJob(site));
    BOOST_TEST(site.entryHost(0, 0).isRunning());
}

// A site of 400 descriptors for each process: half of those not reserved for files are the callers'.
BOOST_AUTO_TEST_CASE(Idle_connections_leave_descriptors_free_at_every_door)
{
    const auto site = siteWithFewDescriptors();
    const auto process = site->entryHost(0, 0).id();
    for (const auto &door : {site->callerDoor(0, 0), site->operatorDoor(0, 0), site->peerDoor(0, 0)}) {
        const UntrustedClients clients(door, 2 * OpenConnections);
        std::this_thread::sleep_for(Milliseconds(500));
        BOOST_TEST(countDescriptors(process).sockets <= DescriptorLimit - ReservedForFiles);
        BOOST_TEST(completesOrdinaryJob(*site));
    }
    BOOST_TEST(site->entryHost(0, 0).isRunning());
}

BOOST_AUTO_TEST_CASE(Incomplete_messages_between_hosts_leave_descriptors_free)
{
    const auto site = siteWithFewDescriptors();
    const auto process = site->entryHost(0, 0).id();
    UntrustedClients clients(site->peerDoor(0, 0), 2 * OpenConnections);
    const std::string length {'\0', '\0', '\x3f', '\0'};
    clients.send(length, std::string(1000, 'x'), ServeMessageBytes, [process] {
        return statusKb(process, "VmRSS") > ServeMemoryLimitMb * 1024;
    });
    BOOST_TEST(countDescriptors(process).sockets <= DescriptorLimit - ReservedForFiles);
    BOOST_TEST(statusKb(process, "VmHWM") <= ServeMemoryLimitMb * 1024);
    BOOST_TEST(completesOrdinaryJob(*site));
    BOOST_TEST(site->entryHost(0, 0).isRunning());
}

BOOST_AUTO_TEST_SUITE_END()
