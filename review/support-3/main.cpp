#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

/// Plays one case: review-case NAME RECORD BINARY. Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not be played.
int main(int argc, char **argv)
{
    static const std::map<std::string, Review::Case> Cases {
        {"cancelled-after-route-change", Review::playCancelledAfterRouteChange},
        {"cancelled-before-read", Review::playCancelledBeforeRead},
        {"cancelled-before-restart", Review::playCancelledBeforeRestart},
        {"entry-of-another-writer", Review::playEntryOfAnotherWriter},
        {"late-order-of-lost-dispatcher", Review::playLateOrderOfLostDispatcher},
        {"long-name-in-store", Review::playLongNameInStore},
        {"return-of-smaller-worker", Review::playReturnOfSmallerWorker},
        {"same-id-in-two-queues", Review::playSameIdInTwoQueues},
    };
    constexpr int ArgumentCount = 4;
    const auto found = argc == ArgumentCount ? Cases.find(argv[1]) : Cases.end();
    if (found == Cases.end()) {
        std::cerr << "usage: review-case NAME RECORD BINARY\n";
        return 2;
    }
    const auto *trouble = std::getenv("TROUBLE");
    Review::Record record(argv[2]);
    const bool isPlayed = found->second({argv[3], trouble == nullptr || std::string(trouble) != "0", record});
    if (!isPlayed) {
        record.note("the case could not be played");
        return 2;
    }
    record.note(std::to_string(record.brokenCount()) + " times a rule was broken");
    return record.brokenCount() > 0 ? 1 : 0;
}
