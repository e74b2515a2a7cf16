import assert from "node:assert/strict";
import { test } from "node:test";
import { DatabaseNode } from "../../database/databaseNode.ts";
import { Faults } from "../../database/faults.ts";
import { VolatileRoleStorage } from "../../database/fileStorage.ts";
import { GroupLog, VolatileLogStorage } from "../../database/groupLog.ts";
import { Semaphore } from "../../database/locks.ts";
import { Session, type SessionOptions } from "../../database/session.ts";
import { SqlStore, type StatementResult } from "../../database/sqlStore.ts";
import { type CallOutcome, doneOutcome, errorOutcome, OutcomeKind, toErrorOutcome } from "../callOutcome.ts";
import type { CallerConnection, Connector } from "../connector.ts";
import { FailoverGapMeter } from "../failoverGapMeter.ts";
import { checkFinalContent } from "../finalContentCheck.ts";
import { runLoad } from "../loadRun.ts";
import type { Violations } from "../loadStatistics.ts";
import { OperationKind, type Plan, type PlanStep, SeededPlan } from "../plan.ts";
import { RateModel } from "../rateModel.ts";
import { schemaStatements } from "../schema.ts";
import { summarize, violationsOf } from "../summary.ts";

type ExecuteStatement = (sql: string) => Promise<CallOutcome>;
/** Intercepts statements to a correct database and simulates a consistency defect. */
type Defect = (sql: string, execute: ExecuteStatement) => Promise<CallOutcome>;

const noDefect: Defect = (sql, execute) => execute(sql);

async function openDatabase(): Promise<SessionOptions> {
    const node = new DatabaseNode({
        store: await SqlStore.open(),
        log: new GroupLog(new VolatileLogStorage()),
        roleStorage: new VolatileRoleStorage(),
        initialState: { role: "primary", term: 1, primaryAddress: "" },
        lockTimeoutMs: 1_000,
    });
    const faults = new Faults({ lagMs: 0, serviceMs: 0 });
    const options = { node, faults, slots: new Semaphore(3), counters: { reads: 0, writes: 0 } };
    for (const statement of schemaStatements()) {
        await new Session(options).run(statement);
    }
    return options;
}

class FakeConnector implements Connector {
    private readonly options: SessionOptions;
    private readonly defect: Defect;

    constructor(options: SessionOptions, defect: Defect) {
        this.options = options;
        this.defect = defect;
    }

    async connect(): Promise<CallerConnection> {
        const session = new Session(this.options);
        const execute: ExecuteStatement = sql => session.run(sql).then(toOutcome, toErrorOutcome);
        return { query: sql => this.defect(sql, execute), close: () => session.close() };
    }
}

function toOutcome({ columns, rows, affectedRows }: StatementResult): CallOutcome {
    const objects = rows.map(row => Object.fromEntries(columns.map((name, index) => [name, row[index]])));
    return doneOutcome(objects, affectedRows);
}

class FixedPlan implements Plan {
    private readonly steps: PlanStep[];

    constructor(operations: readonly OperationKind[]) {
        this.steps = operations.map(operation => ({
            caller: 0,
            pauseMs: 0,
            operation,
            target: 0,
            variant: 0,
            resend: true,
        }));
    }

    nextStep(): PlanStep | undefined {
        return this.steps.shift();
    }
}

async function findViolations(
    operations: readonly OperationKind[],
    defect: Defect,
    callerCount = 1,
): Promise<Violations> {
    const database = await openDatabase();
    const state = await runLoad({
        connector: new FakeConnector(database, defect),
        entryCount: 1,
        services: ["orders"],
        identities: [{ keyId: "k", secret: "s", workspace: "w" }],
        workspaceRates: [],
        callerCount,
        plan: operations.length > 0 ? new FixedPlan(operations) : new SeededPlan(7, 1),
        durationMs: 60_000,
        statementLimit: 600,
        nowMs: () => performance.now(),
    });
    await checkFinalContent("orders", { query: async sql => database.node.store.readCommitted(sql).rows }, state);
    return state.statistics.violations;
}

const noViolations: Violations = {
    lost: 0,
    doubled: 0,
    notRunButRan: 0,
    staleReads: 0,
    mixedTransactions: 0,
    wrongAnswers: 0,
};
const { PlaceOrder, RedeemToken, ReadYourWrites, WritePair, ReadPair } = OperationKind;

test("finds no violation when all operations run concurrently on a correct database", async () => {
    assert.deepEqual(await findViolations([], noDefect, 6), noViolations);
});

test("counts an acknowledged order that was not stored as lost", async () => {
    const dropWrite: Defect = (sql, execute) =>
        sql.startsWith("INSERT INTO orders") ? Promise.resolve(doneOutcome([], 1)) : execute(sql);
    assert.deepEqual(await findViolations([PlaceOrder, PlaceOrder], dropWrite), { ...noViolations, lost: 2 });
});

test("counts a missing acknowledged register write as lost and its read as stale", async () => {
    const dropWrite: Defect = (sql, execute) =>
        sql.startsWith("UPDATE registers") ? Promise.resolve(doneOutcome([], 1)) : execute(sql);
    assert.deepEqual(await findViolations([ReadYourWrites], dropWrite), { ...noViolations, lost: 1, staleReads: 1 });
});

test("counts an order that a resend applied twice as doubled", async () => {
    let responseLost = false;
    const loseFirstResponse: Defect = async (sql, execute) => {
        const outcome = await execute(sql);
        const first = sql.startsWith("INSERT INTO orders") && !responseLost;
        responseLost ||= first;
        return first ? errorOutcome(OutcomeKind.Unknown, "connection_lost") : outcome;
    };
    assert.deepEqual(await findViolations([PlaceOrder], loseFirstResponse), { ...noViolations, doubled: 1 });
});

test("counts an order that was applied although refused as not run", async () => {
    const reportNotRun: Defect = async (sql, execute) => {
        const outcome = await execute(sql);
        return sql.startsWith("INSERT INTO orders") ? errorOutcome(OutcomeKind.NotRun, "overloaded") : outcome;
    };
    assert.deepEqual(await findViolations([PlaceOrder], reportNotRun), { ...noViolations, notRunButRan: 1 });
});

test("counts a read that misses the caller's own write as stale", async () => {
    const returnStaleValue: Defect = async (sql, execute) => {
        const outcome = await execute(sql);
        return sql.includes("FROM registers") ? doneOutcome([{ ...outcome.rows[0], value: 0 }], 0) : outcome;
    };
    assert.deepEqual(await findViolations([ReadYourWrites], returnStaleValue), { ...noViolations, staleReads: 1 });
});

test("counts a response that belongs to another request", async () => {
    const returnOtherResponse: Defect = async (sql, execute) => {
        const outcome = await execute(sql);
        return sql.includes("AS nonce") ? doneOutcome([{ nonce: "r-9-9", value: 99 }], 0) : outcome;
    };
    assert.deepEqual(await findViolations([ReadYourWrites], returnOtherResponse), { ...noViolations, wrongAnswers: 1 });
});

test("counts a partially written pair as mixed in reads and in the final content", async () => {
    const dropPartialWrite: Defect = (sql, execute) =>
        sql.includes("half = 'b'") ? Promise.resolve(doneOutcome([], 1)) : execute(sql);
    const violations = await findViolations([WritePair, ReadPair], dropPartialWrite);
    assert.deepEqual(violations, { ...noViolations, mixedTransactions: 3 });
});

test("counts a redemption without its balance update as mixed", async () => {
    const dropPartialWrite: Defect = (sql, execute) =>
        sql.startsWith("UPDATE tokens") ? Promise.resolve(doneOutcome([], 1)) : execute(sql);
    assert.deepEqual(await findViolations([RedeemToken], dropPartialWrite), { ...noViolations, mixedTransactions: 1 });
});

test("counts rate refusals as wrongful only within the rate, and fails a run without verified results", async () => {
    const refuseForRate: Defect = async () => errorOutcome(OutcomeKind.NotRun, "rate_exceeded", { step: "admit" });
    const state = await runLoad({
        connector: new FakeConnector(await openDatabase(), refuseForRate),
        entryCount: 1,
        services: ["orders"],
        identities: [{ keyId: "k", secret: "s", workspace: "w" }],
        workspaceRates: [{ name: "w", ratePerSecond: 0, burst: 2 }],
        callerCount: 1,
        plan: new FixedPlan([PlaceOrder, PlaceOrder, PlaceOrder]),
        durationMs: 60_000,
        statementLimit: 600,
        nowMs: () => 0,
    });
    assert.equal(state.statistics.wrongfulRefusals, 2);
    const violations = violationsOf(summarize(state, undefined, ["orders"]));
    assert.deepEqual(violations, ["unverified_orders", "nothing_acknowledged"]);
});

test("measures gaps only while writes are attempted, including a gap still open at the end", () => {
    const gapMeter = new FailoverGapMeter();
    gapMeter.recordAttempt("orders", 0);
    gapMeter.recordAcknowledgement("orders", 10);
    gapMeter.recordAcknowledgement("orders", 5_000);
    gapMeter.recordAttempt("orders", 5_100);
    gapMeter.finish(6_000);
    assert.equal(gapMeter.longestGapMs().get("orders"), 1_000);
});

test("refills the token bucket of a workspace up to its burst", () => {
    const rateModel = new RateModel([{ name: "w", ratePerSecond: 10, burst: 1 }], 0);
    assert.deepEqual([
        rateModel.recordStatement("w", 0),
        rateModel.recordStatement("w", 50),
        rateModel.recordStatement("w", 100),
    ], [
        true,
        false,
        true,
    ]);
    assert.deepEqual([rateModel.recordStatement("w", 10_000), rateModel.recordStatement("w", 10_000)], [true, false]);
});

test("parses kind and code of refusals and treats connection errors as unknown outcomes", () => {
    const message = "outcome unknown: not confirmed [code=unconfirmed step=confirm retry_after_ms=20]";
    const outcome = toErrorOutcome({ message, errno: 9040 });
    assert.deepEqual([outcome.kind, outcome.code, outcome.step], [OutcomeKind.Unknown, "unconfirmed", "confirm"]);
    assert.equal(
        toErrorOutcome({ message: "read ECONNRESET", errno: -104, code: "ECONNRESET" }).kind,
        OutcomeKind.Unknown,
    );
    assert.equal(toErrorOutcome({ message: "no such table", errno: 1146 }).kind, OutcomeKind.Failed);
});
