/** Writes with request ids: what each caller was told, to be compared with the final content. */
import type { Violations } from "./account.ts";
import { CallKind } from "./callOutcome.ts";

interface Entry {
    acknowledged: boolean;
    /** An attempt may have run. */
    unknown: boolean;
}

export class WriteLedger {
    private readonly entries = new Map<string, Entry>();

    /** Notes the outcome of one attempt. */
    note(requestId: string, kind: CallKind): void {
        const entry = this.entries.get(requestId) ?? { acknowledged: false, unknown: false };
        entry.acknowledged ||= kind === CallKind.Done;
        entry.unknown ||= kind === CallKind.Unknown;
        this.entries.set(requestId, entry);
    }

    /**
     * Compares with the final content.
     * @param applied for each request id, how often it was applied
     */
    check(applied: ReadonlyMap<string, number>, violations: Violations): void {
        for (const [requestId, entry] of this.entries) {
            const count = applied.get(requestId) ?? 0;
            if (entry.acknowledged && count === 0) {
                violations.lost += 1;
            }
            if (count > 1) {
                violations.doubled += 1;
            }
            if (count > 0 && !entry.acknowledged && !entry.unknown) {
                violations.notRunButRan += 1;
            }
        }
    }
}
