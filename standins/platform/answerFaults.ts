/** What a database does wrong with its answers, drawn from a seed: errors, and answers that it sends twice. */
import { SeededRandom } from "../../src/pipeline/seededRandom.ts";

/** Shares are from 0 to 1. */
export interface AnswerFaultRates {
    /** Share of the answers that are sent twice with the same bytes. */
    readonly repeatedShare: number;
    /** Share of the statements that are refused or fail. */
    readonly errorShare: number;
    /** Share of the commands for values and prepared statements of a session that are refused. */
    readonly setupErrorShare: number;
    /** Longest time between an answer and its repetition. */
    readonly maximumRepeatDelayMs: number;
}

export const noAnswerFaults: AnswerFaultRates = {
    repeatedShare: 0,
    errorShare: 0,
    setupErrorShare: 0,
    maximumRepeatDelayMs: 400,
};

export class AnswerFaults {
    /** Number of answers that were sent twice. */
    repeatedCount = 0;
    rates = noAnswerFaults;
    private readonly random: SeededRandom;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
    }

    /** Returns the time after which an answer is sent once more, or undefined. */
    nextRepeatDelayMs(): number | undefined {
        const isRepeated = this.random.nextFloat() < this.rates.repeatedShare;
        const delayMs = 1 + this.random.nextFloat() ** 2 * (this.rates.maximumRepeatDelayMs - 1);
        this.repeatedCount += isRepeated ? 1 : 0;
        return isRepeated ? delayMs : undefined;
    }

    /**
     * Returns the code with which a statement ends, or undefined if it runs.
     * @param needsLead the statement runs at a primary only
     */
    nextError(needsLead: boolean): "BUSY" | "FAILED" | "READONLY" | undefined {
        if (this.random.nextFloat() >= this.rates.errorShare) {
            return undefined;
        }
        return ([needsLead ? "READONLY" : "BUSY", "FAILED", "BUSY"] as const)[this.random.nextInteger(3)];
    }

    nextSetupError(): "BUSY" | undefined {
        return this.random.nextFloat() < this.rates.setupErrorShare ? "BUSY" : undefined;
    }

    /** Whether a replica refuses a read that its log would allow. */
    nextLag(): boolean {
        return this.random.nextFloat() < this.rates.errorShare;
    }

    /** Uniform in [0, limit). */
    nextDelayMs(limitMs: number): number {
        return this.random.nextFloat() * limitMs;
    }
}
