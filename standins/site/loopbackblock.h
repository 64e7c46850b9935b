#pragma once

namespace Anvilcart
{
/// One second number of 127.N.x.y that no other site on this machine uses while this object lives.
class LoopbackBlock
{
public:
    /// Takes a free number. Throws std::runtime_error when all are taken.
    LoopbackBlock();
    ~LoopbackBlock();

    LoopbackBlock(const LoopbackBlock &) = delete;
    LoopbackBlock &operator=(const LoopbackBlock &) = delete;

    /// The second number of the addresses.
    int number() const;

private:
    int m_number = 0;
    int m_lockFile = -1;
};
} // namespace Anvilcart
