/** Costs of statements in the request and holder pipes, for docs/CAPACITY.md. */
import { performance } from "node:perf_hooks";
import { BackendKind } from "../src/model/backendMessages.ts";
import { ClusterKind, type DatabaseView } from "../src/model/clusterMessages.ts";
import { DatabaseRole } from "../src/model/database.ts";
import { HolderKind } from "../src/model/holderMessages.ts";
import { type LeaseAssignment, ResourceKind } from "../src/model/lease.ts";
import { OutcomeKind } from "../src/model/outcome.ts";
import { originPosition } from "../src/model/position.ts";
import { StatementKind } from "../src/model/statement.ts";
import type { Filter } from "../src/pipeline/filter.ts";
import type { Message } from "../src/pipeline/message.ts";
import { Pipe } from "../src/pipeline/pipe.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { AnswerFilter } from "../src/request/answer.ts";
import { ClassifyFilter } from "../src/request/classify.ts";
import { type ClassifiedRequest, RequestKind } from "../src/request/requestMessages.ts";
import { RouteFilter } from "../src/request/route.ts";
import { buildHolderPipe } from "./holderPipe.ts";

const timedStatements = 50_000;
const outcome = { kind: OutcomeKind.Rows, columns: [], rows: [] };

const lease: LeaseAssignment = {
    resource: ResourceKind.Database,
    resourceId: "p",
    instanceId: "holder",
    instanceAddress: "holder",
    epoch: 1,
};

const databaseView: DatabaseView = {
    databaseId: "p",
    groupId: "g",
    service: "shop",
    dataCentre: "north",
    address: "p",
    slots: 3,
    connectionLimit: 20,
    role: DatabaseRole.Primary,
    position: originPosition,
    groupSize: 3,
    available: true,
    holder: lease,
};

type MessageFields = Message & Record<string, unknown>;

/** Replaces admission, which is measured separately. */
class AdmitAllFilter implements Filter<ClassifiedRequest, Message> {
    readonly step = "admit";
    readonly accepts = [RequestKind.Classified];

    process(request: ClassifiedRequest): readonly Message[] {
        return [{ ...request, kind: RequestKind.Admitted } as Message];
    }
}

/** A request pipe without admission. */
class RequestPipe {
    private readonly pipe: Pipe;

    constructor() {
        const tokenCodec = { encode: () => "", decode: () => undefined };
        const random = new SeededRandom(1);
        const route = new RouteFilter({
            instanceId: "entry",
            incarnation: "1",
            dataCentre: "north",
            random,
            tokenCodec,
        });
        this.pipe = new Pipe("request", [new ClassifyFilter(), new AdmitAllFilter(), route, new AnswerFilter()]);
        this.processMessage({ kind: ClusterKind.DatabasesChanged, databases: [databaseView] });
    }

    /** Sends a statement on a connection; returns the id of the request that is forwarded to the holder. */
    send(connectionId: number): string {
        const outputs = this.processMessage({
            kind: RequestKind.Authenticated,
            connectionId,
            sequence: 0,
            callerId: `key${connectionId % 200}`,
            workspace: "workspace",
            service: "shop",
            text: "SELECT id, value FROM registers WHERE id = 1 /*max_age_ms='0'*/",
            arrivedAtMs: 0,
        });
        const forward = outputs.find(({ kind }) => kind === HolderKind.Forward);
        if (forward === undefined) {
            throw new Error("the request pipe forwarded nothing; the measured statement must not need a floor");
        }
        return (forward as MessageFields)["requestId"] as string;
    }

    answer(requestId: string): void {
        this.processMessage({
            kind: HolderKind.Answer,
            requestId,
            outcome,
            written: undefined,
            inTransaction: false,
            pinned: false,
        });
    }

    private processMessage(message: MessageFields): readonly Message[] {
        return this.pipe.process(message, 0);
    }
}

/** Creates a request pipe with idle sessions that have had one statement each. */
export function openSessions(count: number): RequestPipe {
    const pipe = new RequestPipe();
    for (let connectionId = 0; connectionId < count; connectionId++) {
        pipe.answer(pipe.send(connectionId));
    }
    return pipe;
}

/** Creates a request pipe with sessions that wait for the answer to one statement each. */
export function startPendingStatements(count: number): RequestPipe {
    const pipe = new RequestPipe();
    for (let connectionId = 0; connectionId < count; connectionId++) {
        pipe.send(connectionId);
    }
    return pipe;
}

/** Measures classify, route and answer filters for a read on the primary. */
export function timeRequestPipe(): number {
    const pipe = new RequestPipe();
    return microsecondsPerCall(index => pipe.answer(pipe.send(index % 1_000)));
}

/** Measures the holder pipe for reads on the primary, one at a time. */
export function timeHolderPipe(): number {
    const pipe = buildHolderPipe(1);
    const run = (first: MessageFields): void => {
        const queue: Message[] = [first];
        for (let message = queue.shift(); message !== undefined; message = queue.shift()) {
            const outputs = pipe.process(message, 0).filter(output => output !== message);
            queue.push(...outputs.flatMap(output => answerBackend(output as MessageFields) ?? []));
            queue.push(...outputs.filter(({ kind }) => pipe.accepts.has(kind)));
        }
    };
    run({ kind: ClusterKind.DatabasesChanged, databases: [databaseView] });
    run({ kind: ClusterKind.LeasesRenewed, leases: [lease], validUntilMs: 1e9, permitsUntilMs: 1e9 });
    return microsecondsPerCall(index =>
        run({
            kind: HolderKind.Request,
            origin: "entry",
            requestId: `${index}`,
            sessionId: `session${index % 1_000}`,
            databaseId: "p",
            callerId: `key${index % 200}`,
            workspace: `workspace${index % 8}`,
            workClass: "default",
            statementKind: StatementKind.Read,
            text: "SELECT id, value FROM registers WHERE id = 1",
            floor: undefined,
            deadlineMs: 1_000,
            idempotencyId: undefined,
            repeatable: true,
            pinned: false,
        })
    );
}

function answerBackend({ kind, linkId, databaseId, executionId }: MessageFields): MessageFields | undefined {
    if (kind === BackendKind.Open) {
        return { kind: BackendKind.Opened, linkId, databaseId };
    }
    if (kind === BackendKind.Execute) {
        return { kind: BackendKind.Result, linkId, executionId, outcome, inTransaction: false };
    }
    return kind === BackendKind.ReadPosition
        ? {
            kind: BackendKind.PositionRead,
            linkId,
            executionId,
            role: databaseView.role,
            position: databaseView.position,
        }
        : undefined;
}

function microsecondsPerCall(run: (index: number) => void): number {
    for (let index = 0; index < timedStatements / 10; index++) {
        run(index);
    }
    const startMs = performance.now();
    for (let index = 0; index < timedStatements; index++) {
        run(index);
    }
    return 1_000 * (performance.now() - startMs) / timedStatements;
}
