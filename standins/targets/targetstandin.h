#pragma once

#include "kernel/eventloops.h"
#include "model/endpoint.h"
#include "net/httpserver.h"
#include "targets/startledger.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Anvilcart
{
/// One target to be played.
struct PlayedTarget
{
    std::string name;
    Endpoint endpoint;
    std::uint32_t slots = 0;
};

/// What goes wrong at a target.
enum class TargetFault {
    None,
    Refuse,
    Leaving,
    Fail,
    Stall,
    CutBeforeStart,
    CutAfterStart,
    CutAfterRun,
    AnswerOther,
    AnswerLate,
    Slow,
    Dead,
};

/// One task that runs at a played target; its timer belongs to the connection's loop.
struct RunningTask
{
    explicit RunningTask(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    boost::asio::steady_timer timer;
    std::atomic<bool> stopped = false;
};

/// One played target: slots, a fault and what runs. Thread-safe where its members are.
struct TargetState
{
    PlayedTarget target;
    std::atomic<std::uint32_t> running = 0;
    std::atomic<TargetFault> fault = TargetFault::None;
    std::atomic<std::int64_t> faultMs = 0;
    std::atomic<std::uint64_t> starts = 0;
    std::atomic<std::uint64_t> refusals = 0;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<RunningTask>> stops;
    std::unique_ptr<HttpServer> server;
};

/// Plays targets: runs tasks by waiting, refuses what exceeds the slots, stops tasks, and injects faults.
/// POST /control with {"target": NAME or "*", "fault": NAME, "ms": N}; GET /ledger; GET /keys; GET /counts.
class TargetStandin
{
public:
    TargetStandin(EventLoops &loops,
                  const Endpoint &control,
                  const std::vector<PlayedTarget> &targets,
                  std::chrono::microseconds zoneDelay);

private:
    using Answer = boost::asio::awaitable<HttpResponse>;

    Answer handle(TargetState &state, HttpRequest request);
    Answer run(TargetState &state, std::string body);
    Answer handleControl(HttpRequest request);
    HttpResponse counts() const;
    HttpResponse setFault(const std::string &body);
    void listen(TargetState &state);
    void kill(TargetState &state);

    EventLoops &m_loops;
    std::chrono::microseconds m_zoneDelay;
    StartLedger m_ledger;
    std::vector<std::unique_ptr<TargetState>> m_targets;
    HttpServer m_control;
};
} // namespace Anvilcart
