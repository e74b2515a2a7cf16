/** Plans of the operations of each caller: generated from a seed or read from a recording. */
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { SeededRandom } from "../../src/pipeline/seededRandom.ts";

export const OperationKind = {
    PlaceOrder: "place_order",
    RedeemToken: "redeem_token",
    LookUp: "look_up",
    ReadYourWrites: "read_your_writes",
    WritePair: "write_pair",
    ReadPair: "read_pair",
} as const;
export type OperationKind = typeof OperationKind[keyof typeof OperationKind];

export interface PlanStep {
    readonly caller: number;
    /** Pause before the operation. */
    readonly pauseMs: number;
    readonly operation: OperationKind;
    /** Selects the row; operations use it modulo their number of rows. */
    readonly target: number;
    /** Selects a variant of the operation. */
    readonly variant: number;
    /** Whether to resend the statement after an unknown outcome. */
    readonly resend: boolean;
}

export interface Plan {
    nextStep(caller: number): PlanStep | undefined;
}

const operationShares: readonly (readonly [OperationKind, number])[] = [
    [OperationKind.LookUp, 0.5],
    [OperationKind.PlaceOrder, 0.18],
    [OperationKind.RedeemToken, 0.08],
    [OperationKind.ReadYourWrites, 0.12],
    [OperationKind.WritePair, 0.04],
    [OperationKind.ReadPair, 0.08],
];

const resendShare = 0.7;

/** Generates an endless sequence of steps per caller; equal seeds give equal sequences. */
export class SeededPlan implements Plan {
    private readonly randomByCaller = new Map<number, SeededRandom>();
    private readonly seed: number;
    private readonly pauseMs: number;

    /** @param pauseMs mean pause between the operations of one caller */
    constructor(seed: number, pauseMs: number) {
        this.seed = seed;
        this.pauseMs = pauseMs;
    }

    nextStep(caller: number): PlanStep {
        const random = this.randomByCaller.get(caller) ?? new SeededRandom(this.seed * 10_007 + caller);
        this.randomByCaller.set(caller, random);
        return {
            caller,
            pauseMs: Math.round(random.nextFloat() * 2 * this.pauseMs),
            operation: drawOperation(random.nextFloat()),
            target: random.nextInteger(1_000_000),
            variant: random.nextInteger(1_000),
            resend: random.nextFloat() < resendShare,
        };
    }
}

/** Records the steps of another plan in a file, one JSON object per line. */
export class RecordingPlan implements Plan {
    private readonly plan: Plan;
    private readonly path: string;

    constructor(plan: Plan, path: string) {
        this.plan = plan;
        this.path = path;
        writeFileSync(path, "");
    }

    nextStep(caller: number): PlanStep | undefined {
        const step = this.plan.nextStep(caller);
        if (step !== undefined) {
            appendFileSync(this.path, `${JSON.stringify(step)}\n`);
        }
        return step;
    }
}

/** Replays a recording; returns undefined after the last recorded step of a caller. */
export class RecordedPlan implements Plan {
    private readonly steps = new Map<number, PlanStep[]>();

    constructor(path: string) {
        for (const line of readFileSync(path, "utf8").split("\n").filter(text => text !== "")) {
            const step = JSON.parse(line) as PlanStep;
            this.steps.set(step.caller, [...this.steps.get(step.caller) ?? [], step]);
        }
    }

    nextStep(caller: number): PlanStep | undefined {
        return this.steps.get(caller)?.shift();
    }
}

function drawOperation(fraction: number): OperationKind {
    let cumulativeShare = 0;
    const match = operationShares.find(([, share]) => fraction < (cumulativeShare += share));
    return match?.[0] ?? OperationKind.LookUp;
}
