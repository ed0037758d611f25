#pragma once

#include <cyclamendrift.pb.h>

#include <iosfwd>

namespace cyclamendrift {

/// Writes the status of a fleet as two tables, of VMs and of databases.
void writeStatusTable(const api::StatusResponse& status, std::ostream& out);

} // namespace cyclamendrift
