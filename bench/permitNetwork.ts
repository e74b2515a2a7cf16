/** Calls between entry instances and permit homes of one data centre, with loss, duplication and delay of answers. */
import {
    type PermitForward,
    PermitKind,
    type PermitReply,
    type PermitRetire,
    type PermitRetireReply,
    RetireOutcome,
} from "../src/model/permitMessages.ts";
import type { Message } from "../src/pipeline/message.ts";
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { ClusterInstance } from "./clusterInstance.ts";
import type { Simulation } from "./simulation.ts";

export interface Network {
    /** One way, within a data centre and between two. */
    readonly localMs: number;
    readonly betweenMs: number;
    readonly jitterMs: number;
    /** Part of the answers of permit homes that are lost, that come twice, and that come up to 400 ms late. */
    readonly lostShare: number;
    readonly duplicateShare: number;
    readonly lateShare: number;
}

export class PermitNetwork {
    private readonly network: Network;
    private readonly simulation: Simulation;
    private readonly random: SeededRandom;
    private readonly retirements = new Map<
        string,
        { readonly from: ClusterInstance; readonly retire: PermitRetire; }
    >();
    private readonly calls = new Map<string, { readonly from: ClusterInstance; readonly forward: PermitForward; }>();
    private nextCall = 0;

    constructor(network: Network, simulation: Simulation, random: SeededRandom) {
        this.network = network;
        this.simulation = simulation;
        this.random = random;
    }

    /** Number of questions sent. */
    get questions(): number {
        return this.nextCall;
    }

    localDelay(): number {
        const { localMs, jitterMs } = this.network;
        return localMs + this.random.nextFloat() * jitterMs;
    }

    forward(from: ClusterInstance, forward: PermitForward, home: ClusterInstance | undefined): void {
        const origin = `call${this.nextCall++}`;
        this.calls.set(origin, { from, forward });
        this.simulation.after(this.localDelay(), () => {
            if (home?.alive) {
                home.post({ ...forward, kind: PermitKind.Request, origin } as Message);
            }
            else {
                this.fail(origin);
            }
        });
    }

    reply(message: PermitReply): void {
        const { lostShare, duplicateShare, lateShare } = this.network;
        const call = this.calls.get(message.origin);
        this.calls.delete(message.origin);
        const copies = this.happens(lostShare) ? 0 : this.happens(duplicateShare) ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const lateMs = this.happens(lateShare) ? this.random.nextInteger(400) : 0;
            this.simulation.after(
                this.localDelay() + lateMs,
                () => call?.from.post({ ...message, kind: PermitKind.Granted } as Message),
            );
        }
    }

    /** @param former undefined when its address belongs to nobody */
    retire(from: ClusterInstance, retire: PermitRetire, former: ClusterInstance | undefined): void {
        const origin = `retire${this.nextCall++}`;
        this.retirements.set(origin, { from, retire });
        const { resourceId, epoch } = retire;
        this.simulation.after(this.localDelay(), () => {
            if (former?.alive) {
                former.post({ kind: PermitKind.RetireRequested, origin, resourceId, epoch } as Message);
            }
            else {
                this.answerRetire(origin, RetireOutcome.Gone, 0);
            }
        });
    }

    /** An answer that is lost is never reported; the asker then waits or asks again, as it does after a time limit. */
    retireReply({ origin, known, waitMs }: PermitRetireReply): void {
        if (!this.happens(this.network.lostShare)) {
            this.answerRetire(origin, known ? RetireOutcome.Ended : RetireOutcome.Gone, waitMs);
        }
    }

    private answerRetire(origin: string, outcome: RetireOutcome, waitMs: number): void {
        const { from, retire: { resourceId, epoch } } = this.retirements.get(origin)!;
        this.retirements.delete(origin);
        const retired = { kind: PermitKind.Retired, resourceId, epoch, outcome, waitMs } as Message;
        this.simulation.after(this.localDelay(), () => from.post(retired));
    }

    private fail(origin: string): void {
        const { from, forward: { requestId, workspace } } = this.calls.get(origin)!;
        this.calls.delete(origin);
        const body = { requestId, workspace, granted: 0, retryAfterMs: 0, answered: false };
        from.post({ kind: PermitKind.Granted, ...body } as Message);
    }

    private happens(share: number): boolean {
        return share > 0 && this.random.nextFloat() < share;
    }
}
