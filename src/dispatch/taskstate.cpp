#include "dispatch/taskstate.h"

#include <array>

namespace Anvilcart
{
namespace
{
constexpr std::array<std::string_view, TaskStateCount> Names = {"queued", "sent", "finished", "unknown", "cancelled"};

struct Transition
{
    TaskState from;
    TaskState to;
};

constexpr std::array Transitions = {
    Transition {TaskState::Queued, TaskState::Sent},
    Transition {TaskState::Queued, TaskState::Cancelled},
    Transition {TaskState::Queued, TaskState::Finished},
    Transition {TaskState::Sent, TaskState::Queued},
    Transition {TaskState::Sent, TaskState::Finished},
    Transition {TaskState::Sent, TaskState::Unknown},
    Transition {TaskState::Sent, TaskState::Cancelled},
};
} // namespace

std::string_view toName(TaskState state)
{
    return Names[static_cast<std::size_t>(state)];
}

bool isTransition(TaskState from, TaskState to)
{
    for (const auto &transition : Transitions) {
        if (transition.from == from && transition.to == to) {
            return true;
        }
    }
    return false;
}
} // namespace Anvilcart
