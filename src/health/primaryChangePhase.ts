/** Phases of a change of a group's primary, planned or after a failure. */
import type { ControlProposalEnded } from "../model/controlMessages.ts";
import type { HeldReport, PositionAsk } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";

export const PhaseName = {
    Steady: "steady",
    /** Planned change only: the holders switch to frequent heartbeats before any work has to wait. */
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
    | { readonly to: typeof PhaseName.Proposing; readonly newPrimaryId: string; }
    | { readonly to: typeof PhaseName.Promoting; readonly formerPrimaryId: string; };

export interface Decision {
    readonly messages: readonly Message[];
    /** Undefined to stay in this phase. */
    readonly transition: Transition | undefined;
}

export const stayInPhase: Decision = { messages: [], transition: undefined };

/** One phase of a change. It implements only the event handlers that it needs. */
export interface Phase {
    readonly name: typeof PhaseName[keyof typeof PhaseName];
    /** Called on each tick and after each event. */
    decide(nowMs: number): Decision;
    /** Called at the start of the phase; returns the messages to emit. */
    enter?(nowMs: number): readonly Message[];
    onLeaseEnded?(changeId: string, nowMs: number): void;
    onProposalEnded?(ended: ControlProposalEnded): void;
    /** Called for each report of a member's current holder. */
    onReport?(report: HeldReport): void;
    /** Position request for the holder of a member, if any. */
    positionAskFor?(databaseId: string): PositionAsk | undefined;
}
