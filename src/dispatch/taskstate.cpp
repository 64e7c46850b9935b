#include "dispatch/taskstate.h"

#include <array>

namespace Anvilcart
{
namespace
{
constexpr std::array<std::string_view, TaskStateCount> Names = {"queued", "sent", "finished", "unknown", "cancelled"};

struct Edge
{
    TaskState from;
    TaskState to;
};

constexpr std::array Edges = {
    Edge {TaskState::Queued, TaskState::Sent},
    Edge {TaskState::Queued, TaskState::Cancelled},
    Edge {TaskState::Queued, TaskState::Finished},
    Edge {TaskState::Sent, TaskState::Queued},
    Edge {TaskState::Sent, TaskState::Finished},
    Edge {TaskState::Sent, TaskState::Unknown},
    Edge {TaskState::Sent, TaskState::Cancelled},
};
} // namespace

std::string_view toName(TaskState state)
{
    return Names[static_cast<std::size_t>(state)];
}

bool isEdge(TaskState from, TaskState to)
{
    for (const auto &edge : Edges) {
        if (edge.from == from && edge.to == to) {
            return true;
        }
    }
    return false;
}
} // namespace Anvilcart
