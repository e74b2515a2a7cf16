/** What the shares of one workspace may still be, per data centre. */
import { type Share, zeroShare } from "./shareTable.ts";

interface Recorded {
    readonly version: number;
    readonly share: Share;
}

interface Holding {
    /** Shares from the one known to be in force to the latest, oldest first. */
    history: Recorded[];
    confirmedVersion: number;
    reportedMs: number;
    wantedPerSecond: number;
}

/**
 * Records shares and reports of one workspace, as a leader sees them since its election. A share counts until a
 * home has reported a version that replaces it.
 */
export class ShareTracker {
    private readonly holdings = new Map<string, Holding>();
    private readonly electionVersion: number;

    /** @param electionVersion configuration version at which this leader was elected; earlier shares are unknown to it */
    constructor(electionVersion: number) {
        this.electionVersion = electionVersion;
    }

    get dataCentres(): readonly string[] {
        return [...this.holdings.keys()];
    }

    recordShare(dataCentre: string, version: number, share: Share): void {
        const holding = this.holding(dataCentre);
        const latest = holding.history.at(-1)?.share;
        if (latest?.ratePerSecond !== share.ratePerSecond || latest.burst !== share.burst) {
            holding.history.push({ version, share });
        }
    }

    recordDemand(dataCentre: string, wantedPerSecond: number, versionInForce: number, nowMs: number): void {
        const holding = this.holding(dataCentre);
        holding.wantedPerSecond = wantedPerSecond;
        holding.reportedMs = nowMs;
        holding.confirmedVersion = Math.max(holding.confirmedVersion, versionInForce);
        while (holding.history.length > 1 && holding.history[1]!.version <= holding.confirmedVersion) {
            holding.history.shift();
        }
    }

    /** Latest recorded share. */
    currentShare(dataCentre: string): Share {
        return this.holdings.get(dataCentre)?.history.at(-1)?.share ?? zeroShare;
    }

    /** Largest share that may be in force. */
    maximumShare(dataCentre: string): Share {
        return (this.holdings.get(dataCentre)?.history ?? []).reduce(
            (largest, { share }) => componentwiseMaximum(largest, share),
            zeroShare,
        );
    }

    wantedPerSecond(dataCentre: string): number {
        return this.holdings.get(dataCentre)?.wantedPerSecond ?? 0;
    }

    /** A data centre that has not reported lately may be cut off; its share must stay as it is. */
    hasReportedSince(dataCentre: string, sinceMs: number): boolean {
        return (this.holdings.get(dataCentre)?.reportedMs ?? -Infinity) >= sinceMs;
    }

    /**
     * Every data centre has confirmed a version of this leader's time. Until then a share that an earlier leader
     * reduced may still be in force, and only what this leader itself takes away may be given to another.
     */
    get allConfirmed(): boolean {
        return [...this.holdings.values()].every(holding => holding.confirmedVersion >= this.electionVersion);
    }

    /** No data centre has a share yet; nothing of the workspace is served. */
    get isUndivided(): boolean {
        return this.dataCentres.every(dataCentre => this.currentShare(dataCentre).ratePerSecond === 0);
    }

    /** Demand per second above the shares, summed over the data centres. */
    get shortagePerSecond(): number {
        return [...this.holdings].reduce(
            (sum, [dataCentre, holding]) =>
                sum + Math.max(0, holding.wantedPerSecond - this.currentShare(dataCentre).ratePerSecond),
            0,
        );
    }

    /** A reduction waits for its confirmation in a data centre that has reported since `sinceMs`. */
    hasUnconfirmedReduction(sinceMs: number): boolean {
        return [...this.holdings.values()].some(({ history, reportedMs }) =>
            history.length > 1 && reportedMs >= sinceMs
        );
    }

    private holding(dataCentre: string): Holding {
        let holding = this.holdings.get(dataCentre);
        if (holding === undefined) {
            holding = { history: [], confirmedVersion: 0, reportedMs: -Infinity, wantedPerSecond: 0 };
            this.holdings.set(dataCentre, holding);
        }
        return holding;
    }
}

/** Larger rate and larger burst of two shares. */
export function componentwiseMaximum(left: Share, right: Share): Share {
    return {
        ratePerSecond: Math.max(left.ratePerSecond, right.ratePerSecond),
        burst: Math.max(left.burst, right.burst),
    };
}
