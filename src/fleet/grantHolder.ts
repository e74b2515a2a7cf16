/** The grants of this instance: what part of each workspace's rate it may spend, and its demand. */
import { match } from "ts-pattern";
import {
    FleetKind,
    type FleetTimer,
    type FrameReceived,
    type GrantFrame,
    type GrantsChanged,
    type GrantShort,
    type PolicyApplied,
    type RateGrant,
    type UsageCounted,
    type UsageMeasured,
} from "../model/fleetMessages.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { expiredShare, minimumChange } from "./rateGrants.ts";

/** How often demand is reported. */
export const usageIntervalMs = 800;

/** Least time between two reports when a grant is used up. */
const urgentIntervalMs = 120;

/** Shortest interval over which demand is measured. */
const minimumIntervalMs = 100;

/** Weight of the newest interval in the average demand. */
const usageWeight = 0.4;

type HolderInput = UsageCounted | GrantShort | FrameReceived | FleetTimer | PolicyApplied;

export class GrantHolder implements Filter<HolderInput, Message> {
    readonly step = "grants";
    readonly accepts = [
        FleetKind.UsageCounted,
        FleetKind.GrantShort,
        FleetKind.FrameReceived,
        FleetKind.UsageDue,
        FleetKind.GrantLimitDue,
        FleetKind.PolicyApplied,
    ];
    private policy: TrafficPolicy = emptyTrafficPolicy;
    private grant: GrantFrame | undefined;
    private expired = false;
    private countedMs: number | undefined;
    private reportedMs = -Infinity;
    private readonly counts = new Map<string, number>();
    private readonly rates = new Map<string, number>();

    process(message: HolderInput, nowMs: number): readonly Message[] {
        return match<HolderInput, readonly Message[]>(message)
            .with({ kind: FleetKind.UsageCounted }, ({ workspace }) => {
                this.counts.set(workspace, (this.counts.get(workspace) ?? 0) + 1);
                return [];
            })
            .with(
                { kind: FleetKind.GrantShort },
                () => nowMs - this.reportedMs < urgentIntervalMs ? [] : this.report(nowMs),
            )
            .with({ kind: FleetKind.FrameReceived }, found => [found, ...this.receive(found, nowMs)])
            .with({ kind: FleetKind.PolicyApplied }, found => {
                this.policy = found.policy;
                return [found, ...this.grant === undefined ? [] : [this.changed()]];
            })
            .with({ kind: FleetKind.UsageDue }, () => this.report(nowMs))
            .otherwise(() => this.expire());
    }

    private receive({ frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind === "status" && frame.leading) {
            // A new leader knows nothing of this instance until it reports.
            return this.report(nowMs);
        }
        if (frame.kind !== "grants" || this.isOld(frame)) {
            return [];
        }
        const before = this.grant?.fractions ?? {};
        this.grant = frame;
        this.expired = false;
        const limit = setDeadline("fleet.grant", nowMs + frame.validMs, { kind: FleetKind.GrantLimitDue });
        // Others wait for what this instance has given up.
        const gaveUp = Object.entries(before).some(([name, old]) => old - (frame.fractions[name] ?? 0) > minimumChange);
        return [this.changed(), limit, ...gaveUp ? this.report(nowMs) : []];
    }

    private isOld({ term, sequence }: GrantFrame): boolean {
        const { grant } = this;
        return grant !== undefined
            && (term < grant.term || term === grant.term && sequence <= grant.sequence);
    }

    /** Without renewal the leader gives part of the grants to others. */
    private expire(): readonly Message[] {
        this.expired = true;
        return [this.changed()];
    }

    private changed(): GrantsChanged {
        const grants = new Map<string, RateGrant>();
        for (const { name, ratePerSecond, burst } of this.policy.workspaces.values()) {
            const fraction = this.fraction(name);
            grants.set(name, { ratePerSecond: ratePerSecond * fraction, burst: Math.max(1, burst * fraction) });
        }
        return { kind: FleetKind.GrantsChanged, grants };
    }

    private fraction(workspace: string): number {
        const granted = this.grant?.fractions[workspace] ?? 0;
        return this.expired ? granted * expiredShare : granted;
    }

    private report(nowMs: number): readonly Message[] {
        this.measure(nowMs);
        this.reportedMs = nowMs;
        const names = [...this.policy.workspaces.keys()];
        const measured: UsageMeasured = {
            kind: FleetKind.UsageMeasured,
            usage: Object.fromEntries(
                names.flatMap(name => {
                    const rate = Math.round(10 * (this.rates.get(name) ?? 0)) / 10;
                    return rate > 0 ? [[name, rate]] : [];
                }),
            ),
            grantSequence: this.grant?.sequence ?? 0,
            grantTerm: this.grant?.term ?? 0,
            fractions: this.expired ? {} : this.grant?.fractions ?? {},
        };
        return [measured, setDeadline("fleet.usage", nowMs + usageIntervalMs, { kind: FleetKind.UsageDue })];
    }

    /** A rise of demand counts at once, a fall little by little. */
    private measure(nowMs: number): void {
        const elapsedMs = nowMs - (this.countedMs ?? nowMs - usageIntervalMs);
        // A very short interval says little; its counts stay for the next one.
        if (elapsedMs < minimumIntervalMs) {
            return;
        }
        this.countedMs = nowMs;
        const weight = Math.min(1, usageWeight * elapsedMs / usageIntervalMs);
        for (const name of new Set([...this.rates.keys(), ...this.counts.keys()])) {
            const rate = 1_000 * (this.counts.get(name) ?? 0) / elapsedMs;
            const average = this.rates.get(name) ?? 0;
            this.rates.set(name, rate > average ? (rate + average) / 2 : average + weight * (rate - average));
        }
        this.counts.clear();
    }
}
