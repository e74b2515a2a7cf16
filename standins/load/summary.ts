/** Summary of a load run, as printed. */
import type { LoadState } from "./caller.ts";

export interface LoadSummary {
    readonly statements: number;
    readonly acknowledged: number;
    readonly refused: Readonly<Record<string, number>>;
    readonly unknown: number;
    readonly lost: number;
    readonly doubled: number;
    readonly not_run_but_ran: number;
    readonly stale_reads: number;
    readonly mixed_transactions: number;
    readonly wrong_answers: number;
    readonly wrongful_refusals: number;
    /** Services whose final content could not be read, so that lost or doubled writes would go undetected. */
    readonly unverified: readonly string[];
    /** Longest gap of all services. */
    readonly failover_gap_ms: number;
    readonly failover_gap_ms_by_service: Readonly<Record<string, number>>;
    /** -1 when no reads were counted. */
    readonly replica_read_share: number;
}

/**
 * @param replicaReadShare undefined when no reads were counted
 * @param unverified services whose final content could not be read
 */
export function summarize(
    state: LoadState,
    replicaReadShare: number | undefined,
    unverified: readonly string[],
): LoadSummary {
    const { statistics } = state;
    const gaps = [...state.gapMeter.longestGapMs()].map(([service, ms]) => [service, Math.round(ms)] as const);
    return {
        statements: statistics.statements,
        acknowledged: statistics.acknowledged,
        refused: Object.fromEntries(statistics.refusedByCode),
        unknown: statistics.unknown,
        lost: statistics.violations.lost,
        doubled: statistics.violations.doubled,
        not_run_but_ran: statistics.violations.notRunButRan,
        stale_reads: statistics.violations.staleReads,
        mixed_transactions: statistics.violations.mixedTransactions,
        wrong_answers: statistics.violations.wrongAnswers,
        wrongful_refusals: statistics.wrongfulRefusals,
        unverified,
        failover_gap_ms: Math.max(0, ...gaps.map(([, ms]) => ms)),
        failover_gap_ms_by_service: Object.fromEntries(gaps),
        replica_read_share: replicaReadShare === undefined ? -1 : Math.round(replicaReadShare * 1_000) / 1_000,
    };
}

const violationNames = [
    "lost",
    "doubled",
    "not_run_but_ran",
    "stale_reads",
    "mixed_transactions",
    "wrong_answers",
] as const;

/**
 * Names the violations of a run. A service without verified content, or a run without acknowledged statements, proves
 * nothing and therefore counts as a violation.
 */
export function violationsOf(summary: LoadSummary): readonly string[] {
    return [
        ...violationNames.filter(name => summary[name] > 0),
        ...summary.unverified.map(service => `unverified_${service}`),
        ...summary.acknowledged === 0 ? ["nothing_acknowledged"] : [],
    ];
}
