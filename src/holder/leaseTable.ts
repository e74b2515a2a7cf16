/** The leases of this instance on databases. Each filter keeps its own table. */
import type { LeasesRenewed } from "../model/clusterMessages.ts";
import { ResourceKind } from "../model/lease.ts";

export class LeaseTable {
    private epochs = new Map<string, number>();
    private expiryMs = 0;

    /** Replaces all leases; returns the databases whose lease was added, removed or given another epoch. */
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

    /** Epoch of the lease, even if it has expired; undefined when the last renewal did not contain the database. */
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
