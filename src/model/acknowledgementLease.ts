/**
 * Lease on acknowledgements: an instance passes acknowledgements of commits on only while it holds a lease of the control
 * leader, so that a leader that can't ask it knows when it has stopped to.
 */

/** Duration of a lease, on the clock of the instance and from the time at which it asked. */
export const leaseDurationMs = 1_600;

/** Interval at which an instance asks for a new lease; a few answers may be lost before the lease ends. */
export const leaseRenewalMs = 400;

/** The same while the instance holds no lease: the leader grants none before the replicated state names the instance. */
export const leaseRetryMs = 150;

/** Duration after which a lease has ended on the clock of the member that granted it, whichever of the clocks runs faster. */
export const leaseEndMs = leaseDurationMs * 1.01;

/** Time for which a member may go on granting leases after another one was elected; it steps down without a majority. */
export const formerLeaderMs = 1_000;
