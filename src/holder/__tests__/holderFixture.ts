/** A holder pipe with fake databases in virtual time, for the specs of this folder. */
import { ClusterKind, type DatabaseView } from "../../model/clusterMessages.ts";
import { DatabaseRole } from "../../model/database.ts";
import { HolderHealthKind } from "../../model/healthMessages.ts";
import { type HolderAnswer, HolderKind, type HolderReply, type HolderRequest } from "../../model/holderMessages.ts";
import { type LeaseAssignment, ResourceKind } from "../../model/lease.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { type Execution, refusalTable } from "../../model/refusal.ts";
import { StatementKind } from "../../model/statement.ts";
import { setDeadline } from "../../pipeline/deadlineQueue.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Filter } from "../../pipeline/filter.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { AcquireFilter } from "../acquire.ts";
import { ConfirmFilter } from "../confirm.ts";
import { ExecuteFilter } from "../execute.ts";
import { FloorsFilter } from "../floors.ts";
import { FreshnessFilter } from "../freshness.ts";
import { defaultHolderSettings, type HolderSettings } from "../holderSettings.ts";
import { MonitorFilter } from "../monitor.ts";
import { OrdersFilter } from "../orders.ts";
import { FakeDatabases } from "./fakeDatabases.ts";

interface DelayedMessage extends Message {
    readonly atMs: number;
    readonly message: Message;
}

/** Delivers messages of the fake databases with a delay, and completes operations that are due. */
class FakeNetwork implements Filter<DelayedMessage, Message> {
    readonly step = "fake network";
    readonly accepts = ["fake.later", "fake.answer"];
    databases: FakeDatabases | undefined;
    private nextNumber = 0;

    process(delayed: DelayedMessage): readonly Message[] {
        if (delayed.kind === "fake.later") {
            return [setDeadline(`fake:${this.nextNumber++}`, delayed.atMs, delayed.message)];
        }
        const answer = this.databases!.completeOperation(
            delayed.message as Parameters<FakeDatabases["completeOperation"]>[0],
        );
        return answer === undefined ? [] : [answer];
    }
}

class Collector implements Sink<Message> {
    readonly accepts = [
        HolderKind.Answer,
        HolderKind.Reply,
        HolderKind.FloorAnswer,
        HolderKind.FloorReply,
        HolderHealthKind.DatabaseHealth,
        HolderHealthKind.OrderDone,
        HolderHealthKind.LeaseIdle,
    ];
    readonly received: { readonly message: Message; readonly atMs: number; }[] = [];
    onMessage: (message: Message, nowMs: number) => void = () => undefined;

    deliver(message: Message, nowMs: number): void {
        this.received.push({ message, atMs: nowMs });
        this.onMessage(message, nowMs);
    }
}

/** Virtual clock that can advance while the process is stopped, as when the machine is suspended. */
class SuspendableClock extends VirtualClock {
    private suspendedMs = 0;

    override nowMs(): number {
        return super.nowMs() + this.suspendedMs;
    }

    override scheduleWakeUp(atMs: number, run: () => void): void {
        super.scheduleWakeUp(atMs - this.suspendedMs, run);
    }

    /** Advances the time without running the process; timers that become due run late. */
    suspend(durationMs: number): void {
        this.suspendedMs += durationMs;
    }

    run(durationMs: number): void {
        super.advanceTo(super.nowMs() + durationMs);
    }
}

export interface FixtureOptions {
    readonly settings?: Partial<HolderSettings>;
    readonly slots?: number;
    readonly connectionLimit?: number;
    readonly groupSize?: number;
    readonly serviceMs?: number;
    /** Databases that this instance holds; by default only the primary. */
    readonly held?: readonly string[];
}

/** One group of databases: primary `p` with replicas `r1` and `r2`. */
export class HolderFixture {
    readonly clock = new SuspendableClock();
    readonly collector = new Collector();
    readonly databases: FakeDatabases;
    readonly loop: EventLoop;
    private readonly options: FixtureOptions;
    private nextRequest = 0;

    constructor(options: FixtureOptions = {}) {
        this.options = options;
        const settings = { ...defaultHolderSettings, ...options.settings };
        const random = new SeededRandom(1);
        const network = new FakeNetwork();
        this.databases = new FakeDatabases({
            nowMs: () => this.clock.nowMs(),
            postAt: (atMs, message) => this.loop.post({ kind: "fake.later", atMs, message } as DelayedMessage),
        });
        network.databases = this.databases;
        const holder = new Pipe("holder", [
            new MonitorFilter({ settings }),
            new OrdersFilter({ settings }),
            new FreshnessFilter({ settings }),
            new AcquireFilter({ settings, random }),
            new ExecuteFilter({ settings, random }),
            new FloorsFilter({ settings }),
            new ConfirmFilter({ settings }),
        ]);
        this.loop = new EventLoop({
            clock: this.clock,
            pipes: [holder, new Pipe("network", [network])],
            sinks: [this.databases, this.collector],
        });
        this.addDatabases();
    }

    /** Announces the databases, renews the lease for a long time and waits until connections are open. */
    start(): this {
        this.announce();
        this.renewLeases(1_000_000);
        this.run(50);
        return this;
    }

    run(durationMs: number): void {
        this.clock.run(durationMs);
    }

    post(message: Message): void {
        this.loop.post(message);
    }

    announce(change: Partial<DatabaseView> = {}): void {
        const databases = [...this.databases.databases.keys()].map(id => ({ ...this.view(id), ...change }));
        this.post({ kind: ClusterKind.DatabasesChanged, databases } as Message);
    }

    renewLeases(validUntilMs: number, epoch = 1, held: readonly string[] = this.options.held ?? ["p"]): void {
        const leases: LeaseAssignment[] = held.map(resourceId => ({
            resource: ResourceKind.Database,
            resourceId,
            instanceId: "i1",
            instanceAddress: "127.0.0.1:1",
            epoch,
        }));
        this.post({ kind: ClusterKind.LeasesRenewed, leases, validUntilMs } as Message);
    }

    /** Posts a statement and returns its request id. */
    send(text: string, fields: Partial<HolderRequest> = {}): string {
        const request: HolderRequest = {
            kind: HolderKind.Request,
            origin: "",
            requestId: `q${this.nextRequest++}`,
            sessionId: "s1",
            databaseId: "p",
            callerId: "k1",
            workspace: "w1",
            workClass: "default",
            statementKind: kindOf(text),
            text,
            floor: undefined,
            deadlineMs: this.clock.nowMs() + 1_000,
            idempotencyId: undefined,
            repeatable: false,
            pinned: false,
            ...fields,
        };
        this.post(request);
        return request.requestId;
    }

    /** Replicates from the primary every `intervalMs`, until `untilMs`. */
    replicateUntil(untilMs: number, intervalMs = 1): void {
        while (this.clock.nowMs() < untilMs) {
            this.databases.replicate("p", "r1");
            this.databases.replicate("p", "r2");
            this.run(intervalMs);
        }
    }

    answers(requestId: string): readonly (HolderAnswer | HolderReply)[] {
        return this.collector.received
            .map(({ message }) => message as HolderAnswer)
            .filter(({ kind }) => kind === HolderKind.Answer || (kind as string) === HolderKind.Reply)
            .filter(answer => answer.requestId === requestId);
    }

    answer(requestId: string): HolderAnswer | HolderReply | undefined {
        return this.answers(requestId)[0];
    }

    /** Returns `done`, `rows` or the code of the refusal; undefined without an answer. */
    result(requestId: string): string | undefined {
        const outcome = this.answer(requestId)?.outcome;
        return outcome?.kind === OutcomeKind.Refused ? outcome.refusal.code : outcome?.kind;
    }

    /** Whether a refused statement ran; undefined for a success. */
    execution(requestId: string): Execution | undefined {
        const outcome = this.answer(requestId)?.outcome;
        return outcome?.kind === OutcomeKind.Refused ? refusalTable[outcome.refusal.code].execution : undefined;
    }

    /** Returns the messages of one kind that left the pipe. */
    messagesOf<Kind extends Message>(kind: Kind["kind"]): readonly Kind[] {
        return this.collector.received.map(({ message }) => message).filter(message => message.kind === kind) as Kind[];
    }

    private addDatabases(): void {
        const { serviceMs = 1, groupSize = 3 } = this.options;
        this.databases.add("p", DatabaseRole.Primary, serviceMs);
        ["r1", "r2"].slice(0, groupSize - 1).forEach(id => this.databases.add(id, DatabaseRole.Replica, serviceMs));
    }

    private view(databaseId: string): DatabaseView {
        const { slots = 3, connectionLimit = 20, groupSize = 3 } = this.options;
        return {
            databaseId,
            groupId: "g",
            service: "shop",
            dataCentre: "dc1",
            address: `${databaseId}:3306`,
            slots,
            connectionLimit,
            role: this.databases.get(databaseId).role,
            position: { term: 1, offset: 0 },
            groupSize,
            available: true,
            holder: undefined,
        };
    }
}

function kindOf(text: string): StatementKind {
    const kinds: Record<string, StatementKind> = {
        SELECT: StatementKind.Read,
        BEGIN: StatementKind.Begin,
        COMMIT: StatementKind.Commit,
        ROLLBACK: StatementKind.Rollback,
        SET: StatementKind.SessionState,
    };
    return kinds[text.split(" ")[0]!.toUpperCase()] ?? StatementKind.Write;
}

/** Tells whether the connection belongs to the work pool. */
export function isWorkLink(linkId: string): boolean {
    return linkId.startsWith("work:");
}
