/** Checks the final content of the primaries against the outcomes that the callers received. */
import type { LoadState } from "./caller.ts";
import { registerKey } from "./operations.ts";
import { registerCount, tokenBalance, tokenCount } from "./schema.ts";

/** Queries the final content of one service. */
export interface FinalContent {
    query(sql: string): Promise<readonly (readonly unknown[])[]>;
}

/** Adds the violations found in the final content of `service` to the statistics. */
export async function checkFinalContent(service: string, content: FinalContent, state: LoadState): Promise<void> {
    const { violations } = state.statistics;
    const appliedCounts = new Map<string, number>();
    for (const table of ["orders", "redemptions"]) {
        const rows = await content.query(`SELECT request_id, COUNT(*) FROM ${table} GROUP BY request_id`);
        rows.forEach(([requestId, count]) => appliedCounts.set(String(requestId), Number(count)));
    }
    state.writeOutcomes.get(service)!.countViolations(appliedCounts, violations);
    violations.mixedTransactions += await countTornRedemptions(content);
    violations.mixedTransactions += (await content.query(
        "SELECT pair_id FROM pairs GROUP BY pair_id HAVING COUNT(DISTINCT stamp) > 1",
    )).length;
    violations.lost += await countLostRegisters(service, content, state);
}

// Each redemption lowers the balance in the same transaction, so balance plus redemptions equals the initial balance.
async function countTornRedemptions(content: FinalContent): Promise<number> {
    const rows = await content.query(
        "SELECT t.id, t.balance + (SELECT COUNT(*) FROM redemptions r WHERE r.token_id = t.id) FROM tokens t",
    );
    return tokenCount - rows.filter(([, total]) => total === tokenBalance).length;
}

async function countLostRegisters(service: string, content: FinalContent, state: LoadState): Promise<number> {
    const rows = await content.query("SELECT id, value FROM registers");
    const values = new Map(rows.map(([id, value]) => [Number(id), Number(value)]));
    return Array.from({ length: registerCount }, (_unused, id) => id)
        .filter(id => (values.get(id) ?? 0) < state.registerHistory.lastAcknowledgedValue(registerKey(service, id)))
        .length;
}
