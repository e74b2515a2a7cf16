/** Reports the current leader to other pipes. */
import { ControlKind, type ControlLeaderChanged } from "../model/controlMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import {
    type LeaderHeard,
    MemberKind,
    MemberRole,
    type TermChanged,
    type TermEvent,
    type TimerEvent,
} from "./memberMessages.ts";

/**
 * Time without a message of the leader after which a follower reports that it knows none: the longest election timeout.
 * A member that is cut off or was removed wins no pre-vote, so its term and its leader do not change by themselves.
 */
const leaderSilenceMs = 2_000;

const silenceKey = "control.leader_silence";

type ViewInput = TermChanged | LeaderHeard | TermEvent | TimerEvent;

/**
 * Last consumer of `control.term_changed`. A leader reports itself as leading only once an entry of its own term is
 * committed: until then it may not have applied every entry that its predecessor committed.
 */
export class LeaderViewFilter implements Filter<ViewInput, Message> {
    readonly step = "leader";
    readonly accepts = [
        MemberKind.TermChanged,
        MemberKind.LeaderHeard,
        MemberKind.LeaderSilent,
        MemberKind.LeadershipConfirmed,
    ];
    private readonly self: Member;
    private role: MemberRole = MemberRole.Follower;
    private term = 0;
    /** Leader of the term, whether or not it is heard. */
    private leader: Member | undefined;
    private view: ControlLeaderChanged | undefined;

    constructor(self: Member) {
        this.self = self;
    }

    process(message: ViewInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case MemberKind.TermChanged:
                this.role = message.role;
                this.term = message.term;
                this.leader = message.role === MemberRole.Leader ? undefined : message.leader;
                return [clearDeadline(silenceKey), ...this.publish(false, this.leader)];
            case MemberKind.LeaderHeard:
                return this.role === MemberRole.Leader ? [] : [
                    setDeadline(silenceKey, nowMs + leaderSilenceMs, { kind: MemberKind.LeaderSilent }),
                    ...this.publish(false, this.leader),
                ];
            case MemberKind.LeaderSilent:
                return this.role === MemberRole.Leader ? [] : this.publish(false, undefined);
            default:
                return this.role === MemberRole.Leader && this.view !== undefined ? this.publish(true, this.self) : [];
        }
    }

    private publish(leading: boolean, leader: Member | undefined): readonly Message[] {
        const view: ControlLeaderChanged = {
            kind: ControlKind.LeaderChanged,
            leading,
            term: this.term,
            leaderId: leader?.memberId,
            leaderAddress: leader?.address,
        };
        const previous = this.view;
        this.view = view;
        const unchanged = previous !== undefined
            && previous.leading === view.leading
            && previous.term === view.term
            && previous.leaderId === view.leaderId;
        return unchanged ? [] : [view];
    }
}
