#pragma once

#include "dispatch/interfaces/outcomesource.h"
#include "dispatch/interfaces/targetport.h"
#include "kernel/eventloops.h"
#include "target/targetclient.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The clients of all targets, spread over the loops. Used on the decision loop.
class TargetPool : public TargetPort, public OutcomeSource
{
public:
    /// The loops outlive the pool. Connections go out from sourceAddress.
    TargetPool(EventLoops &loops, boost::asio::any_io_executor decisions, std::string sourceAddress);

    void configure(TargetIndex target, const TargetSpec &spec) override;
    void start(TargetIndex target, TaskStart start) override;
    void stop(TargetIndex target, const std::string &submission, const std::string &task) override;
    void setOutcomeHandler(OutcomeHandler handler) override;

private:
    EventLoops &m_loops;
    boost::asio::any_io_executor m_decisions;
    std::string m_sourceAddress;
    OutcomeHandler m_onOutcome;
    std::vector<std::shared_ptr<TargetClient>> m_clients;
};
} // namespace Anvilcart
