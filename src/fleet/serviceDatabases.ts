/** The databases of one service as the control leader knows them, from their reports and from the replicated record. */
import { type DatabaseReport, ReportedState } from "../model/fleetMessages.ts";
import type { Position } from "../model/position.ts";
import type { PromotionRecord, RecordedDatabase } from "../model/promotion.ts";
import { type ElectorateMember, electorateMembers } from "./electorate.ts";
import type { FleetView } from "./promotions.ts";
import { recallLimitMs } from "./rememberedDatabases.ts";

/** Number of missed report intervals after which a primary is suspected even if no instance reports a failure. */
const missedReportLimit = 2.3;

export interface ServicePromotionOptions {
    readonly service: string;
    readonly fleet: FleetView;
    synchronousReplicas(): number;
    record(): PromotionRecord;
    /** Share of the service's routes that a database in this data centre could serve as primary, 0 to 1. */
    homeShare?(dataCentre: string): number;
}

export class ServiceDatabases {
    private readonly options: ServicePromotionOptions;

    constructor(options: ServicePromotionOptions) {
        this.options = options;
    }

    /** Whether the primary has started again without its log: it follows, and no database leads. */
    hasPrimaryLostLog({ databaseId, leads }: DatabaseReport): boolean {
        const { primaryAddress } = this.options.record();
        return !leads
            && this.members().some(member =>
                member.isLost && member.databaseId === databaseId && member.address === primaryAddress
            );
    }

    mayInvalidateOrders(): boolean {
        const { orderPending, open, databaseId } = this.options.record();
        return orderPending && !open && this.options.fleet.databases.get(databaseId)?.report.leads === true
            && !this.members().some(member => member.isLost && member.databaseId === databaseId);
    }

    isGone({ databaseId, isLost }: RecordedDatabase): boolean {
        return isLost || this.options.fleet.departedDatabases.has(databaseId);
    }

    /**
     * The recorded primary or its successor at its address; before the first promotion, the database that claims the lead.
     * The claim of any other one is outdated, because no database leads without a recorded order.
     */
    primary(): string | undefined {
        const { databases } = this.options.fleet;
        const { databaseId, primaryAddress } = this.options.record();
        if (databases.has(databaseId)) {
            return databaseId;
        }
        const candidates = [...databases.values()].filter(({ report }) => report.service === this.options.service)
            .filter(({ report }) => primaryAddress === "" ? report.leads : report.address === primaryAddress)
            .sort((left, right) => right.lastReportAtMs - left.lastReportAtMs);
        return candidates[0]?.report.databaseId;
    }

    /**
     * The primary from before the start of this process, which may run although it has not reported since. Replacing it
     * would end the acknowledgement of commits that instances run there.
     */
    rememberedPrimary(nowMs: number): DatabaseReport | undefined {
        const { service, fleet } = this.options;
        const { databaseId } = this.options.record();
        const reported = new Set(this.reports().map(({ address }) => address));
        const claimants = [...fleet.rememberedDatabases.values()].filter(report =>
            report.service === service && report.leads && !fleet.departedDatabases.has(report.databaseId)
            // Another process has taken its place.
            && !reported.has(report.address)
        );
        const isRecalled = nowMs - fleet.leadingSinceMs < recallLimitMs;
        const named = claimants.find(report => report.databaseId === databaseId);
        return isRecalled ? named ?? (databaseId === "" ? claimants[0] : undefined) : undefined;
    }

    homeShareOf(databaseId: string): number {
        const { fleet, homeShare } = this.options;
        const dataCentre = fleet.databases.get(databaseId)?.report.dataCentre;
        return dataCentre === undefined ? 0 : homeShare?.(dataCentre) ?? 0;
    }

    members(): readonly ElectorateMember[] {
        const { record, fleet } = this.options;
        return electorateMembers(record().databases, this.reports()).map(member => ({
            ...member,
            isReady: member.isReady && this.isReady(member.databaseId),
            isEvacuated: this.isEvacuated(member.databaseId),
            lastReportAtMs: member.isLost ? undefined : fleet.databases.get(member.databaseId)?.lastReportAtMs,
        }));
    }

    /**
     * Position of a database that leads when an earlier leader chose it, if it is known; since then it has had commits that
     * perhaps no other one has received. Undefined if databases are dropped that may have confirmed commits after that.
     */
    keptPosition(databaseId: string): Position | undefined {
        const { orderedDatabaseId, orderedPosition } = this.options.record();
        return databaseId === orderedDatabaseId && !this.dropsDatabases() ? orderedPosition : undefined;
    }

    /** Whether the end of a promotion takes databases off the record that may have confirmed commits after the choice. */
    dropsDatabases(): boolean {
        return this.members().some(({ isLost }) => isLost)
            || this.options.record().databases.some(recorded =>
                this.options.fleet.departedDatabases.has(recorded.databaseId)
            );
    }

    otherDatabases(primaryId: string | undefined): readonly string[] {
        return this.reports().map(({ databaseId }) => databaseId).filter(databaseId => databaseId !== primaryId);
    }

    isSilent(databaseId: string, nowMs: number): boolean {
        const { databases, reportIntervalMs } = this.options.fleet;
        return nowMs - databases.get(databaseId)!.lastReportAtMs > missedReportLimit * reportIntervalMs;
    }

    isReady(databaseId: string): boolean {
        const report = this.options.fleet.databases.get(databaseId)?.report;
        return report?.state === ReportedState.Ready && !this.isEvacuated(databaseId);
    }

    private reports(): readonly DatabaseReport[] {
        return [...this.options.fleet.databases.values()].map(({ report }) => report)
            .filter(({ service }) => service === this.options.service);
    }

    private isEvacuated(databaseId: string): boolean {
        const { databases, evacuations } = this.options.fleet;
        const report = databases.get(databaseId)?.report;
        return report !== undefined && evacuations.covers(report);
    }
}
