#pragma once

/// Names of the public types, for headers that only point at them.
namespace cyclamendrift {

class ConfirmationTracker;
class ConfigurationState;
class ConnectionPool;
class Error;
class FailoverCoordinator;
class FairQueue;
class KeyRing;
class Ledger;
class MembershipView;
class ReplicaTracker;
class RequestError;
class RetryBudget;
class SessionToken;
class TimerService;
class TransactionTable;
struct DatabaseName;
struct GroupView;
struct Progress;
struct RowSet;
struct SlotStatus;
struct Statement;

} // namespace cyclamendrift
