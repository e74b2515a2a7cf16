/** Runs the permit homes of the workspaces whose permit lease this instance holds. */
import { match } from "ts-pattern";
import {
    ClusterKind,
    type ConfigurationApplied,
    type ConfigurationProved,
    type LeasesRenewed,
} from "../model/clusterMessages.ts";
import { emptyConfiguration } from "../model/configuration.ts";
import { clockDriftFraction, type LeaseAssignment, ResourceKind } from "../model/lease.ts";
import {
    type PermitGranted,
    PermitKind,
    type PermitReply,
    type PermitRequest,
    type PermitRetire,
    type PermitRetired,
    type PermitRetireReply,
    type PermitRetireRequested,
} from "../model/permitMessages.ts";
import { parsePermitResourceId, permitResourceId } from "../model/permitResource.ts";
import {
    demandIntervalMs,
    RateKind,
    type RatesDemandMeasured,
    type RatesTimer,
    urgentDemandIntervalMs,
} from "../model/rateMessages.ts";
import { type SetDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import { ClockComparison, maximumComparisonError } from "./clockComparison.ts";
import { HomeTakeover } from "./homeTakeover.ts";
import { PermitHome } from "./permitHome.ts";
import { ShareTable } from "./shareTable.ts";

export interface GrantPermitsOptions {
    readonly dataCentre: string;
    /** Fraction of the rate at which tokens arrive; by default it follows from the comparison of clocks. */
    readonly refillFraction?: number;
}

type Input =
    | PermitRequest
    | PermitRetireRequested
    | PermitRetired
    | ConfigurationApplied
    | ConfigurationProved
    | LeasesRenewed
    | RatesTimer;
type Output =
    | PermitGranted
    | PermitReply
    | PermitRetire
    | PermitRetireReply
    | RatesDemandMeasured
    | SetDeadline
    | Input;

/** Refill fraction while too few clocks are known: this clock may be fast by the drift that leases allow for. */
const defaultRefillFraction = 1 / (1 + clockDriftFraction);

/** Retry delay sent to an entry instance whose request reached no lease holder with a proved configuration. */
const notHolderRetryMs = 50;

export class GrantPermitsFilter implements Filter<Input, Output> {
    readonly step = "grantPermits";
    readonly accepts = [
        PermitKind.Request,
        PermitKind.RetireRequested,
        PermitKind.Retired,
        ClusterKind.ConfigurationApplied,
        ClusterKind.ConfigurationProved,
        ClusterKind.LeasesRenewed,
        RateKind.MeasureDue,
        RateKind.TakeoverDue,
    ];
    private readonly dataCentre: string;
    private readonly fixedRefillFraction: number | undefined;
    private readonly clockComparison = new ClockComparison();
    private readonly homes = new Map<string, PermitHome>();
    private readonly takeover = new HomeTakeover();
    private leases: readonly LeaseAssignment[] = [];
    private leasesValidUntilMs = -Infinity;
    private shareTable = new ShareTable(emptyConfiguration);
    private isConfigurationProved = false;
    private measuredAtMs = -Infinity;
    private nextMeasureAtMs = Infinity;

    constructor(options: GrantPermitsOptions) {
        this.dataCentre = options.dataCentre;
        this.fixedRefillFraction = options.refillFraction;
    }

    process(message: Input, nowMs: number): readonly Output[] {
        return match(message)
            .with({ kind: PermitKind.Request }, matched => this.answer(matched, nowMs))
            .with({ kind: ClusterKind.LeasesRenewed }, matched => [matched, ...this.renewLeases(matched, nowMs)])
            .with(
                { kind: ClusterKind.ConfigurationApplied },
                matched => [matched, ...this.applyConfiguration(matched, nowMs)],
            )
            .with(
                { kind: ClusterKind.ConfigurationProved },
                matched => this.recordConfigurationProof(matched, nowMs),
            )
            .with({ kind: RateKind.MeasureDue }, () => this.measureDemands(nowMs))
            .with({ kind: PermitKind.RetireRequested }, matched => [this.retire(matched, nowMs)])
            .with({ kind: PermitKind.Retired }, matched => {
                this.takeover.recordRetired(matched, nowMs);
                return this.updateHomes(nowMs);
            })
            .with({ kind: RateKind.TakeoverDue }, () => this.updateHomes(nowMs))
            .with({ kind: RateKind.DivideDue }, matched => [matched])
            .exhaustive();
    }

    private answer(request: PermitRequest, nowMs: number): readonly Output[] {
        const home = this.homes.get(permitResourceId(request.workspace, this.dataCentre));
        const answered = home !== undefined && nowMs < this.leasesValidUntilMs;
        if (request.origin !== "") {
            this.clockComparison.recordSample(request.instanceId, request.sentMs, nowMs);
        }
        home?.setRefillFraction(this.currentRefillFraction(nowMs), nowMs);
        const body = {
            requestId: request.requestId,
            workspace: request.workspace,
            answered,
            ...(answered ? home.answer(request, nowMs) : { granted: 0, retryAfterMs: notHolderRetryMs }),
        };
        const answer: PermitGranted | PermitReply = request.origin === ""
            ? { kind: PermitKind.Granted, ...body }
            : { kind: PermitKind.Reply, origin: request.origin, ...body };
        return answered && body.granted < request.wanted
            ? [answer, ...this.scheduleUrgentMeasurement(nowMs)]
            : [answer];
    }

    private renewLeases(renewed: LeasesRenewed, nowMs: number): readonly Output[] {
        this.leases = renewed.leases.filter(lease => lease.resource === ResourceKind.Permits);
        this.leasesValidUntilMs = renewed.permitsUntilMs;
        return this.updateHomes(nowMs);
    }

    private applyConfiguration(applied: ConfigurationApplied, nowMs: number): readonly Output[] {
        this.shareTable = new ShareTable(applied.configuration);
        this.takeover.updateAssignments(applied.configuration.leases, nowMs);
        for (const [resourceId, home] of this.homes) {
            this.applyShare(resourceId, home, nowMs);
        }
        // The leader allocates what a home lost to other data centres once the home reports the reduction as in force.
        return [...this.updateHomes(nowMs), ...this.scheduleUrgentMeasurement(nowMs)];
    }

    // After a restart the first configuration may come from a lagging control member; the share in it may have been
    // reduced since and allocated to another data centre.
    private recordConfigurationProof(message: ConfigurationProved, nowMs: number): readonly Output[] {
        if (message.version <= this.shareTable.version) {
            this.isConfigurationProved = true;
            this.takeover.releaseUnfounded(message.provedAtMs);
        }
        return [message, ...this.updateHomes(nowMs)];
    }

    /** Starts a home for each new lease once it may start, and ends the homes whose lease is gone. */
    private updateHomes(nowMs: number): readonly Output[] {
        const agreedLeases = new Map(
            this.leases.filter(lease => this.isAssigned(lease)).map(lease => [lease.resourceId, lease]),
        );
        for (const [resourceId, home] of this.homes) {
            if (agreedLeases.get(resourceId)?.epoch !== home.epoch) {
                this.homes.delete(resourceId);
            }
        }
        this.takeover.retainPendingStarts(new Set(nowMs < this.leasesValidUntilMs ? agreedLeases.keys() : []));
        const retireRequests: PermitRetire[] = [];
        for (const [resourceId, lease] of agreedLeases) {
            if (!this.homes.has(resourceId) && nowMs < this.leasesValidUntilMs) {
                const { mayStart, retireRequest } = this.takeover.tryStart(lease, nowMs);
                retireRequests.push(...retireRequest === undefined ? [] : [retireRequest]);
                if (mayStart) {
                    this.startHome(lease, nowMs);
                }
            }
        }
        const measurementTimer = this.homes.size > 0 ? this.scheduleMeasurement(nowMs + demandIntervalMs) : [];
        return [...retireRequests, ...measurementTimer, ...this.takeoverTimer()];
    }

    private startHome({ resourceId, epoch }: LeaseAssignment, nowMs: number): void {
        const home = new PermitHome({ epoch, startMs: nowMs, refillFraction: defaultRefillFraction });
        this.homes.set(resourceId, home);
        this.applyShare(resourceId, home, nowMs);
    }

    private takeoverTimer(): readonly SetDeadline[] {
        const dueMs = this.takeover.nextActionAtMs();
        return Number.isFinite(dueMs) ? [setDeadline(RateKind.TakeoverDue, dueMs, { kind: RateKind.TakeoverDue })] : [];
    }

    /** Another instance holds the lease now; its home accounts for the permits that may still be used. */
    private retire({ origin, resourceId, epoch }: PermitRetireRequested, nowMs: number): PermitRetireReply {
        const retirement = this.takeover.retire(resourceId, epoch, nowMs);
        if ((this.homes.get(resourceId)?.epoch ?? Infinity) < epoch) {
            this.homes.delete(resourceId);
        }
        return { kind: PermitKind.RetireReply, origin, ...retirement };
    }

    // A lease may arrive before the configuration that assigns it. That configuration contains every reduction of the
    // share that an earlier home has reported as in force.
    private isAssigned(lease: LeaseAssignment): boolean {
        return this.isConfigurationProved && this.shareTable.epochOf(lease.resourceId) === lease.epoch;
    }

    private applyShare(resourceId: string, home: PermitHome, nowMs: number): void {
        home.applyShare(this.shareTable.shareOf(resourceId), this.shareTable.version, nowMs);
    }

    private currentRefillFraction(nowMs: number): number {
        const speed = this.clockComparison.correctionFactor(nowMs);
        return this.fixedRefillFraction
            ?? (speed === undefined ? defaultRefillFraction : speed * (1 - maximumComparisonError));
    }

    private measureDemands(nowMs: number): readonly Output[] {
        this.measuredAtMs = nowMs;
        this.nextMeasureAtMs = Infinity;
        if (this.homes.size === 0) {
            return [];
        }
        const demands = nowMs >= this.leasesValidUntilMs
            ? []
            : [...this.homes].map(([id, home]) => ({ ...parsePermitResourceId(id), ...home.measureDemand(nowMs) }));
        return [{ kind: RateKind.DemandMeasured, demands }, ...this.scheduleMeasurement(nowMs + demandIntervalMs)];
    }

    private scheduleUrgentMeasurement(nowMs: number): readonly SetDeadline[] {
        return this.homes.size > 0
            ? this.scheduleMeasurement(Math.max(nowMs, this.measuredAtMs + urgentDemandIntervalMs))
            : [];
    }

    private scheduleMeasurement(atMs: number): readonly SetDeadline[] {
        if (atMs >= this.nextMeasureAtMs) {
            return [];
        }
        this.nextMeasureAtMs = atMs;
        return [setDeadline(RateKind.MeasureDue, atMs, { kind: RateKind.MeasureDue })];
    }
}
