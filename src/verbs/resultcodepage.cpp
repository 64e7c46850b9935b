#include "verbs/resultcodepage.h"

#include "model/resultcode.h"

#include <sstream>

namespace Anvilcart
{
std::string resultCodePage()
{
    std::ostringstream page;
    page << "# Result codes\n\n"
         << "Printed by `anvilcart explain --all`. The hundreds tell the class: 1xx the request is wrong, 2xx nothing was run,\n"
         << "3xx some tasks may have run, 4xx an operator's command, 5xx a fault of the daemon.\n\n"
         << "| code | name | HTTP | meaning | what to do |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &row : resultCodeTable()) {
        page << "| " << static_cast<int>(row.code) << " | `" << row.name << "` | " << row.httpStatus << " | " << row.meaning << " | "
             << row.advice << " |\n";
    }
    return page.str();
}
} // namespace Anvilcart
