/** Seeded load shapes with their faults; every policy gets the same load. */
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { User } from "./users.ts";

export const runDurationMs = 20_000;

/** Arrivals before this time are sent but not counted, because the rates are divided for the first time. */
export const warmUpDurationMs = 5_000;

export interface Arrival {
    readonly atMs: number;
    readonly workspaceIndex: number;
    readonly instanceIndex: number;
}

export const FaultKind = {
    CutOff: "cut_off",
    Heal: "heal",
    Kill: "kill",
} as const;
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

export interface ScheduledFault {
    readonly atMs: number;
    readonly kind: FaultKind;
    /** Index of the data centre that is cut off or reconnected, or of the instance that is killed. */
    readonly index: number;
}

export interface LoadShape {
    readonly name: string;
    readonly arrivals: (user: User, random: SeededRandom) => readonly Arrival[];
    readonly faults: readonly ScheduledFault[];
}

/** Index of the workspace that sends 5 times its rate in the noisy shapes. */
export const noisyWorkspaceIndex = 0;

/** Mean load of a workspace under normal load, as a fraction of its rate. */
const normalRateFraction = 0.7;

export const ShapeName = {
    Steady: "steady",
    Rush: "rush after a trickle",
    Noisy: "one workspace at 5 times its rate",
    Lagging: "replicas lagging",
    FixedLag: "replicas lagging by 1 s",
    PrimaryLost: "a primary lost",
    CutOff: "a data centre cut off",
    InstanceLost: "an instance lost",
} as const;

export const loadShapes: readonly LoadShape[] = [
    {
        name: ShapeName.Steady,
        arrivals: (user, random) => independentArrivals(user, random, () => normalRateFraction),
        faults: [],
    },
    { name: ShapeName.Rush, arrivals: rushArrivals, faults: [] },
    {
        name: ShapeName.Noisy,
        arrivals: (user, random) =>
            independentArrivals(
                user,
                random,
                workspaceIndex => workspaceIndex === noisyWorkspaceIndex ? 5 : normalRateFraction,
            ),
        faults: [],
    },
    {
        name: ShapeName.Lagging,
        arrivals: (user, random) => independentArrivals(user, random, () => normalRateFraction),
        faults: [],
    },
    {
        name: ShapeName.FixedLag,
        arrivals: (user, random) => independentArrivals(user, random, () => normalRateFraction),
        faults: [],
    },
    {
        name: ShapeName.PrimaryLost,
        arrivals: (user, random) => independentArrivals(user, random, () => normalRateFraction),
        faults: [],
    },
    {
        name: ShapeName.CutOff,
        arrivals: (user, random) => independentArrivals(user, random, () => normalRateFraction),
        faults: [
            { atMs: 8_000, kind: FaultKind.CutOff, index: 2 },
            { atMs: 16_000, kind: FaultKind.Heal, index: 2 },
        ],
    },
    {
        name: ShapeName.InstanceLost,
        arrivals: (user, random) => independentArrivals(user, random, () => normalRateFraction),
        faults: [{ atMs: 8_000, kind: FaultKind.Kill, index: 0 }],
    },
];

/** Poisson arrivals; each workspace has one data centre with most of its callers. */
function independentArrivals(
    user: User,
    random: SeededRandom,
    rateFraction: (workspaceIndex: number) => number,
    fromMs = 0,
    untilMs = runDurationMs,
): readonly Arrival[] {
    return user.workspaces.flatMap((workspace, workspaceIndex) => {
        const arrivalsPerMs = workspace.ratePerSecond * rateFraction(workspaceIndex) / 1_000;
        const arrivals: Arrival[] = [];
        for (
            let atMs = fromMs + interarrivalMs(random, arrivalsPerMs);
            atMs < untilMs;
            atMs += interarrivalMs(random, arrivalsPerMs)
        ) {
            const dataCentreIndex = (workspaceIndex + randomDataCentreOffset(random)) % user.dataCentres.length;
            arrivals.push({ atMs, workspaceIndex, instanceIndex: randomInstanceIn(user, random, dataCentreIndex) });
        }
        return arrivals;
    });
}

/** A low load in all data centres, then the whole burst in one data centre within 200 ms, then normal load there. */
function rushArrivals(user: User, random: SeededRandom): readonly Arrival[] {
    const rushAtMs = 11_000;
    const trickle = independentArrivals(user, random, () => 0.05, 0, rushAtMs);
    const rush = user.workspaces.flatMap((workspace, workspaceIndex) => {
        const burst = Array.from({ length: workspace.burst }, () => rushAtMs + random.nextFloat() * 200);
        const arrivalsPerMs = workspace.ratePerSecond * normalRateFraction / 1_000;
        const normalArrivals: number[] = [];
        for (let atMs = rushAtMs + 200; atMs < runDurationMs; atMs += interarrivalMs(random, arrivalsPerMs)) {
            normalArrivals.push(atMs);
        }
        return [...burst, ...normalArrivals].map(atMs => ({
            atMs,
            workspaceIndex,
            instanceIndex: randomInstanceIn(user, random, 0),
        }));
    });
    return [...trickle, ...rush];
}

function interarrivalMs(random: SeededRandom, arrivalsPerMs: number): number {
    return -Math.log(1 - random.nextFloat()) / arrivalsPerMs;
}

function randomDataCentreOffset(random: SeededRandom): number {
    const share = random.nextFloat();
    return share < 0.6 ? 0 : share < 0.85 ? 1 : 2;
}

function randomInstanceIn(user: User, random: SeededRandom, dataCentreIndex: number): number {
    return dataCentreIndex * user.instancesPerDataCentre + random.nextInteger(user.instancesPerDataCentre);
}
