/** Network between data centres with latencies; one data centre can be cut off. */
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { Simulation } from "./simulation.ts";

export interface ProxyNetworkOptions {
    readonly simulation: Simulation;
    readonly random: SeededRandom;
    readonly remoteLatencyMs: number;
}

const localLatencyMs = 0.3;
const jitterMs = 0.5;

/** Time after which keepalive reports an unresponsive stream, as set in src/rpc/holderChannel.ts. */
const keepaliveTimeoutMs = 3_000;

export class ProxyNetwork {
    private readonly options: ProxyNetworkOptions;
    /** Arrival time of the last message per stream; later messages arrive no earlier, which keeps their order. */
    private readonly lastArrivalAtMs = new Map<string, number>();
    private cutOffDataCentre: number | undefined;
    private cutDetectedAtMs = 0;

    constructor(options: ProxyNetworkOptions) {
        this.options = options;
    }

    cutOff(dataCentre: number): void {
        this.cutOffDataCentre = dataCentre;
        this.cutDetectedAtMs = this.options.simulation.nowMs + keepaliveTimeoutMs;
    }

    heal(): void {
        this.cutOffDataCentre = undefined;
    }

    isCutOff(dataCentre: number): boolean {
        return this.cutOffDataCentre === dataCentre;
    }

    connects(from: number, to: number): boolean {
        return this.isCutOff(from) === this.isCutOff(to);
    }

    /** Runs `onArrival` after the latency; the message is lost if the path is cut at the time of sending or arrival. */
    send(from: number, to: number, streamId: string, onArrival: () => void): void {
        const { simulation, random, remoteLatencyMs } = this.options;
        const delayMs = (from === to ? localLatencyMs : remoteLatencyMs) + random.nextFloat() * jitterMs;
        const atMs = Math.max(simulation.nowMs + delayMs, this.lastArrivalAtMs.get(streamId) ?? 0);
        this.lastArrivalAtMs.set(streamId, atMs);
        const isConnectedAtSend = this.connects(from, to);
        simulation.at(atMs, () => {
            if (isConnectedAtSend && this.connects(from, to)) {
                onArrival();
            }
        });
    }

    /** Time at which the sender of a message that was lost because of the cut detects the loss. */
    lossDetectedAtMs(): number {
        const { simulation } = this.options;
        return Math.max(this.cutDetectedAtMs, simulation.nowMs + 2 * localLatencyMs);
    }
}
