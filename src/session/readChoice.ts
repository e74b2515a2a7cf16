/** Which databases may run a read, and which of them runs it next. */
import type { DatabaseReport } from "../model/fleetMessages.ts";
import type { Position } from "../model/position.ts";
import type { ReadDemand } from "../scheduling/databaseCost.ts";
import type { DatabaseTable } from "./databaseTable.ts";
import type { FloorRequests } from "./floorRequests.ts";
import type { PlacementRules } from "./placementRule.ts";
import type { RoutedTask } from "./routedTask.ts";
import type { Task } from "./taskMessages.ts";

export interface ReadChoiceOptions {
    readonly databases: DatabaseTable;
    readonly rules: PlacementRules;
    readonly floors: FloorRequests;
}

export class ReadChoice {
    private readonly databases: DatabaseTable;
    private readonly rules: PlacementRules;
    private readonly floors: FloorRequests;

    constructor({ databases, rules, floors }: ReadChoiceOptions) {
        this.databases = databases;
        this.rules = rules;
        this.floors = floors;
    }

    /** Whether the database that a read is placed at next, the primary if no position is known, has not refused it before. */
    hasUntried(routed: RoutedTask, nowMs: number): boolean {
        const { task, triedDatabaseIds } = routed;
        const floor = this.floors.floorFor(task);
        const databaseId = floor === undefined
            ? this.databases.primary(task.service, nowMs)
            : this.choose(routed, this.allowed(task, nowMs), floor, nowMs);
        return databaseId !== undefined && !triedDatabaseIds.has(databaseId);
    }

    /** Returns the databases that the rules allow to run a read. */
    allowed(task: Task, nowMs: number): readonly DatabaseReport[] {
        return this.databases.reportsOf(task.route.service)
            .filter(report => this.rules.check(report, task, nowMs) === undefined);
    }

    /** @param allowed databases that the rules allow */
    choose(
        { task, triedDatabaseIds }: RoutedTask,
        allowed: readonly DatabaseReport[],
        floor: Position,
        nowMs: number,
    ): string | undefined {
        const usable = allowed.map(({ databaseId }) => databaseId)
            .filter(databaseId => this.databases.passOverForRead(databaseId, nowMs, floor) === undefined);
        return this.databases.rankForRead(usable, triedDatabaseIds, readDemand(task), nowMs)[0];
    }
}

function readDemand({ route, workspace }: Task): ReadDemand {
    return { priority: route.priority, workspace };
}
