/** The leases of this instance and their expiry by its own clock. */
import type { LeaseReference } from "../model/healthMessages.ts";
import {
    clockDriftFraction,
    type LeaseAssignment,
    leaseDurationMs,
    permitLeaseDurationMs,
    ResourceKind,
} from "../model/lease.ts";

/** Validity of a database lease by the holder's clock, counted from the sending of the heartbeat that renewed it. */
export const leaseValidityMs = leaseDurationMs * (1 - clockDriftFraction);

/** Validity of a permit home's lease, counted in the same way. */
const permitValidityMs = permitLeaseDurationMs * (1 - clockDriftFraction);

/** A lease that was given back is not renewed; its resource can be held again in a later epoch only. */
export class OwnLeases {
    private renewed: readonly LeaseReference[] = [];
    private readonly givenBackByResource = new Map<string, LeaseReference>();
    /** Expiry of the database leases. */
    validUntilMs = 0;
    /** Expiry of the permit home leases. */
    permitsUntilMs = 0;

    /** Applies the renewed leases in the answer to a heartbeat that was sent at `sentAtMs`. */
    renew(renewed: readonly LeaseReference[], sentAtMs: number): void {
        this.renewed = renewed.filter(lease =>
            (this.givenBackByResource.get(resourceKey(lease))?.epoch ?? 0) < lease.epoch
        );
        this.validUntilMs = sentAtMs + leaseValidityMs;
        this.permitsUntilMs = sentAtMs + permitValidityMs;
    }

    validAt(nowMs: number): readonly LeaseReference[] {
        return this.renewed.filter(({ resource }) =>
            nowMs < (resource === ResourceKind.Permits ? this.permitsUntilMs : this.validUntilMs)
        );
    }

    /** Ends the matching leases locally. Returns whether there was one. */
    giveBack(matches: (lease: LeaseReference) => boolean): boolean {
        const ended = this.renewed.filter(matches);
        ended.forEach(lease => this.givenBackByResource.set(resourceKey(lease), lease));
        this.renewed = this.renewed.filter(lease => !matches(lease));
        return ended.length > 0;
    }

    get givenBack(): readonly LeaseReference[] {
        return [...this.givenBackByResource.values()];
    }

    /** Drops given-back leases whose resources have been reassigned. */
    dropReplaced(assignments: readonly LeaseAssignment[]): void {
        if (this.givenBackByResource.size === 0) {
            return;
        }
        for (const assignment of assignments) {
            if ((this.givenBackByResource.get(resourceKey(assignment))?.epoch ?? Infinity) < assignment.epoch) {
                this.givenBackByResource.delete(resourceKey(assignment));
            }
        }
    }
}

/** Key that is unique across all kinds of resources. */
export function resourceKey(lease: { readonly resource: ResourceKind; readonly resourceId: string; }): string {
    return `${lease.resource}/${lease.resourceId}`;
}
