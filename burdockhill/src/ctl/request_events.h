#ifndef BURDOCKHILL_SRC_CTL_REQUEST_EVENTS_H_
#define BURDOCKHILL_SRC_CTL_REQUEST_EVENTS_H_

#include <istream>
#include <string>
#include <vector>

namespace burdockhill {

// Returns a row for each event about one request in an event log: process, time
// since the first event of the request in this process, event name, and the
// other fields as "name=value". The lines of several processes may be mixed,
// and each may have a prefix before its JSON. Other lines are skipped.
std::vector<std::vector<std::string>> FindRequestEvents(
    std::istream* log, const std::string& request);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_CTL_REQUEST_EVENTS_H_
