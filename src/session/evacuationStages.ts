/**
 * Tells the links of this instance when they may be used for work of other instances, and for open transactions, at
 * databases of evacuated data centres. Other instances may learn of an evacuation later.
 */
import { match } from "ts-pattern";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseReport,
    FleetKind,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { Evacuations, EvacuationStage } from "../scheduling/evacuations.ts";
import { type EvacuationStageChanged, type EvacuationStageDue, TaskKind } from "./taskMessages.ts";

const timerKey = "evacuation";

type StagesInput = PolicyApplied | DatabaseChanged | DatabaseRemoved | EvacuationStageDue;

/** Precedes the links, and follows the filters that place tasks. */
export class EvacuationStages implements Filter<StagesInput, Message> {
    readonly step = "evacuation_stages";
    readonly accepts = [
        FleetKind.PolicyApplied,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        TaskKind.EvacuationStageDue,
    ];
    private readonly evacuations: Evacuations;
    private readonly reports = new Map<string, DatabaseReport>();
    /** As last published, by database id. */
    private readonly stages = new Map<string, EvacuationStage>();

    /** @param boundMs time after the acknowledgement of an evacuation from which no statement may reach a database */
    constructor(boundMs: number) {
        this.evacuations = new Evacuations(boundMs);
    }

    process(message: StagesInput, nowMs: number): readonly Message[] {
        return match<StagesInput, readonly Message[]>(message)
            .with({ kind: FleetKind.PolicyApplied }, matched => {
                this.evacuations.apply(matched, nowMs);
                return [matched, ...this.publishAll(nowMs)];
            })
            .with({ kind: FleetKind.DatabaseChanged }, matched => {
                this.reports.set(matched.report.databaseId, matched.report);
                return [matched, ...this.publish(matched.report, nowMs)];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, matched => {
                this.reports.delete(matched.databaseId);
                this.stages.delete(matched.databaseId);
                return [matched];
            })
            .with({ kind: TaskKind.EvacuationStageDue }, () => this.publishAll(nowMs))
            .exhaustive();
    }

    private publishAll(nowMs: number): readonly Message[] {
        const nextMs = this.evacuations.nextChangeMs(nowMs);
        const due: EvacuationStageDue = { kind: TaskKind.EvacuationStageDue };
        return [
            ...[...this.reports.values()].flatMap(report => this.publish(report, nowMs)),
            nextMs === undefined ? clearDeadline(timerKey) : setDeadline(timerKey, nextMs, due),
        ];
    }

    private publish(report: DatabaseReport, nowMs: number): readonly Message[] {
        const { databaseId } = report;
        const stage = this.evacuations.stageOf(report, nowMs);
        if (stage === (this.stages.get(databaseId) ?? EvacuationStage.Open)) {
            return [];
        }
        this.stages.set(databaseId, stage);
        return [{ kind: TaskKind.EvacuationStageChanged, databaseId, stage } as EvacuationStageChanged];
    }
}
