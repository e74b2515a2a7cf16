/** Permit home: grants permits for the workspaces whose permit lease this instance holds. */
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
    /** Part of the rate at which tokens arrive; by default it follows the comparison of clocks. */
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

/** Refill while too few clocks were heard: this one may run fast by the drift that leases allow for. */
const unknownSpeedShare = 1 / (1 + clockDriftFraction);

/** Advice to an entry instance that asked an instance without the lease or a proved configuration. */
const notHomeRetryMs = 50;

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
    private readonly fixedRefillShare: number | undefined;
    private readonly clocks = new ClockComparison();
    private readonly homes = new Map<string, PermitHome>();
    private readonly takeover = new HomeTakeover();
    private leases: readonly LeaseAssignment[] = [];
    private validUntilMs = -Infinity;
    private table = new ShareTable(emptyConfiguration);
    private proved = false;
    private measuredMs = -Infinity;
    private measureDueMs = Infinity;

    constructor(options: GrantPermitsOptions) {
        this.dataCentre = options.dataCentre;
        this.fixedRefillShare = options.refillFraction;
    }

    process(message: Input, nowMs: number): readonly Output[] {
        return match(message)
            .with({ kind: PermitKind.Request }, request => this.answer(request, nowMs))
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => [renewed, ...this.renew(renewed, nowMs)])
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => [applied, ...this.configure(applied, nowMs)])
            .with({ kind: ClusterKind.ConfigurationProved }, provedNow => this.prove(provedNow, nowMs))
            .with({ kind: RateKind.MeasureDue }, () => this.measure(nowMs))
            .with({ kind: PermitKind.RetireRequested }, asked => [this.retire(asked, nowMs)])
            .with({ kind: PermitKind.Retired }, retired => {
                this.takeover.recordRetired(retired, nowMs);
                return this.adopt(nowMs);
            })
            .with({ kind: RateKind.TakeoverDue }, () => this.adopt(nowMs))
            .with({ kind: RateKind.DivideDue }, other => [other])
            .exhaustive();
    }

    private answer(request: PermitRequest, nowMs: number): readonly Output[] {
        const home = this.homes.get(permitResourceId(request.workspace, this.dataCentre));
        const answered = home !== undefined && nowMs < this.validUntilMs;
        if (request.origin !== "") {
            this.clocks.recordSample(request.instanceId, request.sentMs, nowMs);
        }
        home?.setRefillFraction(this.refillFraction(nowMs), nowMs);
        const body = {
            requestId: request.requestId,
            workspace: request.workspace,
            answered,
            ...(answered ? home.answer(request, nowMs) : { granted: 0, retryAfterMs: notHomeRetryMs }),
        };
        const answer: PermitGranted | PermitReply = request.origin === ""
            ? { kind: PermitKind.Granted, ...body }
            : { kind: PermitKind.Reply, origin: request.origin, ...body };
        return answered && body.granted < request.wanted ? [answer, ...this.measureSoon(nowMs)] : [answer];
    }

    private renew(renewed: LeasesRenewed, nowMs: number): readonly Output[] {
        this.leases = renewed.leases.filter(lease => lease.resource === ResourceKind.Permits);
        this.validUntilMs = renewed.permitsUntilMs;
        return this.adopt(nowMs);
    }

    private configure(applied: ConfigurationApplied, nowMs: number): readonly Output[] {
        this.table = new ShareTable(applied.configuration);
        this.takeover.updateAssignments(applied.configuration.leases, nowMs);
        for (const [resourceId, home] of this.homes) {
            this.applyShare(resourceId, home, nowMs);
        }
        // The leader gives away what this home lost once it reports that the reduction is in force.
        return [...this.adopt(nowMs), ...this.measureSoon(nowMs)];
    }

    // After a restart the first configuration may come from a control member that lags; the share in it may since
    // have been reduced and given to another data centre.
    private prove(message: ConfigurationProved, nowMs: number): readonly Output[] {
        this.proved ||= message.version <= this.table.version;
        return [message, ...this.adopt(nowMs)];
    }

    /** Starts a home for each lease that is new, once it may begin, and ends those whose lease is gone. */
    private adopt(nowMs: number): readonly Output[] {
        const wanted = new Map(
            this.leases.filter(lease => this.isAgreed(lease)).map(lease => [lease.resourceId, lease]),
        );
        for (const [resourceId, home] of this.homes) {
            if (wanted.get(resourceId)?.epoch !== home.epoch) {
                this.homes.delete(resourceId);
            }
        }
        this.takeover.retainPendingStarts(new Set(nowMs < this.validUntilMs ? wanted.keys() : []));
        const questions: PermitRetire[] = [];
        for (const [resourceId, lease] of wanted) {
            if (!this.homes.has(resourceId) && nowMs < this.validUntilMs) {
                const { mayStart: begins, retireRequest: question } = this.takeover.tryStart(lease, nowMs);
                questions.push(...question === undefined ? [] : [question]);
                if (begins) {
                    this.start(lease, nowMs);
                }
            }
        }
        const measured = this.homes.size > 0 ? this.measureBy(nowMs + demandIntervalMs) : [];
        return [...questions, ...measured, ...this.takeoverTimer()];
    }

    private start({ resourceId, epoch }: LeaseAssignment, nowMs: number): void {
        const home = new PermitHome({ epoch, startMs: nowMs, refillFraction: unknownSpeedShare });
        this.homes.set(resourceId, home);
        this.applyShare(resourceId, home, nowMs);
    }

    private takeoverTimer(): readonly SetDeadline[] {
        const dueMs = this.takeover.nextActionAtMs();
        return Number.isFinite(dueMs) ? [setDeadline(RateKind.TakeoverDue, dueMs, { kind: RateKind.TakeoverDue })] : [];
    }

    /** Another instance has the lease now; permits that are out count at its home. */
    private retire({ origin, resourceId, epoch }: PermitRetireRequested, nowMs: number): PermitRetireReply {
        const retirement = this.takeover.retire(resourceId, epoch, nowMs);
        if ((this.homes.get(resourceId)?.epoch ?? Infinity) < epoch) {
            this.homes.delete(resourceId);
        }
        return { kind: PermitKind.RetireReply, origin, ...retirement };
    }

    // A lease may arrive before the configuration that assigns it. That configuration holds every reduction of the
    // share which an earlier home has reported as in force.
    private isAgreed(lease: LeaseAssignment): boolean {
        return this.proved && this.table.epochOf(lease.resourceId) === lease.epoch;
    }

    private applyShare(resourceId: string, home: PermitHome, nowMs: number): void {
        home.applyShare(this.table.shareOf(resourceId), this.table.version, nowMs);
    }

    private refillFraction(nowMs: number): number {
        const speed = this.clocks.correctionFactor(nowMs);
        return this.fixedRefillShare
            ?? (speed === undefined ? unknownSpeedShare : speed * (1 - maximumComparisonError));
    }

    private measure(nowMs: number): readonly Output[] {
        this.measuredMs = nowMs;
        this.measureDueMs = Infinity;
        if (this.homes.size === 0) {
            return [];
        }
        const demands = nowMs >= this.validUntilMs
            ? []
            : [...this.homes].map(([id, home]) => ({ ...parsePermitResourceId(id), ...home.measureDemand(nowMs) }));
        return [{ kind: RateKind.DemandMeasured, demands }, ...this.measureBy(nowMs + demandIntervalMs)];
    }

    private measureSoon(nowMs: number): readonly SetDeadline[] {
        return this.homes.size > 0 ? this.measureBy(Math.max(nowMs, this.measuredMs + urgentDemandIntervalMs)) : [];
    }

    private measureBy(atMs: number): readonly SetDeadline[] {
        if (atMs >= this.measureDueMs) {
            return [];
        }
        this.measureDueMs = atMs;
        return [setDeadline(RateKind.MeasureDue, atMs, { kind: RateKind.MeasureDue })];
    }
}
