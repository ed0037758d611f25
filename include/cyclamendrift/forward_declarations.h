#pragma once

/// Names of the public types, for headers that only point at them.
namespace cyclamendrift {

class Error;
class RequestError;
class TimerService;
struct DatabaseName;
struct Progress;
struct RowSet;
struct Statement;

} // namespace cyclamendrift
