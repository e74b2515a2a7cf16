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
    readonly faults: number;
    readonly durationMs: number;
}

/** One size is named on the command line. */
export const scales: Readonly<Record<string, Scale>> = {
    small: { members: 3, proxies: 3, faults: 14, durationMs: 22_000 },
    usual: { members: 3, proxies: 9, faults: 30, durationMs: 40_000 },
    large: { members: 5, proxies: 60, faults: 80, durationMs: 60_000 },
};

/** Draws overlapping faults in the order of their times; everything starts again at the end of two runs of three. */
export function drawSchedule(seed: number, { faults, durationMs }: Scale, only?: FaultKind): readonly Fault[] {
    const random = new SeededRandom(seed);
    const lastKinds: readonly FaultKind[] = [FaultKind.RestartAll, FaultKind.RestartAllWithLostDisk];
    // A restart of everything in the middle would hide what the faults before it show later.
    const kinds = only === undefined
        ? Object.values(FaultKind).filter(kind => !lastKinds.includes(kind))
        : [only];
    const drawn = Array.from({ length: faults }, (): Fault => ({
        atMs: random.nextInteger(durationMs),
        kind: kinds[random.nextInteger(kinds.length)]!,
        target: random.nextInteger(1_000),
        forMs: 200 + Math.round(random.nextFloat() ** 2 * 12_000),
    }));
    const last = random.nextInteger(3);
    const atEnd: readonly Fault[] = last === 2 || only !== undefined
        ? []
        : [{ atMs: durationMs, kind: lastKinds[last]!, target: random.nextInteger(1_000), forMs: 500 }];
    return [...drawn.sort((left, right) => left.atMs - right.atMs), ...atEnd];
}
