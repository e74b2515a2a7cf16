/** Latencies between data centres, and one data centre that may be cut off. */
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { Simulation } from "./simulation.ts";

export interface ProxyNetworkOptions {
    readonly simulation: Simulation;
    readonly random: SeededRandom;
    readonly betweenMs: number;
}

const localMs = 0.3;
const jitterMs = 0.5;

/** Time after which keepalive reports a silent stream; the settings of src/rpc/holderChannel.ts. */
const keepaliveMs = 3_000;

export class ProxyNetwork {
    private readonly options: ProxyNetworkOptions;
    /** Earliest arrival of the next message per line, so that lines keep the order. */
    private readonly lastArrivalMs = new Map<string, number>();
    private cutOffCentre: number | undefined;
    private detectedAtMs = 0;

    constructor(options: ProxyNetworkOptions) {
        this.options = options;
    }

    cutOff(dataCentre: number): void {
        this.cutOffCentre = dataCentre;
        this.detectedAtMs = this.options.simulation.nowMs + keepaliveMs;
    }

    heal(): void {
        this.cutOffCentre = undefined;
    }

    isCutOff(dataCentre: number): boolean {
        return this.cutOffCentre === dataCentre;
    }

    connects(from: number, to: number): boolean {
        return this.isCutOff(from) === this.isCutOff(to);
    }

    /** Runs `arrive` after the latency; a message that meets the cut is lost. */
    send(from: number, to: number, line: string, arrive: () => void): void {
        const { simulation, random, betweenMs } = this.options;
        const delayMs = (from === to ? localMs : betweenMs) + random.nextFloat() * jitterMs;
        const atMs = Math.max(simulation.nowMs + delayMs, this.lastArrivalMs.get(line) ?? 0);
        this.lastArrivalMs.set(line, atMs);
        const sent = this.connects(from, to);
        simulation.at(atMs, () => {
            if (sent && this.connects(from, to)) {
                arrive();
            }
        });
    }

    /** Time at which the sender of a message that was lost in the cut learns about it. */
    lossKnownAtMs(): number {
        const { simulation } = this.options;
        return Math.max(this.detectedAtMs, simulation.nowMs + 2 * localMs);
    }
}
