/** The leases of this instance, by its own clock. */
import type { LeaseReference } from "../model/healthMessages.ts";
import {
    clockDriftFraction,
    type LeaseAssignment,
    leaseDurationMs,
    permitLeaseDurationMs,
    ResourceKind,
} from "../model/lease.ts";

/** Leases are valid until the sending of the heartbeat that renewed them plus this, by the clock of the holder. */
export const leaseValidityMs = leaseDurationMs * (1 - clockDriftFraction);

/** The same for the leases of permit homes. */
const permitValidityMs = permitLeaseDurationMs * (1 - clockDriftFraction);

/** A lease that was given back stays so until its resource has a later epoch. */
export class OwnLeases {
    private renewed: readonly LeaseReference[] = [];
    private readonly givenBackByResource = new Map<string, LeaseReference>();
    /** End of the leases of databases. */
    validUntilMs = 0;
    /** End of the leases of permit homes. */
    permitsUntilMs = 0;

    /** Takes the leases of the answer to a heartbeat that was sent at `sentAtMs`. */
    renew(renewed: readonly LeaseReference[], sentAtMs: number): void {
        this.renewed = renewed.filter(lease =>
            (this.givenBackByResource.get(resourceKey(lease))?.epoch ?? 0) < lease.epoch
        );
        this.validUntilMs = sentAtMs + leaseValidityMs;
        this.permitsUntilMs = sentAtMs + permitValidityMs;
    }

    /** Leases still valid at `nowMs`. */
    validAt(nowMs: number): readonly LeaseReference[] {
        return this.renewed.filter(({ resource }) =>
            nowMs < (resource === ResourceKind.Permits ? this.permitsUntilMs : this.validUntilMs)
        );
    }

    /** Ends the matching leases on this side. Returns whether there was one. */
    giveBack(matches: (lease: LeaseReference) => boolean): boolean {
        const ended = this.renewed.filter(matches);
        ended.forEach(lease => this.givenBackByResource.set(resourceKey(lease), lease));
        this.renewed = this.renewed.filter(lease => !matches(lease));
        return ended.length > 0;
    }

    get givenBack(): readonly LeaseReference[] {
        return [...this.givenBackByResource.values()];
    }

    /** Drops given-back leases that the agreed configuration has replaced. */
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

/** Identifies a resource across kinds. */
export function resourceKey(lease: { readonly resource: ResourceKind; readonly resourceId: string; }): string {
    return `${lease.resource}/${lease.resourceId}`;
}
