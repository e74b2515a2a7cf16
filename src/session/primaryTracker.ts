/** Which database of a service leads, as far as this instance can tell. */

/** Time after which a database that denied to lead is asked again if nobody else claims to. */
const denialRetryMs = 300;

interface Claim {
    readonly databaseId: string;
    /** Time at which the claim reached this instance; order decides, because a later claim replaces an earlier one. */
    readonly order: number;
    deniedMs: number | undefined;
}

export class PrimaryTracker {
    private readonly claims = new Map<string, Claim>();
    private nextOrder = 0;

    /** A database began to report that it leads, or a promotion named it. */
    addClaim(databaseId: string): void {
        this.claims.set(databaseId, { databaseId, order: this.nextOrder++, deniedMs: undefined });
    }

    /** A database reports that it does not lead, or is gone. */
    removeClaim(databaseId: string): void {
        this.claims.delete(databaseId);
    }

    /** A database refused what only the primary runs. */
    recordDenial(databaseId: string, nowMs: number): void {
        const claim = this.claims.get(databaseId);
        if (claim !== undefined) {
            claim.deniedMs = nowMs;
        }
    }

    /** A database proved that it leads. */
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
     * The latest claim that stands; a denied one counts again after a while, because a promotion takes its time.
     * @param isKnown tells whether the database has reported here; a promotion may name one that has not
     */
    currentPrimary(isKnown: (databaseId: string) => boolean, nowMs: number): string | undefined {
        const claims = [...this.claims.values()].filter(({ databaseId }) => isKnown(databaseId))
            .sort((left, right) => right.order - left.order);
        const undenied = claims.find(claim => claim.deniedMs === undefined);
        const retryable = claims.find(claim => nowMs - (claim.deniedMs ?? nowMs) >= denialRetryMs);
        return (undenied ?? retryable)?.databaseId;
    }
}
