#pragma once

#include "model/endpoint.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace Anvilcart
{
/// Picks the door for each job as the platform's balancer would: ready doors in turn. Lives on one loop.
class Balancer
{
public:
    explicit Balancer(const std::vector<Endpoint> &doors);

    /// The index of the next door that is believed to be ready, or nothing.
    std::optional<std::size_t> next();

    /// Where the door is. Precondition: next() returned the index.
    const Endpoint &door(std::size_t index) const;

    /// Takes a door out until its next good health check.
    void markDown(std::size_t index);

    /// Asks every door's /readyz periodically; never returns.
    boost::asio::awaitable<void> watch(std::size_t index);

    std::size_t size() const;

private:
    struct Door
    {
        Endpoint endpoint;
        bool ready = true;
    };

    std::vector<Door> m_doors;
    std::size_t m_next = 0;
};
} // namespace Anvilcart
