//! Type aliases of identifiers.

/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a rack, unique in its availability zone.
pub type RackId = String;
/// Name of a pool of VMs.
pub type PoolId = String;
/// Name of a VM.
pub type VmId = String;
/// Name of a service.
pub type ServiceId = String;
/// Name of a team, the unit of quotas and fair shares.
pub type TeamId = String;
/// Name of a maintenance wave.
pub type WaveId = String;
/// Name of an entry VM.
pub type EntryId = String;
/// Random number that an entry draws at start; a restarted entry draws a new one.
pub type Incarnation = u64;
/// Position of a record in a stream of the platform's log, from 0.
pub type Offset = u64;
/// Fencing number of a lease; it increases with each change of the holder.
pub type Epoch = u64;
/// Idempotency key of an operator's call or of an action.
pub type OperationId = String;
/// Identifier of one attempt to run a request on an endpoint.
pub type AttemptId = u128;
/// Idempotency key by which a caller names a request that must not be run twice.
pub type OrderKey = String;
/// Kind and name of a declared object, as `vm/a1`.
pub type ObjectId = String;
/// Name of a lease.
pub type LeaseId = String;
/// Fingerprint of an order's key, with its service and team.
pub type OrderId = u128;
