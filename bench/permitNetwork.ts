/** Calls between entry instances and permit homes of one data centre, with lost, duplicated and delayed responses. */
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
import type { RateInstance } from "./rateInstance.ts";
import type { Simulation } from "./simulation.ts";

export interface PermitNetworkOptions {
    /** One-way latency within a data centre and between two data centres. */
    readonly localLatencyMs: number;
    readonly remoteLatencyMs: number;
    readonly jitterMs: number;
    /** Probabilities that a permit home's response is lost, is delivered twice, and is delayed by up to 400 ms. */
    readonly lossProbability: number;
    readonly duplicationProbability: number;
    readonly latenessProbability: number;
}

export class PermitNetwork {
    private readonly options: PermitNetworkOptions;
    private readonly simulation: Simulation;
    private readonly random: SeededRandom;
    private readonly retirements = new Map<
        string,
        { readonly from: RateInstance; readonly retire: PermitRetire; }
    >();
    private readonly calls = new Map<string, { readonly from: RateInstance; readonly forward: PermitForward; }>();
    private nextCallNumber = 0;

    constructor(options: PermitNetworkOptions, simulation: Simulation, random: SeededRandom) {
        this.options = options;
        this.simulation = simulation;
        this.random = random;
    }

    /** Number of calls sent: permit requests and retire requests. */
    get requestCount(): number {
        return this.nextCallNumber;
    }

    randomLocalLatencyMs(): number {
        const { localLatencyMs, jitterMs } = this.options;
        return localLatencyMs + this.random.nextFloat() * jitterMs;
    }

    forward(from: RateInstance, forward: PermitForward, home: RateInstance | undefined): void {
        const origin = `call${this.nextCallNumber++}`;
        this.calls.set(origin, { from, forward });
        this.simulation.after(this.randomLocalLatencyMs(), () => {
            if (home?.isAlive) {
                home.post({ ...forward, kind: PermitKind.Request, origin } as Message);
            }
            else {
                this.reportUnanswered(origin);
            }
        });
    }

    reply(message: PermitReply): void {
        const {
            lossProbability,
            duplicationProbability,
            latenessProbability,
        } = this.options;
        const call = this.calls.get(message.origin);
        this.calls.delete(message.origin);
        const copies = this.happens(lossProbability) ? 0 : this.happens(duplicationProbability) ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const extraDelayMs = this.happens(latenessProbability) ? this.random.nextInteger(400) : 0;
            this.simulation.after(
                this.randomLocalLatencyMs() + extraDelayMs,
                () => call?.from.post({ ...message, kind: PermitKind.Granted } as Message),
            );
        }
    }

    /** @param previousHome undefined if no instance has its address */
    retire(from: RateInstance, retire: PermitRetire, previousHome: RateInstance | undefined): void {
        const origin = `retire${this.nextCallNumber++}`;
        this.retirements.set(origin, { from, retire });
        const { resourceId, epoch } = retire;
        this.simulation.after(this.randomLocalLatencyMs(), () => {
            if (previousHome?.isAlive) {
                previousHome.post({ kind: PermitKind.RetireRequested, origin, resourceId, epoch } as Message);
            }
            else {
                this.deliverRetired(origin, RetireOutcome.Gone, 0);
            }
        });
    }

    /** A lost response is never reported; the caller waits or retries, as after a timeout. */
    retireReply({ origin, known, waitMs }: PermitRetireReply): void {
        if (!this.happens(this.options.lossProbability)) {
            this.deliverRetired(origin, known ? RetireOutcome.Ended : RetireOutcome.Gone, waitMs);
        }
    }

    private deliverRetired(origin: string, outcome: RetireOutcome, waitMs: number): void {
        const { from, retire: { resourceId, epoch } } = this.retirements.get(origin)!;
        this.retirements.delete(origin);
        const retired = { kind: PermitKind.Retired, resourceId, epoch, outcome, waitMs } as Message;
        this.simulation.after(this.randomLocalLatencyMs(), () => from.post(retired));
    }

    private reportUnanswered(origin: string): void {
        const { from, forward: { requestId, workspace } } = this.calls.get(origin)!;
        this.calls.delete(origin);
        const body = { requestId, workspace, granted: 0, retryAfterMs: 0, answered: false };
        from.post({ kind: PermitKind.Granted, ...body } as Message);
    }

    private happens(probability: number): boolean {
        return probability > 0 && this.random.nextFloat() < probability;
    }
}
