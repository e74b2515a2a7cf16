/** Holders of one simulated database in virtual time, which get tasks directly. */
import assert from "node:assert/strict";
import {
    type ExplanationAsked,
    type ExplanationEnded,
    ExplanationKind,
    type Finding,
} from "../../model/explanation.ts";
import { type DatabaseReport, FleetKind, type PolicyApplied, ReportedState } from "../../model/fleetMessages.ts";
import { LinkKind, LinkLoss, type LinkOpen } from "../../model/linkMessages.ts";
import { Pace } from "../../model/pace.ts";
import { SchedulingKind } from "../../model/schedulingMessages.ts";
import { emptySessionContext, SessionStatementKind, TaskMode } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import { DeadlineKind, type SetDeadline } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { Links } from "../links.ts";
import type { LinkTable } from "../linkTable.ts";
import { type TaskAttempted, TaskKind } from "../taskMessages.ts";
import { AnswerChecker } from "./answerChecker.ts";
import { Schedule } from "./schedule.ts";
import { statement } from "./sessionFixture.ts";
import { StandInDatabase } from "./standInDatabase.ts";

const networkMs = 1;
export const slots = 4;

export interface TaskParts {
    readonly workspace: string;
    readonly priority: number;
    readonly kind?: SessionStatementKind;
    readonly mode?: TaskMode;
    readonly sessionId?: string;
    readonly objectiveMs?: number;
    readonly limitMs?: number;
}

export class LinksWorld {
    readonly schedule = new Schedule();
    readonly random = new SeededRandom(3);
    readonly checker = new AnswerChecker();
    readonly database: StandInDatabase;
    /** Number of runs by statement. */
    readonly runs = new Map<string, number>();

    constructor(connectionLimit: number) {
        const report: DatabaseReport = {
            databaseId: "d",
            service: "s",
            address: "d:1",
            dataCentre: "dc1",
            slots,
            state: ReportedState.Ready,
            leads: true,
            sequence: 1,
            bornUnixMs: 1,
        };
        const { checker, random } = this;
        this.database = new StandInDatabase(this.schedule, report, { connectionLimit, lagMs: 0, random, checker });
        this.database.onStatement = id => this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    }
}

export class Holder {
    readonly attempts = new Map<string, { readonly attempted: TaskAttempted; readonly atMs: number; }>();
    readonly placedMs = new Map<string, number>();
    readonly phases: string[] = [];
    /** Tasks of which commands were sent. */
    readonly startedTaskIds = new Set<string>();
    /** Called with the messages that the links return for each event. */
    onOutputs: (outputs: readonly Message[]) => void = () => undefined;
    /** Occupancies after events that have put more in flight than the window allows. */
    readonly startsBeyondWindow: unknown[] = [];
    maximumLinks = 0;
    private readonly links: Links;
    private readonly world: LinksWorld;
    private readonly name: string;
    private readonly openLinkIds = new Set<string>();
    private readonly timers = new Map<string, SetDeadline>();
    private nextTask = 0;

    constructor(world: LinksWorld, name: string, connectionLimit: number, pace: Pace = Pace.Adaptive) {
        this.links = new Links({ random: new SeededRandom(1), pace });
        this.world = world;
        this.name = name;
        const services = new Map([["s", { name: "s", connectionLimit, synchronousReplicas: 0 }]]);
        const policy: PolicyApplied = {
            kind: FleetKind.PolicyApplied,
            policy: { ...emptyTrafficPolicy, services },
            confirmed: true,
            promoted: new Map(),
            ordered: new Map(),
            completedFences: new Map(),
        };
        this.push(policy);
        this.push({ kind: FleetKind.DatabaseChanged, report: world.database.report } as Message);
        this.setHolder(true);
    }

    setHolder(isHolder: boolean): void {
        this.push({ kind: TaskKind.HolderChanged, databaseId: "d", isHolder } as Message);
    }

    place(parts: TaskParts): string {
        const { workspace, priority, kind = SessionStatementKind.Read, mode = TaskMode.Single } = parts;
        const { objectiveMs = 1_000, limitMs = 3_000 } = parts;
        const { nowMs } = this.world.schedule;
        const taskId = `${this.name}-${this.nextTask++}`;
        const sessionId = parts.sessionId ?? taskId;
        const continues = parts.sessionId !== undefined;
        this.world.checker.ask(taskId, sessionId, mode !== TaskMode.Single);
        this.placedMs.set(taskId, nowMs);
        const task = {
            taskId,
            sessionId,
            service: "s",
            workspace,
            mode,
            statement: statement(kind, taskId),
            writes: kind === SessionStatementKind.Write || kind === SessionStatementKind.Commit,
            needsPrimary: mode === TaskMode.Transaction,
            context: emptySessionContext,
            deadlineMs: nowMs + limitMs,
            urgency: { priority, objectiveAtMs: nowMs + objectiveMs },
        };
        this.push(
            continues
                ? { kind: TaskKind.Continued, task } as Message
                : {
                    kind: TaskKind.Placed,
                    task,
                    databaseId: "d",
                    floor: undefined,
                    attemptDeadlineMs: nowMs + limitMs,
                } as Message,
        );
        return taskId;
    }

    /** Returns what the links say of a statement. */
    ask(asked: ExplanationAsked): readonly Finding[] {
        const [ended, ...others] = this.links.process(asked, this.world.schedule.nowMs);
        assert.equal(ended?.kind, ExplanationKind.Ended);
        assert.deepEqual(others, []);
        return (ended as ExplanationEnded).findings;
    }

    abandon(taskId: string): void {
        this.push({ kind: TaskKind.Abandoned, sessionId: taskId, taskId } as Message);
    }

    /** The database forgets all connections of this holder. */
    breakLinks(loss: LinkLoss = LinkLoss.Broken): void {
        this.world.database.closeConnections(this.name);
        [...this.openLinkIds].forEach(linkId => this.push({ kind: LinkKind.Lost, linkId, loss } as Message));
    }

    /** Links that are opening or busy, and the window. */
    get occupancy(): { readonly inFlight: number; readonly window: number; readonly links: number; } {
        const pool = (this.links as unknown as { readonly table: LinkTable; }).table.pools.get("d");
        return pool === undefined
            ? { inFlight: 0, window: 0, links: 0 }
            : { inFlight: pool.occupancy().inFlight, window: pool.window.size, links: pool.links.size };
    }

    faultOf(taskId: string): string | undefined {
        const attempted = this.attempts.get(taskId)?.attempted;
        return attempted?.reply === undefined ? attempted?.fault ?? "none" : attempted.reply.fault;
    }

    private push(message: Message): void {
        const { schedule } = this.world;
        const before = this.occupancy;
        const outputs = this.links.process(message as never, schedule.nowMs);
        const after = this.occupancy;
        this.onOutputs(outputs);
        this.recordStarts();
        this.maximumLinks = Math.max(this.maximumLinks, after.links);
        // Statements of open transactions run at once.
        if (message.kind !== TaskKind.Continued && after.inFlight > Math.max(before.inFlight, after.window)) {
            this.startsBeyondWindow.push(after);
        }
        outputs.forEach(output => this.handle(output));
    }

    private recordStarts(): void {
        const pool = (this.links as unknown as { readonly table: LinkTable; }).table.pools.get("d");
        pool?.links.forEach(({ attempt }) => {
            if (attempt !== undefined) {
                this.startedTaskIds.add(attempt.placed.task.taskId);
            }
        });
    }

    private handle(output: Message): void {
        const { schedule, database } = this.world;
        switch (output.kind) {
            case DeadlineKind.Set: {
                const timer = output as SetDeadline;
                this.timers.set(timer.key, timer);
                schedule.at(timer.atMs, () => {
                    if (this.timers.get(timer.key) === timer) {
                        this.timers.delete(timer.key);
                        this.push(timer.message);
                    }
                });
                return;
            }
            case DeadlineKind.Clear:
                this.timers.delete((output as SetDeadline).key);
                return;
            case TaskKind.Attempted: {
                const attempted = output as TaskAttempted;
                this.attempts.set(attempted.task.taskId, { attempted, atMs: schedule.nowMs });
                return;
            }
            case SchedulingKind.PaceChanged:
                this.phases.push((output as unknown as { readonly phase: string; }).phase);
                return;
            case LinkKind.Open:
                this.openLinkIds.add((output as LinkOpen).linkId);
                break;
            case LinkKind.Close:
                this.openLinkIds.delete((output as LinkOpen).linkId);
                break;
            case LinkKind.Send:
                break;
            default:
                return;
        }
        schedule.after(networkMs, () =>
            database.receive(this.name, output, answer =>
                schedule.after(networkMs, () => {
                    if (answer.kind === LinkKind.Lost) {
                        this.openLinkIds.delete((answer as LinkOpen).linkId);
                    }
                    this.push(answer);
                })));
    }
}
