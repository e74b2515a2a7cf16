/** Decides when the permit home of a new lease may start: not while an earlier home may still grant permits. */
import { type LeaseAssignment, permitLeaseDurationMs, ResourceKind } from "../model/lease.ts";
import { PermitKind, type PermitRetire, type PermitRetired, RetireOutcome } from "../model/permitMessages.ts";

/** Answer of a process to the request to retire a home. */
export interface Retirement {
    /** False when this process has no record of the home. */
    readonly known: boolean;
    /** Time from now for which homes before it may still grant permits. */
    readonly waitMs: number;
}

export interface StartDecision {
    readonly mayStart: boolean;
    /** Request to the former home, if one is due. */
    readonly retireRequest: PermitRetire | undefined;
}

/**
 * Interval of the requests to an unresponsive former home; several times the round trip time between regions (24 ms). Earlier
 * ones may still be answered: the first answer counts.
 */
const retireRetryIntervalMs = 500;

/** Holder of a permit lease, as this instance saw it in the configuration. */
interface ObservedHolder {
    readonly epoch: number;
    readonly address: string;
    readonly observedAtMs: number;
}

interface Succession {
    readonly current: ObservedHolder;
    /** Holder of the previous epoch; undefined if this instance has not seen it. */
    readonly former: ObservedHolder | undefined;
}

/** Lowest epoch whose home may start or continue in this process. */
interface MinimumEpoch {
    readonly epoch: number;
    readonly requestedAtMs: number;
}

interface PendingStart {
    readonly epoch: number;
    /** All earlier homes have ended by then. */
    earliestStartAtMs: number;
    /** Infinity when no further request to the former home is needed. */
    nextRequestAtMs: number;
}

/**
 * The leader commits an assignment only after it has stopped renewing the previous lease. All homes before an epoch
 * have thus ended `permitLeaseDurationMs` after this instance saw the epoch, or earlier if the former home reports so.
 */
export class HomeTakeover {
    private readonly successions = new Map<string, Succession>();
    private readonly pendingStarts = new Map<string, PendingStart>();
    /** Epoch of the last home that started in this process, by resource id. */
    private readonly startedEpochs = new Map<string, number>();
    /** By resource id; homes of lower epochs were requested to retire and never start again. */
    private readonly minimumEpochs = new Map<string, MinimumEpoch>();

    /** Records the holders of new epochs from the assignments of the applied configuration. */
    updateAssignments(leases: readonly LeaseAssignment[], nowMs: number): void {
        for (const { resource, resourceId, epoch, instanceAddress } of leases) {
            const latest = this.successions.get(resourceId)?.current;
            if (resource === ResourceKind.Permits && latest?.epoch !== epoch) {
                const former = latest?.epoch === epoch - 1 ? latest : undefined;
                const current = { epoch, address: instanceAddress, observedAtMs: nowMs };
                this.successions.set(resourceId, { current, former });
            }
        }
    }

    /** Called until the home may start; the next call is due at `nextActionAtMs`. */
    tryStart(lease: LeaseAssignment, nowMs: number): StartDecision {
        const { resourceId, epoch } = lease;
        if (epoch < this.minimumEpoch(resourceId)) {
            return { mayStart: false, retireRequest: undefined };
        }
        const pendingStart = this.pendingStartOf(lease, nowMs);
        if (nowMs >= pendingStart.earliestStartAtMs) {
            this.pendingStarts.delete(resourceId);
            this.startedEpochs.set(resourceId, epoch);
            return { mayStart: true, retireRequest: undefined };
        }
        if (nowMs < pendingStart.nextRequestAtMs) {
            return { mayStart: false, retireRequest: undefined };
        }
        pendingStart.nextRequestAtMs = nowMs + retireRetryIntervalMs;
        const homeAddress = this.successions.get(resourceId)!.former!.address;
        return { mayStart: false, retireRequest: { kind: PermitKind.Retire, homeAddress, resourceId, epoch } };
    }

    /** Time at which a pending home may start or its next request is due; Infinity if no start is pending. */
    nextActionAtMs(): number {
        return Math.min(
            ...[...this.pendingStarts.values()].map(({ earliestStartAtMs, nextRequestAtMs }) =>
                Math.min(earliestStartAtMs, nextRequestAtMs)
            ),
        );
    }

    /** Drops the pending starts of all other resources, whose leases ended or were assigned to other instances. */
    retainPendingStarts(resourceIds: ReadonlySet<string>): void {
        [...this.pendingStarts.keys()].filter(id => !resourceIds.has(id)).forEach(id => this.pendingStarts.delete(id));
    }

    recordRetired({ resourceId, epoch, outcome, waitMs }: Omit<PermitRetired, "kind">, nowMs: number): void {
        const pendingStart = this.pendingStarts.get(resourceId);
        if (pendingStart?.epoch !== epoch || outcome === RetireOutcome.Unresponsive) {
            return;
        }
        const former = this.successions.get(resourceId)!.former!;
        // The home of epoch 1 has no predecessor.
        const earlierHomesEndAtMs = former.epoch === 1 ? nowMs : former.observedAtMs + permitLeaseDurationMs;
        pendingStart.earliestStartAtMs = Math.min(
            pendingStart.earliestStartAtMs,
            outcome === RetireOutcome.Ended ? nowMs + waitMs : earlierHomesEndAtMs,
        );
        pendingStart.nextRequestAtMs = Infinity;
    }

    /** Cancels pending starts of homes before `epoch`; homes of these epochs never start again. */
    retire(resourceId: string, epoch: number, nowMs: number): Retirement {
        if (epoch > this.minimumEpoch(resourceId)) {
            this.minimumEpochs.set(resourceId, { epoch, requestedAtMs: nowMs });
        }
        const pendingStart = this.pendingStarts.get(resourceId);
        if (pendingStart !== undefined && pendingStart.epoch < epoch) {
            this.pendingStarts.delete(resourceId);
        }
        if (pendingStart?.epoch === epoch - 1) {
            return { known: true, waitMs: Math.max(0, pendingStart.earliestStartAtMs - nowMs) };
        }
        return { known: this.startedEpochs.get(resourceId) === epoch - 1, waitMs: 0 };
    }

    minimumEpoch(resourceId: string): number {
        return this.minimumEpochs.get(resourceId)?.epoch ?? 0;
    }

    /**
     * Releases the homes that requests retired for an epoch which nobody has: who sends one has seen the epoch assigned.
     * @param provedAtMs time at which the applied assignments were the newest ones
     */
    releaseUnfounded(provedAtMs: number): void {
        for (const [resourceId, { epoch, requestedAtMs }] of this.minimumEpochs) {
            const assignedEpoch = this.successions.get(resourceId)?.current.epoch ?? 0;
            if (requestedAtMs < provedAtMs && epoch > assignedEpoch) {
                this.minimumEpochs.delete(resourceId);
            }
        }
    }

    private pendingStartOf(lease: LeaseAssignment, nowMs: number): PendingStart {
        const { resourceId, epoch, instanceAddress } = lease;
        const existing = this.pendingStarts.get(resourceId);
        if (existing?.epoch === epoch) {
            return existing;
        }
        const succession = this.successions.get(resourceId);
        const observedAtMs = succession?.current.epoch === epoch ? succession.current.observedAtMs : nowMs;
        const former = succession?.current.epoch === epoch ? succession.former : undefined;
        const ownRetirement = former?.address === instanceAddress ? this.retire(resourceId, epoch, nowMs) : undefined;
        const canRequest = former !== undefined && ownRetirement === undefined;
        const pendingStart: PendingStart = {
            epoch,
            earliestStartAtMs: epoch === 1 ? nowMs : observedAtMs + permitLeaseDurationMs,
            nextRequestAtMs: canRequest ? nowMs : Infinity,
        };
        this.pendingStarts.set(resourceId, pendingStart);
        if (ownRetirement !== undefined) {
            const outcome = ownRetirement.known ? RetireOutcome.Ended : RetireOutcome.Gone;
            this.recordRetired({ resourceId, epoch, outcome, waitMs: ownRetirement.waitMs }, nowMs);
        }
        return pendingStart;
    }
}
