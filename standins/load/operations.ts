/** Operations of callers, which check the responses that they receive. */
import { setTimeout as delay } from "node:timers/promises";
import type { Caller } from "./caller.ts";
import { type CallOutcome, OutcomeKind } from "./callOutcome.ts";
import { OperationKind, type PlanStep } from "./plan.ts";
import { pairCount, registerCount, tokenCount } from "./schema.ts";

export interface Operation {
    run(caller: Caller, step: PlanStep): Promise<void>;
}

const WorkClassName = { Orders: "orders", Redemptions: "redemptions", Lookups: "lookups" } as const;

const maximumAttempts = 4;
const resendPauseMs = 300;
const lookUpMaximumAgesMs = [500, 1_000, 5_000];

/** Inserts a row that must be applied once; after an unknown outcome, resends the insert with the same request id. */
class PlaceOrder implements Operation {
    async run(caller: Caller, step: PlanStep): Promise<void> {
        const requestId = caller.newRequestId();
        const sql = "INSERT INTO orders (request_id, workspace, item, amount) "
            + `VALUES ('${requestId}', '${caller.identity.workspace}', ${step.target}, ${1 + step.variant % 5})`;
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            caller.recordWriteAttempt();
            const { kind } = await caller.execute(sql, { workClass: WorkClassName.Orders, requestId });
            caller.writeOutcomes.record(requestId, kind);
            caller.recordWriteOutcome(kind);
            if (kind !== OutcomeKind.Unknown || !step.resend) {
                return;
            }
            await delay(resendPauseMs);
        }
    }
}

/** Decrements a balance and inserts a redemption in one transaction. */
class RedeemToken implements Operation {
    async run(caller: Caller, step: PlanStep): Promise<void> {
        const requestId = caller.newRequestId();
        const token = step.target % tokenCount;
        caller.recordWriteAttempt();
        const kind = await caller.executeTransaction([
            `UPDATE tokens SET balance = balance - 1 WHERE id = ${token} AND balance > 0`,
            `INSERT INTO redemptions (request_id, token_id) VALUES ('${requestId}', ${token})`,
        ], { workClass: WorkClassName.Redemptions });
        caller.writeOutcomes.record(requestId, kind);
        caller.recordWriteOutcome(kind);
    }
}

/** Reads any caller's register with a maximum age. */
class LookUp implements Operation {
    async run(caller: Caller, step: PlanStep): Promise<void> {
        const maximumAgeMs = lookUpMaximumAgesMs[step.variant % lookUpMaximumAgesMs.length]!;
        const register = step.target % registerCount;
        await readRegister(
            caller,
            register,
            maximumAgeMs,
            sql => caller.execute(sql, { workClass: WorkClassName.Lookups, maximumAgeMs }),
        );
    }
}

/** Writes the caller's register, then reads it on the same connection, a new one or another instance. */
class ReadYourWrites implements Operation {
    async run(caller: Caller, step: PlanStep): Promise<void> {
        if (!await writeRegister(caller)) {
            return;
        }
        const attributes = { workClass: WorkClassName.Lookups, maximumAgeMs: 60_000 };
        const readVariants: readonly ((sql: string) => Promise<CallOutcome>)[] = [
            sql => caller.execute(sql, attributes),
            sql => caller.executeOnNewConnection(0, sql, attributes),
            sql => caller.executeOnNewConnection(1, sql, attributes),
            async sql => caller.executeOnNewConnection(1, sql, { ...attributes, ...await fetchSessionToken(caller) }),
        ];
        await readRegister(caller, caller.index, 60_000, readVariants[step.variant % readVariants.length]!);
    }
}

/** Sets both rows of a pair to the same stamp in one transaction, which also reads its own writes. */
class WritePair implements Operation {
    async run(caller: Caller, step: PlanStep): Promise<void> {
        const stamp = caller.newRequestId();
        const pair = step.target % pairCount;
        const update = (half: string) =>
            `UPDATE pairs SET stamp = '${stamp}' WHERE pair_id = ${pair} AND half = '${half}'`;
        const read = `SELECT stamp FROM pairs WHERE pair_id = ${pair}`;
        caller.recordWriteAttempt();
        const kind = await caller.executeTransaction(
            [update("a"), update("b"), read],
            { workClass: WorkClassName.Orders },
            (index, outcome) => {
                if (index === 2 && !outcome.rows.every(row => row.stamp === stamp)) {
                    caller.state.statistics.violations.mixedTransactions += 1;
                }
            },
        );
        caller.recordWriteOutcome(kind);
    }
}

/** Reads both rows of a pair with one statement; their stamps must match. */
class ReadPair implements Operation {
    async run(caller: Caller, step: PlanStep): Promise<void> {
        const sql = `SELECT stamp FROM pairs WHERE pair_id = ${step.target % pairCount}`;
        const outcome = await caller.execute(sql, { workClass: WorkClassName.Lookups, maximumAgeMs: 5_000 });
        if (outcome.kind !== OutcomeKind.Done) {
            return;
        }
        if (outcome.rows.length !== 2 || outcome.rows[0]!.stamp !== outcome.rows[1]!.stamp) {
            caller.state.statistics.violations.mixedTransactions += 1;
        }
    }
}

const operations: Readonly<Record<OperationKind, Operation>> = {
    [OperationKind.PlaceOrder]: new PlaceOrder(),
    [OperationKind.RedeemToken]: new RedeemToken(),
    [OperationKind.LookUp]: new LookUp(),
    [OperationKind.ReadYourWrites]: new ReadYourWrites(),
    [OperationKind.WritePair]: new WritePair(),
    [OperationKind.ReadPair]: new ReadPair(),
};

export function operationFor(kind: OperationKind): Operation {
    return operations[kind];
}

/** Key of a register in the history; every service has its own registers. */
export function registerKey(service: string, register: number): string {
    return `${service}/${register}`;
}

async function writeRegister(caller: Caller): Promise<boolean> {
    const value = caller.nextUniqueNumber();
    caller.recordWriteAttempt();
    // The condition prevents a write of unknown outcome, which may run late, from overwriting a newer value.
    const sql = `UPDATE registers SET value = ${value} WHERE id = ${caller.index} AND value < ${value}`;
    const { kind } = await caller.execute(sql, { workClass: WorkClassName.Orders });
    caller.recordWriteOutcome(kind);
    if (kind !== OutcomeKind.Done) {
        return false;
    }
    const { registerHistory, nowMs } = caller.state;
    registerHistory.recordAcknowledgement(registerKey(caller.service, caller.index), {
        value,
        acknowledgedAtMs: nowMs(),
        keyId: caller.identity.keyId,
    });
    return true;
}

async function readRegister(
    caller: Caller,
    register: number,
    maximumAgeMs: number,
    read: (sql: string) => Promise<CallOutcome>,
): Promise<void> {
    const { statistics, registerHistory, nowMs } = caller.state;
    const nonce = caller.newRequestId();
    const sentAtMs = nowMs();
    const key = registerKey(caller.service, register);
    const minimumValue = registerHistory.minimumVisibleValue(key, caller.identity.keyId, sentAtMs, maximumAgeMs);
    const outcome = await read(`SELECT '${nonce}' AS nonce, value FROM registers WHERE id = ${register}`);
    if (outcome.kind !== OutcomeKind.Done) {
        return;
    }
    const row = outcome.rows[0];
    if (row?.nonce !== nonce) {
        statistics.violations.wrongAnswers += 1;
    }
    else if (Number(row.value) < minimumValue) {
        statistics.violations.staleReads += 1;
    }
}

async function fetchSessionToken(caller: Caller): Promise<{ readonly sessionToken?: string; }> {
    const outcome = await caller.execute("SHOW JASMINELINE SESSION", {});
    const token = outcome.rows[0]?.session_token;
    return typeof token === "string" ? { sessionToken: token } : {};
}
