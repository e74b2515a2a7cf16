/** Decides when the permit home of a lease may begin: not while an earlier home of its resource may still grant. */
import { type LeaseAssignment, permitLeaseDurationMs, ResourceKind } from "../model/lease.ts";
import { PermitKind, type PermitRetire, type PermitRetired, RetireOutcome } from "../model/permitMessages.ts";

/** What a home that is asked to retire tells of itself. */
export interface Retirement {
    /** False when this process knows nothing of the home. */
    readonly known: boolean;
    /** Time from now for which homes before it may still grant. */
    readonly waitMs: number;
}

export interface StartDecision {
    readonly mayStart: boolean;
    /** Question to the former home, if one is due. */
    readonly retireRequest: PermitRetire | undefined;
}

/** Pause before a former home that did not answer is asked again; above the time limit of the question. */
const askAgainMs = 500;

/** A holder of a resource, as this instance has learned of it. */
interface Holder {
    readonly epoch: number;
    readonly address: string;
    readonly sinceMs: number;
}

interface Succession {
    readonly current: Holder;
    /** The holder of the epoch before; undefined when this instance has not seen it. */
    readonly former: Holder | undefined;
}

interface Wait {
    readonly epoch: number;
    /** Every earlier home has ended by then. */
    untilMs: number;
    /** Infinity once there is nothing more to ask. */
    askAtMs: number;
}

/**
 * An assignment is agreed only after the leader has stopped to renew the one before. The homes before an epoch have
 * thus ended `permitLeaseDurationMs` after this instance saw the epoch, or earlier when the former home says so.
 */
export class HomeTakeover {
    private readonly successions = new Map<string, Succession>();
    private readonly waits = new Map<string, Wait>();
    /** Epoch of the last home that began in this process. */
    private readonly begun = new Map<string, number>();
    /** Homes of lower epochs were asked to retire and never begin again. */
    private readonly lowestEpochs = new Map<string, number>();

    /** Follows the agreed assignments. */
    updateAssignments(leases: readonly LeaseAssignment[], nowMs: number): void {
        for (const { resource, resourceId, epoch, instanceAddress } of leases) {
            const known = this.successions.get(resourceId)?.current;
            if (resource === ResourceKind.Permits && known?.epoch !== epoch) {
                const former = known?.epoch === epoch - 1 ? known : undefined;
                const current = { epoch, address: instanceAddress, sinceMs: nowMs };
                this.successions.set(resourceId, { current, former });
            }
        }
    }

    /** Asks for the beginning of a home, until it begins; `nextActionAtMs` tells when to ask again. */
    tryStart(lease: LeaseAssignment, nowMs: number): StartDecision {
        const { resourceId, epoch } = lease;
        if (epoch < this.minimumEpoch(resourceId)) {
            return { mayStart: false, retireRequest: undefined };
        }
        const wait = this.waitOf(lease, nowMs);
        if (nowMs >= wait.untilMs) {
            this.waits.delete(resourceId);
            this.begun.set(resourceId, epoch);
            return { mayStart: true, retireRequest: undefined };
        }
        if (nowMs < wait.askAtMs) {
            return { mayStart: false, retireRequest: undefined };
        }
        wait.askAtMs = nowMs + askAgainMs;
        const homeAddress = this.successions.get(resourceId)!.former!.address;
        return { mayStart: false, retireRequest: { kind: PermitKind.Retire, homeAddress, resourceId, epoch } };
    }

    /** Time at which a home that waits may begin, or is to ask again; Infinity when none waits. */
    nextActionAtMs(): number {
        return Math.min(...[...this.waits.values()].map(({ untilMs, askAtMs }) => Math.min(untilMs, askAtMs)));
    }

    /** Forgets the waits for all other resources, whose leases have ended or were given to others. */
    retainPendingStarts(resourceIds: ReadonlySet<string>): void {
        [...this.waits.keys()].filter(id => !resourceIds.has(id)).forEach(id => this.waits.delete(id));
    }

    recordRetired({ resourceId, epoch, outcome, waitMs }: Omit<PermitRetired, "kind">, nowMs: number): void {
        const wait = this.waits.get(resourceId);
        if (wait?.epoch !== epoch || outcome === RetireOutcome.Unresponsive) {
            return;
        }
        const former = this.successions.get(resourceId)!.former!;
        // No home was before the first one.
        const formersEndMs = former.epoch === 1 ? nowMs : former.sinceMs + permitLeaseDurationMs;
        wait.untilMs = Math.min(wait.untilMs, outcome === RetireOutcome.Ended ? nowMs + waitMs : formersEndMs);
        wait.askAtMs = Infinity;
    }

    /** Ends what this process has of the homes before `epoch`; they never begin again. */
    retire(resourceId: string, epoch: number, nowMs: number): Retirement {
        this.lowestEpochs.set(resourceId, Math.max(epoch, this.minimumEpoch(resourceId)));
        const wait = this.waits.get(resourceId);
        if (wait !== undefined && wait.epoch < epoch) {
            this.waits.delete(resourceId);
        }
        if (wait?.epoch === epoch - 1) {
            return { known: true, waitMs: Math.max(0, wait.untilMs - nowMs) };
        }
        return { known: this.begun.get(resourceId) === epoch - 1, waitMs: 0 };
    }

    /** Homes of lower epochs have to end. */
    minimumEpoch(resourceId: string): number {
        return this.lowestEpochs.get(resourceId) ?? 0;
    }

    private waitOf(lease: LeaseAssignment, nowMs: number): Wait {
        const { resourceId, epoch, instanceAddress } = lease;
        const known = this.waits.get(resourceId);
        if (known?.epoch === epoch) {
            return known;
        }
        const succession = this.successions.get(resourceId);
        const sinceMs = succession?.current.epoch === epoch ? succession.current.sinceMs : nowMs;
        const former = succession?.current.epoch === epoch ? succession.former : undefined;
        const ownRetirement = former?.address === instanceAddress ? this.retire(resourceId, epoch, nowMs) : undefined;
        const asks = former !== undefined && ownRetirement === undefined;
        const wait: Wait = {
            epoch,
            untilMs: epoch === 1 ? nowMs : sinceMs + permitLeaseDurationMs,
            askAtMs: asks ? nowMs : Infinity,
        };
        this.waits.set(resourceId, wait);
        if (ownRetirement !== undefined) {
            const outcome = ownRetirement.known ? RetireOutcome.Ended : RetireOutcome.Gone;
            this.recordRetired({ resourceId, epoch, outcome, waitMs: ownRetirement.waitMs }, nowMs);
        }
        return wait;
    }
}
