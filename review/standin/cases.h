#pragma once

#include "world.h"

namespace review {

// Each returns 0 when the rule held, 1 when it was broken, 2 when the case could not run. Without trouble it
// does the same and leaves the disruption out.

/// Another writer's entry among the databases, whose address is no IP number that the proxy can use.
int runUnusableAddress(World& world, Record& record, bool trouble);
/// A client's data contains a line feed.
int runLineFeed(World& world, Record& record, bool trouble);
/// A machine gets SIGTERM while clients receive large answers.
int runPlannedStop(World& world, Record& record, bool trouble);

} // namespace review
