/** The faults of one run of the soak, drawn from a seed: what happens when, to which machine and for how long. */
import { SeededRandom } from "../src/pipeline/seededRandom.ts";

export const FaultKind = {
    FreezeProxy: "freeze_proxy",
    FreezeMember: "freeze_member",
    KillProxy: "kill_proxy",
    KillMember: "kill_member",
    StopProxy: "stop_proxy",
    StopMember: "stop_member",
    SignalReload: "signal_reload",
    /** A member is replaced by an empty one at another address; the old one is killed. */
    ReplaceMember: "replace_member",
    /** As above, but the old one stands still, and goes on later. */
    ReplaceSilentMember: "replace_silent_member",
    /** A proxy starts whose settings name the first members; its file changes later, without a signal. */
    AddProxyWithOldSeeds: "add_proxy_with_old_seeds",
    /** A proxy starts at the address of a member that is gone for good. */
    ReuseAddress: "reuse_address",
    /** Several signals to one process, in an order that only ends with its end. */
    SignalSeries: "signal_series",
    /** Databases send some answers twice, the second time late. */
    RepeatAnswers: "repeat_answers",
    RefuseStatements: "refuse_statements",
    /** A database ends, and comes back under a new id with its log. */
    CrashDatabase: "crash_database",
    /** A database ends, and comes back under its id with nothing. */
    EmptyDatabase: "empty_database",
    JoinDatabase: "join_database",
    /** A database drains and leaves for good. */
    DrainDatabase: "drain_database",
    /** A database drains and leaves, and one with a new id continues its log at its address. */
    ReplaceDatabase: "replace_database",
    /** A database has no network: to its clients in one or both directions, to the others, or to all. */
    CutDatabase: "cut_database",
    SlowDatabase: "slow_database",
    /** The platform answers no order, and carries each out seconds later. */
    SlowPlatform: "slow_platform",
    /** Two databases and the control leader end within 100 ms, and come back with what they had. */
    CrashTwoDatabases: "crash_two_databases",
    /** The platform loses some answers, and carries these orders out 1 to 4 s late. */
    LatePlatform: "late_platform",
    /** A database reaches no control member, and serves on. */
    CutFromControl: "cut_from_control",
    /** A database receives a second late. */
    LateReplica: "late_replica",
    /** The primary is dark until another one is ordered; then it lacks the control members and one replica. */
    CutPrimary: "cut_primary",
    /** The primary drains, and is back under another id before an order for another one takes effect. */
    ReplacePrimary: "replace_primary",
    /** Several primaries in a row are cut off, so that a former one is ordered whose reports are old. */
    PromotionSeries: "promotion_series",
    FreezeLeader: "freeze_leader",
    /** A member that stood still goes on as the leader stands still. */
    WakeForLeader: "wake_for_leader",
    RestartAll: "restart_all",
    RestartAllWithLostDisk: "restart_all_with_lost_disk",
} as const;
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

export interface Fault {
    readonly atMs: number;
    readonly kind: FaultKind;
    /** Selects the machine among those that the fault can befall at its time. */
    readonly target: number;
    readonly forMs: number;
}

export interface Scale {
    readonly members: number;
    readonly proxies: number;
    readonly sessions: number;
    readonly faults: number;
    readonly durationMs: number;
}

/** One size is named on the command line. */
export const scales: Readonly<Record<string, Scale>> = {
    small: { members: 3, proxies: 3, sessions: 18, faults: 32, durationMs: 18_000 },
    usual: { members: 3, proxies: 9, sessions: 36, faults: 70, durationMs: 40_000 },
    large: { members: 5, proxies: 60, sessions: 120, faults: 150, durationMs: 60_000 },
};

/**
 * Draws overlapping faults in the order of their times. Everything starts again at the end of two runs of three.
 * @param only the kinds that are drawn; by default all, with the restart at the end
 */
export function drawSchedule(
    seed: number,
    { faults, durationMs }: Scale,
    only: readonly FaultKind[] = [],
): readonly Fault[] {
    const random = new SeededRandom(seed);
    const lastKinds: readonly FaultKind[] = [FaultKind.RestartAll, FaultKind.RestartAllWithLostDisk];
    // A restart of everything in the middle would hide what the faults before it show later.
    const kinds = only.length === 0
        ? Object.values(FaultKind).filter(kind => !lastKinds.includes(kind))
        : only;
    const drawn = Array.from({ length: faults }, (): Fault => ({
        atMs: random.nextInteger(durationMs),
        kind: kinds[random.nextInteger(kinds.length)]!,
        target: random.nextInteger(1_000),
        forMs: 200 + Math.round(random.nextFloat() ** 2 * 12_000),
    }));
    const last = random.nextInteger(3);
    const atEnd: readonly Fault[] = last === 2 || only.length > 0
        ? []
        : [{ atMs: durationMs, kind: lastKinds[last]!, target: random.nextInteger(1_000), forMs: 500 }];
    return [...drawn.sort((left, right) => left.atMs - right.atMs), ...atEnd];
}
