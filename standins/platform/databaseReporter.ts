/** Reports the state of a database to the control members. */
import { postJson } from "./controlCalls.ts";

const reportIntervalMs = 1_200;

/** After failures the interval doubles up to this many times the usual one. */
const maximumBackoff = 4;

/** Time from the end of a cut until the report arrives that it has delayed. */
const delayedReportMs = 400;

export interface DatabaseReport {
    readonly service: string;
    /** HOST:PORT at which the database accepts connections. */
    readonly address: string;
    readonly zone: string;
    readonly state: "ready" | "draining";
    readonly db_role: string;
}

export class DatabaseReporter {
    private readonly id: string;
    private readonly controls: () => readonly string[];
    private readonly read: () => DatabaseReport;
    private readonly bornAtMs = Date.now();
    private timer: NodeJS.Timeout | undefined;
    private sequence = 0;
    private nextControl = 0;
    private failures = 0;
    private isCut = false;
    /** The first call that the present cut has delayed. */
    private delayed: (() => Promise<boolean>) | undefined;

    /**
     * @param controls HOST:PORT of the present control members
     * @param read returns the present state
     */
    constructor(id: string, controls: () => readonly string[], read: () => DatabaseReport) {
        this.id = id;
        this.controls = controls;
        this.read = read;
    }

    /** No member can be reached. The first report meanwhile arrives after the cut, as it was, even if its sender has ended. */
    set isCutOff(isCut: boolean) {
        const { delayed } = this;
        this.isCut = isCut;
        if (!isCut && delayed !== undefined) {
            this.delayed = undefined;
            setTimeout(() => void delayed(), delayedReportMs).unref();
        }
    }

    start(): void {
        this.timer = setTimeout(() => void this.reportRegularly());
    }

    stop(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
    }

    /** Reports to one member after the other until one acknowledges; returns whether one did. */
    async report(): Promise<boolean> {
        const constants = { version: "v1", slots: 5, cold_left_ms: 0, born: this.bornAtMs };
        this.sequence += 1;
        const body = { ...this.read(), ...constants, seq: this.sequence };
        if (this.isCut) {
            this.delayed ??= () => this.call("Instances.Heartbeat", body);
        }
        const isHeard = await this.call("Instances.Heartbeat", body);
        this.failures = isHeard ? 0 : this.failures + 1;
        return isHeard;
    }

    /** Reports that the database ends for good. */
    async leave(): Promise<boolean> {
        this.stop();
        return this.call("Instances.Leave", {});
    }

    private async reportRegularly(): Promise<void> {
        await this.report();
        if (this.timer !== undefined) {
            const intervalMs = reportIntervalMs * Math.min(2 ** this.failures, maximumBackoff);
            this.timer = setTimeout(() => void this.reportRegularly(), intervalMs);
        }
    }

    private async call(name: string, body: unknown): Promise<boolean> {
        const controls = this.controls();
        for (let attempt = 0; attempt < controls.length && !this.isCut; attempt++) {
            if (await postJson(controls[this.nextControl % controls.length]!, `/-/${name}/${this.id}`, body) === 200) {
                return true;
            }
            this.nextControl += 1;
        }
        return false;
    }
}
