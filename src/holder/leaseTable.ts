/** The leases of this instance on databases, as one filter sees them. */
import type { LeasesRenewed } from "../model/clusterMessages.ts";
import { ResourceKind } from "../model/lease.ts";

export class LeaseTable {
    private epochs = new Map<string, number>();
    private expiryMs = 0;

    /** Replaces the leases; returns the databases whose lease is new, was lost, or has another epoch. */
    renew(message: LeasesRenewed): readonly string[] {
        const previous = this.epochs;
        this.epochs = new Map(
            message.leases
                .filter(lease => lease.resource === ResourceKind.Database)
                .map(lease => [lease.resourceId, lease.epoch]),
        );
        this.expiryMs = message.validUntilMs;
        const known = new Set([...previous.keys(), ...this.epochs.keys()]);
        return [...known].filter(databaseId => previous.get(databaseId) !== this.epochs.get(databaseId));
    }

    isValid(databaseId: string, nowMs: number): boolean {
        return nowMs < this.expiryMs && this.epochs.has(databaseId);
    }

    /** Epoch of the lease; undefined when the list has none, whether or not the others are still valid. */
    epoch(databaseId: string): number | undefined {
        return this.epochs.get(databaseId);
    }

    get databaseIds(): readonly string[] {
        return [...this.epochs.keys()];
    }

    get validUntilMs(): number {
        return this.expiryMs;
    }
}
