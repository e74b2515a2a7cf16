/** Shares of one workspace that may be in force in each data centre. */
import { type Share, zeroShare } from "./shareTable.ts";

interface RecordedShare {
    readonly version: number;
    readonly share: Share;
}

interface DataCentreState {
    /** Shares from the one known to be in force to the latest, oldest first. */
    history: RecordedShare[];
    confirmedVersion: number;
    reportedAtMs: number;
    wantedPerSecond: number;
}

/**
 * Records shares and demand reports of one workspace, as a leader has seen them since its election. A share counts as
 * in force until a permit home has reported a version that replaces it.
 */
export class ShareTracker {
    private readonly states = new Map<string, DataCentreState>();
    private readonly electionVersion: number;

    /** @param electionVersion configuration version at the leader's election; it does not know earlier shares */
    constructor(electionVersion: number) {
        this.electionVersion = electionVersion;
    }

    get dataCentres(): readonly string[] {
        return [...this.states.keys()];
    }

    recordShare(dataCentre: string, version: number, share: Share): void {
        const state = this.stateOf(dataCentre);
        const latest = state.history.at(-1)?.share;
        if (latest?.ratePerSecond !== share.ratePerSecond || latest.burst !== share.burst) {
            state.history.push({ version, share });
        }
    }

    recordDemand(dataCentre: string, wantedPerSecond: number, versionInForce: number, nowMs: number): void {
        const state = this.stateOf(dataCentre);
        state.wantedPerSecond = wantedPerSecond;
        state.reportedAtMs = nowMs;
        state.confirmedVersion = Math.max(state.confirmedVersion, versionInForce);
        while (state.history.length > 1 && state.history[1]!.version <= state.confirmedVersion) {
            state.history.shift();
        }
    }

    /** Latest recorded share. */
    currentShare(dataCentre: string): Share {
        return this.states.get(dataCentre)?.history.at(-1)?.share ?? zeroShare;
    }

    /** Maximum rate and maximum burst of the shares that may be in force. */
    maximumShare(dataCentre: string): Share {
        return (this.states.get(dataCentre)?.history ?? []).reduce(
            (largest, { share }) => componentwiseMaximum(largest, share),
            zeroShare,
        );
    }

    wantedPerSecond(dataCentre: string): number {
        return this.states.get(dataCentre)?.wantedPerSecond ?? 0;
    }

    /** A data centre without a recent report may be partitioned from the leader; its share must not change. */
    hasReportedSince(dataCentre: string, sinceMs: number): boolean {
        return (this.states.get(dataCentre)?.reportedAtMs ?? -Infinity) >= sinceMs;
    }

    /**
     * Whether every data centre has confirmed a version since this leader's election. Until then a share that an
     * earlier leader reduced may still be in force, and only what this leader itself takes away from one data centre
     * may be allocated to another.
     */
    get allConfirmed(): boolean {
        return [...this.states.values()].every(state => state.confirmedVersion >= this.electionVersion);
    }

    /** Whether no data centre has a share yet, so that no statement of the workspace is admitted. */
    get isUndivided(): boolean {
        return this.dataCentres.every(dataCentre => this.currentShare(dataCentre).ratePerSecond === 0);
    }

    /** Demand above the shares, summed over the data centres. */
    get shortagePerSecond(): number {
        return [...this.states].reduce(
            (sum, [dataCentre, state]) =>
                sum + Math.max(0, state.wantedPerSecond - this.currentShare(dataCentre).ratePerSecond),
            0,
        );
    }

    /** Whether a data centre that has reported since `sinceMs` has not yet confirmed a reduction. */
    hasUnconfirmedReduction(sinceMs: number): boolean {
        return [...this.states.values()].some(({ history, reportedAtMs }) =>
            history.length > 1 && reportedAtMs >= sinceMs
        );
    }

    private stateOf(dataCentre: string): DataCentreState {
        let state = this.states.get(dataCentre);
        if (state === undefined) {
            state = { history: [], confirmedVersion: 0, reportedAtMs: -Infinity, wantedPerSecond: 0 };
            this.states.set(dataCentre, state);
        }
        return state;
    }
}

export function componentwiseMaximum(left: Share, right: Share): Share {
    return {
        ratePerSecond: Math.max(left.ratePerSecond, right.ratePerSecond),
        burst: Math.max(left.burst, right.burst),
    };
}
