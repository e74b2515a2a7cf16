/** The steps of a change of primary. */
import type { ControlProposalEnded } from "../model/controlMessages.ts";
import type { HeldReport, PositionAsk } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";

export const PhaseName = {
    Steady: "steady",
    /** Planned change: the holders are asked for quick heartbeats before any work has to wait. */
    Preparing: "preparing",
    EndingLease: "ending_lease",
    ReadingPositions: "reading_positions",
    Proposing: "proposing",
    Promoting: "promoting",
} as const;

export type Transition =
    | { readonly to: typeof PhaseName.Steady; }
    | { readonly to: typeof PhaseName.Preparing; }
    | { readonly to: typeof PhaseName.EndingLease; readonly planned: boolean; }
    | { readonly to: typeof PhaseName.ReadingPositions; readonly planned: boolean; }
    | { readonly to: typeof PhaseName.Proposing; readonly targetId: string; }
    | { readonly to: typeof PhaseName.Promoting; readonly replacedId: string; };

export interface Decision {
    readonly messages: readonly Message[];
    /** Undefined to stay in this phase. */
    readonly transition: Transition | undefined;
}

export const stayInPhase: Decision = { messages: [], transition: undefined };

/** One step of a change. A phase leaves out the events that do not concern it. */
export interface Phase {
    readonly name: typeof PhaseName[keyof typeof PhaseName];
    /** Called on each tick and after each event. */
    decide(nowMs: number): Decision;
    /** Messages on entry. */
    enter?(nowMs: number): readonly Message[];
    onLeaseEnded?(changeId: string, nowMs: number): void;
    onProposalEnded?(ended: ControlProposalEnded): void;
    /** A report of the holder of a member. */
    onReport?(report: HeldReport): void;
    /** Question to the holder of a member. */
    positionAskFor?(databaseId: string): PositionAsk | undefined;
}
