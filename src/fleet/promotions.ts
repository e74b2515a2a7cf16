/** Runs on the control leader: detects that a service needs another primary and drives the change of primary. */
import { match } from "ts-pattern";
import { formerLeaderMs, leaseDurationMs } from "../model/acknowledgementLease.ts";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { ControlKind, type ControlLeaderChanged, type ControlProposalEnded } from "../model/controlMessages.ts";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseReport,
    type DatabaseReportAccepted,
    type DatabasesRemembered,
    type Detached,
    FleetKind,
    type FrameReceived,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import { LinkKind, type LinkLost, type LinkOpened, type LinkReplied } from "../model/linkMessages.ts";
import { type CommitWitness, promotionOf, type PromotionRecord } from "../model/promotion.ts";
import { type PromotionDue, PromotionKind, type PromotionOrdered } from "../model/promotionMessages.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";
import { CommitWitnesses } from "./commitWitnesses.ts";
import { homeShare } from "./homePreference.ts";
import { KnownEvacuations } from "./knownEvacuations.ts";
import { PromotionRecorder } from "./promotionRecorder.ts";
import { ServicePromotion } from "./servicePromotion.ts";

/** Interval at which services are checked while no change of primary is in progress. */
const steadyTickMs = 400;

/** Interval at which services are checked while a change of primary is in progress. */
const activeTickMs = 50;

/**
 * Time after a pause of this process from which it knows whether it leads still: a leader without a majority steps down
 * within it (`control/replicationFilter.ts`).
 */
const leadCheckMs = 1_250;

type PromotionsInput =
    | ControlLeaderChanged
    | ControlProposalEnded
    | ConfigurationApplied
    | PolicyApplied
    | DatabaseReportAccepted
    | DatabaseChanged
    | DatabaseRemoved
    | DatabasesRemembered
    | Detached
    | FrameReceived
    | LinkOpened
    | LinkReplied
    | LinkLost
    | PromotionOrdered
    | PromotionDue;

/** A database that may take part in a promotion. */
export interface PromotionCandidate {
    report: DatabaseReport;
    lastReportAtMs: number;
}

/** The state of the fleet that the promotion of one service depends on. */
export interface FleetView {
    readonly databases: ReadonlyMap<string, PromotionCandidate>;
    /** Databases that were removed from the directory. */
    readonly departedDatabases: ReadonlySet<string>;
    /**
     * Databases that this member remembers from before its start, by id; some may have reported since. They may be gone, so
     * no choice of a primary takes them into account.
     */
    readonly rememberedDatabases: ReadonlyMap<string, DatabaseReport>;
    readonly witnesses: CommitWitnesses;
    readonly evacuations: KnownEvacuations;
    /** Interval at which databases report. */
    readonly reportIntervalMs: number;
    /** Time at which this member became the leader. */
    readonly leadingSinceMs: number;
    nextLinkId(): string;
}

export interface PromotionsOptions {
    /** Interval at which databases report. */
    readonly reportIntervalMs: number;
    /** Time after the acknowledgement of an evacuation from which no statement may reach a database there; 5 s by default. */
    readonly evacuationBoundMs?: number;
    /** Region of each data centre; by default none is known. */
    readonly dataCentreRegions?: ReadonlyMap<string, string>;
}

export class Promotions implements Filter<PromotionsInput, Message> {
    readonly step = "promotions";
    readonly accepts = [
        ControlKind.LeaderChanged,
        ControlKind.ProposalEnded,
        ClusterKind.ConfigurationApplied,
        FleetKind.PolicyApplied,
        FleetKind.DatabaseReportAccepted,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        FleetKind.DatabasesRemembered,
        FleetKind.Detached,
        FleetKind.FrameReceived,
        LinkKind.Opened,
        LinkKind.Replied,
        LinkKind.Lost,
        PromotionKind.Ordered,
        PromotionKind.Due,
    ];
    private readonly databases = new Map<string, PromotionCandidate>();
    private readonly departedDatabases = new Set<string>();
    private rememberedDatabases: ReadonlyMap<string, DatabaseReport> = new Map();
    private readonly witnesses = new CommitWitnesses();
    private readonly recorder = new PromotionRecorder();
    private readonly services = new Map<string, ServicePromotion>();
    private policy: TrafficPolicy = emptyTrafficPolicy;
    private records: readonly PromotionRecord[] = [];
    private leading = false;
    private leadingSinceMs = 0;
    /** Time of the last call of `process`; there is one at each tick, also while another member leads. */
    private lastCallAtMs = Infinity;
    /** Time until which another member may lead without being known here. */
    private uncertainUntilMs = -Infinity;
    private readonly reportIntervalMs: number;
    private readonly evacuations: KnownEvacuations;
    private readonly dataCentreRegions: ReadonlyMap<string, string>;
    private nextLinkNumber = 0;

    constructor(
        { reportIntervalMs, evacuationBoundMs = 5_000, dataCentreRegions = new Map() }: PromotionsOptions,
    ) {
        this.reportIntervalMs = reportIntervalMs;
        this.evacuations = new KnownEvacuations(evacuationBoundMs);
        this.dataCentreRegions = dataCentreRegions;
    }

    process(message: PromotionsInput, nowMs: number): readonly Message[] {
        this.noticePause(nowMs);
        return match<PromotionsInput, readonly Message[]>(message)
            .with({ kind: ControlKind.LeaderChanged }, matched => [matched, ...this.changeLeader(matched, nowMs)])
            .with({ kind: ControlKind.ProposalEnded }, matched => this.endProposal(matched, nowMs))
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => {
                const { promotions, commitWitnesses } = matched.configuration;
                return [matched, ...this.applyRecords(promotions, commitWitnesses, nowMs)];
            })
            .with({ kind: FleetKind.PolicyApplied }, matched => {
                this.policy = matched.policy;
                return [matched, ...this.applyEvacuations(matched, nowMs)];
            })
            .with({ kind: FleetKind.DatabaseReportAccepted }, ({ databaseId }) => {
                const known = this.databases.get(databaseId);
                if (known !== undefined) {
                    known.lastReportAtMs = nowMs;
                }
                return [];
            })
            .with({ kind: FleetKind.DatabaseChanged }, matched => this.applyReport(matched, nowMs))
            .with({ kind: FleetKind.DatabaseRemoved }, matched => {
                this.databases.delete(matched.databaseId);
                this.departedDatabases.add(matched.databaseId);
                return [];
            })
            .with({ kind: FleetKind.DatabasesRemembered }, ({ reports }) => {
                this.rememberedDatabases = new Map(reports.map(report => [report.databaseId, report]));
                return [];
            })
            .with({ kind: FleetKind.Detached }, matched => {
                this.witnesses.detach(matched.attachmentId, nowMs);
                return [matched];
            })
            .with({ kind: FleetKind.FrameReceived }, matched => [matched, ...this.receive(matched, nowMs)])
            .with(
                { kind: LinkKind.Opened },
                matched => this.forEachService(service => service.linkOpened(matched, nowMs)),
            )
            .with(
                { kind: LinkKind.Replied },
                matched => this.forEachService(service => service.linkReplied(matched, nowMs)),
            )
            .with({ kind: LinkKind.Lost }, matched => this.forEachService(service => service.linkLost(matched, nowMs)))
            .with(
                { kind: PromotionKind.Ordered },
                matched => this.services.get(matched.service)?.promotionOrdered(matched, nowMs) ?? [],
            )
            .otherwise(() => this.tick(nowMs));
    }

    /** A new leader counts on it that a former one grants nothing for longer than `formerLeaderMs` after its election. */
    private noticePause(nowMs: number): void {
        if (nowMs - this.lastCallAtMs > formerLeaderMs) {
            this.uncertainUntilMs = nowMs + leadCheckMs;
        }
        this.lastCallAtMs = nowMs;
    }

    /** Sets a timer for the change of the primaries in a data centre. */
    private applyEvacuations(policy: PolicyApplied, nowMs: number): readonly Message[] {
        const hasBegun = this.evacuations.apply(policy, nowMs);
        const due: PromotionDue = { kind: PromotionKind.Due };
        const atMs = nowMs + this.evacuations.transactionTimeMs;
        return hasBegun && this.leading ? [setDeadline("promotion.evacuation", atMs, due)] : [];
    }

    private changeLeader({ leading }: ControlLeaderChanged, nowMs: number): readonly Message[] {
        this.leading = leading;
        this.leadingSinceMs = nowMs;
        this.recorder.reset();
        this.witnesses.startLeading(nowMs);
        const closed = [...this.services.values()].flatMap(service => service.dispose(nowMs));
        this.services.clear();
        return [...closed, this.timer(nowMs, steadyTickMs)];
    }

    private tick(nowMs: number): readonly Message[] {
        if (!this.leading) {
            return [this.timer(nowMs, steadyTickMs)];
        }
        const reported = [...this.databases.values()].map(({ report }) => report.service);
        const open = this.records.filter(record => record.open).map(({ service }) => service);
        const messages = [...new Set([...reported, ...open])].filter(name => this.policy.services.has(name))
            .flatMap(name => this.serviceOf(name).tick(nowMs));
        const active = [...this.services.values()].some(service => service.isActive);
        return [...this.record(nowMs), ...messages, this.timer(nowMs, active ? activeTickMs : steadyTickMs)];
    }

    private applyReport({ report }: DatabaseChanged, nowMs: number): readonly Message[] {
        this.databases.set(report.databaseId, { report, lastReportAtMs: nowMs });
        this.departedDatabases.delete(report.databaseId);
        if (!this.leading || !this.policy.services.has(report.service)) {
            return [];
        }
        // The service is checked at once, because a primary that reports its shutdown is replaced without delay.
        const checked = this.withTimer(this.serviceOf(report.service).tick(nowMs), nowMs);
        return [...this.record(nowMs), ...checked];
    }

    private receive({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind === "hello" && frame.serves) {
            this.witnesses.attach(attachmentId, frame.instanceId, nowMs);
            return this.leading ? this.record(nowMs) : [];
        }
        if (!this.leading) {
            return [];
        }
        if (frame.kind === "lease_asked") {
            return this.grantLease(attachmentId, frame.sequence, nowMs);
        }
        if (frame.kind === "commits_seen") {
            const servicePromotion = this.services.get(frame.service);
            return servicePromotion === undefined
                ? []
                : this.withTimer(servicePromotion.commitsSeenReceived(attachmentId, frame, nowMs), nowMs);
        }
        if (frame.kind !== "suspect" && frame.kind !== "assessment") {
            return [];
        }
        const report = this.databases.get(frame.databaseId)?.report ?? this.rememberedDatabases.get(frame.databaseId);
        const service = report?.service;
        if (service === undefined || !this.policy.services.has(service)) {
            return [];
        }
        const promotion = this.serviceOf(service);
        const messages = frame.kind === "suspect"
            ? promotion.suspect(frame.databaseId, nowMs)
            : promotion.assessmentReceived(attachmentId, frame);
        return this.withTimer(messages, nowMs);
    }

    /** An instance that gets no lease asks again. */
    private grantLease(attachmentId: string, sequence: number, nowMs: number): readonly Message[] {
        const open = this.records.filter(record => record.open && this.policy.services.has(record.service));
        const isSafe = open.every(({ service }) => this.services.get(service)?.mayGrantLease(attachmentId) === true);
        return isSafe && nowMs >= this.uncertainUntilMs && this.witnesses.grantLease(attachmentId, nowMs)
            ? [sendFrame(attachmentId, { kind: "lease_granted", sequence, validMs: leaseDurationMs })]
            : [];
    }

    private applyRecords(
        records: readonly PromotionRecord[],
        commitWitnesses: readonly CommitWitness[],
        nowMs: number,
    ): readonly Message[] {
        this.records = records;
        this.witnesses.setRecorded(commitWitnesses, nowMs);
        return this.leading ? this.record(nowMs) : [];
    }

    /** Records databases and instances that joined. */
    private record(nowMs: number): readonly Message[] {
        const reports = [...this.databases.values()].map(({ report }) => report)
            .filter(({ service }) => this.policy.services.has(service));
        const replaceable = new Map(
            [...this.services].map(([name, service]) => [name, service.replaceableDatabases] as const),
        );
        return [
            ...this.recorder.recordDatabases(this.records, reports, replaceable, nowMs),
            ...this.recorder.recordWitnesses(this.witnesses, nowMs),
        ];
    }

    private endProposal(ended: ControlProposalEnded, nowMs: number): readonly Message[] {
        if (this.recorder.owns(ended.proposalId)) {
            this.recorder.endProposal(ended);
            return this.record(nowMs);
        }
        const owner = [...this.services.values()].find(service => service.ownsProposal(ended.proposalId));
        return owner === undefined ? [ended] : this.withTimer(owner.proposalEnded(ended, nowMs), nowMs);
    }

    private forEachService(act: (service: ServicePromotion) => readonly Message[]): readonly Message[] {
        return [...this.services.values()].flatMap(act);
    }

    private serviceOf(name: string): ServicePromotion {
        const known = this.services.get(name);
        if (known !== undefined) {
            return known;
        }
        const fleet: FleetView = {
            databases: this.databases,
            departedDatabases: this.departedDatabases,
            rememberedDatabases: this.rememberedDatabases,
            witnesses: this.witnesses,
            evacuations: this.evacuations,
            reportIntervalMs: this.reportIntervalMs,
            leadingSinceMs: this.leadingSinceMs,
            nextLinkId: () => `m${this.nextLinkNumber++}`,
        };
        const synchronousReplicas = (): number => this.policy.services.get(name)?.synchronousReplicas ?? 0;
        const record = (): PromotionRecord => promotionOf(this.records, name);
        const atHome = (dataCentre: string): number =>
            homeShare(this.policy, name, this.dataCentreRegions.get(dataCentre));
        const service = new ServicePromotion({
            service: name,
            fleet,
            synchronousReplicas,
            record,
            homeShare: atHome,
        });
        this.services.set(name, service);
        return service;
    }

    private withTimer(messages: readonly Message[], nowMs: number): readonly Message[] {
        return messages.length === 0 ? messages : [...messages, this.timer(nowMs, activeTickMs)];
    }

    private timer(nowMs: number, afterMs: number): Message {
        return setDeadline("promotion", nowMs + afterMs, { kind: PromotionKind.Due } as PromotionDue);
    }
}
