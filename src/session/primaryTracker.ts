/** Tracks which database of a service is presumably the primary. */

/** Time after which a database that refused as not being the primary is tried again, if no other one claims to be. */
const denialRetryMs = 300;

interface Claim {
    readonly databaseId: string;
    /** Rises with each claim that reaches this instance; the latest claim takes precedence. */
    readonly order: number;
    deniedMs: number | undefined;
}

export class PrimaryTracker {
    private readonly claims = new Map<string, Claim>();
    private nextOrder = 0;

    /** Records that a database began to report itself as primary, or that a promotion chose it. */
    addClaim(databaseId: string): void {
        this.claims.set(databaseId, { databaseId, order: this.nextOrder++, deniedMs: undefined });
    }

    /** Removes the claim of a database that reports itself as replica, or that was removed. */
    removeClaim(databaseId: string): void {
        this.claims.delete(databaseId);
    }

    /** Records that a database refused a command because it is not the primary. */
    recordDenial(databaseId: string, nowMs: number): void {
        const claim = this.claims.get(databaseId);
        if (claim !== undefined) {
            claim.deniedMs = nowMs;
        }
    }

    /** Records that a database proved that it is the primary. */
    recordProof(databaseId: string): void {
        const claim = this.claims.get(databaseId);
        if (claim === undefined) {
            this.addClaim(databaseId);
        }
        else {
            claim.deniedMs = undefined;
        }
    }

    /**
     * Returns the database with the latest claim. A claim that its database denied is used again after a while, because
     * a promotion takes time.
     * @param isKnown whether this instance has a report of the database; a promotion may choose one without
     */
    currentPrimary(isKnown: (databaseId: string) => boolean, nowMs: number): string | undefined {
        const claims = [...this.claims.values()].filter(({ databaseId }) => isKnown(databaseId))
            .sort((left, right) => right.order - left.order);
        const undenied = claims.find(claim => claim.deniedMs === undefined);
        const retryable = claims.find(claim => nowMs - (claim.deniedMs ?? nowMs) >= denialRetryMs);
        return (undenied ?? retryable)?.databaseId;
    }
}
